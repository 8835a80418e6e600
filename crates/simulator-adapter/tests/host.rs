//! The built program end to end: complete sessions over its pipes, by bytes.

use std::io::{Read, Write};
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"balancers": 2, "me": 0, "zone": 0, "failureDomains": ["a"], "kinds": ["x"],
  "membershipMode": "pushed",
  "classes": [{"aimUs": 500000, "deadlineUs": 900000, "effect": "retryable", "worth": 1.0}],
  "permissions": {"maxAttempts": 3},
  "safety": {"coldFrom": 0.3, "coldUs": 8000000, "fallMultiple": 3.0, "fallUs": 2000000}}"#;

fn record(code: u8, fields: &[&[u8]]) -> Vec<u8> {
    let body = fields.concat();
    [&[code][..], &(body.len() as u32).to_be_bytes(), &body].concat()
}

fn batch(clock: u64, records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    let header = [(records.len() as u32).to_be_bytes(), (body.len() as u32 + 8).to_be_bytes()].concat();
    [header, clock.to_be_bytes().to_vec(), body].concat()
}

fn switch_to(instance: u16) -> Vec<u8> {
    record(2, &[&instance.to_be_bytes()])
}

fn power_on(settings: &str) -> Vec<u8> {
    record(9, &[&7_u64.to_be_bytes(), &(settings.len() as u32).to_be_bytes(), settings.as_bytes()])
}

fn page(list: u16, backends: &[u32]) -> Vec<u8> {
    let entry = |id: &u32| [&id.to_be_bytes()[..], &[0, 0, 0, 0, 0, 1, 0x3f, 0x80, 0, 0], &[0; 8]].concat();
    let entries: Vec<u8> = backends.iter().flat_map(entry).collect();
    record(0, &[&list.to_be_bytes(), &(backends.len() as u32).to_be_bytes(), &entries])
}

fn membership(scope: u8, list: u16) -> Vec<u8> {
    record(7, &[&[scope], &1_u32.to_be_bytes(), &list.to_be_bytes()])
}

fn inbound(request: u32) -> Vec<u8> {
    record(11, &[&request.to_be_bytes(), &[0; 11], &400_000_u32.to_be_bytes(), &[0; 5]])
}

/// Runs the program with this input until it ends.
fn run(input: &[u8]) -> Output {
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut stdin = adapter.stdin.take().expect("it was piped");
    let input = input.to_vec();
    let writer = std::thread::spawn(move || _ = stdin.write_all(&input));
    let output = adapter.wait_with_output().expect("the program ends");
    writer.join().expect("the writer ends");
    output
}

/// Codes of sent records.
const SUBMIT_TO: u8 = 64;
const FATAL: u8 = 73;
const SOURCE: u8 = 76;

/// A record of a reply.
#[derive(Clone, Debug, PartialEq)]
struct SentRecord {
    instance: u16,
    code: u8,
    fields: Vec<u8>,
}

impl SentRecord {
    /// The backend of a `submit_to` record.
    fn backend(&self) -> u32 {
        assert_eq!(self.code, SUBMIT_TO, "a submit_to");
        u32::from_be_bytes(self.fields[12..16].try_into().expect("four bytes"))
    }
}

/// The records of each reply.
fn replies(mut bytes: &[u8]) -> Vec<Vec<SentRecord>> {
    let mut replies = Vec::new();
    while !bytes.is_empty() {
        let mut length = [0; 4];
        bytes.read_exact(&mut length).expect("a length");
        let (reply, rest) = bytes.split_at(u32::from_be_bytes(length) as usize);
        bytes = rest;
        replies.push(records_of(reply));
    }
    replies
}

fn records_of(mut reply: &[u8]) -> Vec<SentRecord> {
    let (mut records, mut instance) = (Vec::new(), 0);
    while !reply.is_empty() {
        let length = u32::from_be_bytes(reply[1..5].try_into().expect("four bytes")) as usize;
        let fields = reply[5..5 + length].to_vec();
        match reply[0] {
            SOURCE => instance = u16::from_be_bytes([fields[0], fields[1]]),
            code => records.push(SentRecord { instance, code, fields }),
        }
        reply = &reply[5 + length..];
    }
    records
}

/// The `submit_to` records of the first reply.
fn sends(output: &Output) -> Vec<SentRecord> {
    replies(&output.stdout)[0].iter().filter(|record| record.code == SUBMIT_TO).cloned().collect()
}

#[test]
fn replies_to_empty_batches_and_exits_at_the_end_of_input() {
    let output = run(&[batch(1, &[]), batch(2, &[])].concat());
    assert!(output.status.success() && output.stderr.is_empty());
    assert_eq!(output.stdout, [0; 8]);
}

#[test]
fn a_reused_list_number_refers_to_the_last_page_before_it() {
    let start = [switch_to(3), power_on(SETTINGS), page(0, &[10]), membership(2, 0)];
    let other = [switch_to(4), power_on(SETTINGS), page(0, &[20]), membership(2, 0)];
    let requests = [switch_to(3), inbound(1), switch_to(4), inbound(1)];
    let output = run(&batch(5, &[&start[..], &other, &requests].concat()));
    let sends = sends(&output);
    assert_eq!((sends[0].instance, sends[0].backend()), (3, 10));
    assert_eq!((sends[1].instance, sends[1].backend()), (4, 20));
}

#[test]
fn a_killed_instance_restarts_in_the_same_batch_without_its_state() {
    let start = [switch_to(0), power_on(SETTINGS), page(1, &[10]), membership(2, 1), inbound(1)];
    let restart = [record(5, &[]), power_on(SETTINGS), page(2, &[11]), membership(2, 2), inbound(1)];
    let output = run(&batch(5, &[&start[..], &restart].concat()));
    let backends: Vec<u32> = sends(&output).iter().map(SentRecord::backend).collect();
    assert_eq!(backends, [10, 11]);
}

#[test]
fn replies_to_a_batch_of_megabytes() {
    let mut records = vec![switch_to(0), power_on(SETTINGS), page(0, &[1, 2, 3]), membership(2, 0)];
    records.extend((0..60_000).map(inbound));
    let output = run(&batch(5, &records));
    assert!(output.status.success());
    assert!(replies(&output.stdout)[0].len() >= 60_000, "each request is sent, queued or rejected");
}

#[test]
fn instances_act_alike_together_and_alone() {
    let events = |instance: u16, clock: u64| {
        let mut records = vec![switch_to(instance)];
        if clock == 0 {
            records.extend([power_on(SETTINGS), page(0, &[1, 2, 3, 4, 5]), membership(2, 0)]);
        }
        records.extend((0..20).map(|n| inbound(clock as u32 * 100 + n)));
        records
    };
    let session = |instances: &[u16]| {
        let records = |clock| instances.iter().flat_map(|&i| events(i, clock)).collect::<Vec<_>>();
        (0..5).flat_map(|clock| batch(clock, &records(clock))).collect::<Vec<u8>>()
    };
    let together = replies(&run(&session(&[0, 1, 2])).stdout);
    assert_eq!(together, replies(&run(&session(&[0, 1, 2])).stdout), "the same events, the same actions");
    for instance in 0..3 {
        let alone = replies(&run(&session(&[instance])).stdout);
        for (all, own) in together.iter().zip(&alone) {
            assert!(all.iter().filter(|record| record.instance == instance).eq(own));
        }
    }
}

#[test]
fn invalid_input_logs_one_line_and_fails() {
    let complete = batch(5, &[switch_to(0)]);
    for (input, message) in [
        (&complete[..complete.len() - 1], "expected 15 bytes behind the batch header"),
        (&complete[..5], "expected a batch header"),
        (&batch(5, &[switch_to(9), inbound(1)])[..], "9 does not run"),
        (&batch(5, &[inbound(1)])[..], "expected a `switch_to`"),
        (&batch(5, &[switch_to(0), power_on(SETTINGS), membership(1, 7)])[..], "7 was not"),
    ] {
        let output = run(input);
        let text = String::from_utf8(output.stderr).expect("text");
        assert!(!output.status.success() && text.lines().count() == 1 && text.contains(message), "{text}");
    }
}

#[test]
fn invalid_settings_send_a_fatal_record() {
    let output = run(&batch(5, &[switch_to(6), power_on(&SETTINGS.replace("retryable", "maybe"))]));
    let last = replies(&output.stdout).concat().pop().expect("a record");
    assert_eq!((last.instance, last.code), (6, FATAL));
    assert!(String::from_utf8_lossy(&last.fields).contains("classes[0].effect"));
}

#[test]
fn logs_an_unknown_record_once() {
    let unknown = record(200, &[&[1, 2, 3]]);
    let output = run(&batch(5, &[unknown.clone(), unknown]));
    assert!(output.status.success());
    assert_eq!(String::from_utf8_lossy(&output.stderr).matches("200").count(), 1);
}
