//! Runs the built program with complete sessions on its standard input, and checks the bytes of its output.

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

fn select_instance(instance: u16) -> Vec<u8> {
    record(2, &[&instance.to_be_bytes()])
}

fn instance_started(settings: &str) -> Vec<u8> {
    record(9, &[&7_u64.to_be_bytes(), &(settings.len() as u32).to_be_bytes(), settings.as_bytes()])
}

fn backend_list(list: u16, backends: &[u32]) -> Vec<u8> {
    let entry = |id: &u32| [&id.to_be_bytes()[..], &[0, 0, 0, 0, 0, 1, 0x3f, 0x80, 0, 0], &[0; 8]].concat();
    let entries: Vec<u8> = backends.iter().flat_map(entry).collect();
    record(0, &[&list.to_be_bytes(), &(backends.len() as u32).to_be_bytes(), &entries])
}

fn membership_changed(scope: u8, list: u16) -> Vec<u8> {
    record(7, &[&[scope], &1_u32.to_be_bytes(), &list.to_be_bytes()])
}

fn request_arrived(request: u32) -> Vec<u8> {
    record(11, &[&request.to_be_bytes(), &[0; 11], &400_000_u32.to_be_bytes(), &[0; 5]])
}

/// Runs the program with this input until it exits.
fn run(input: &[u8]) -> Output {
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut stdin = adapter.stdin.take().expect("stdin is piped");
    let input = input.to_vec();
    let writer = std::thread::spawn(move || _ = stdin.write_all(&input));
    let output = adapter.wait_with_output().expect("the program exits");
    writer.join().expect("the writer thread does not panic");
    output
}

/// Codes of sent records; see `protocol::codes::sent`.
const SEND: u8 = 64;
const FATAL: u8 = 73;
const SELECT_INSTANCE: u8 = 76;

/// A record of a reply, and the instance that was selected before it.
#[derive(Clone, Debug, PartialEq)]
struct SentRecord {
    instance: u16,
    code: u8,
    fields: Vec<u8>,
}

impl SentRecord {
    /// The backend of a `SEND` record.
    fn backend(&self) -> u32 {
        assert_eq!(self.code, SEND, "not a SEND record");
        u32::from_be_bytes(self.fields[12..16].try_into().expect("four bytes"))
    }
}

/// Splits output into replies and parses their records.
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
            SELECT_INSTANCE => instance = u16::from_be_bytes([fields[0], fields[1]]),
            code => records.push(SentRecord { instance, code, fields }),
        }
        reply = &reply[5 + length..];
    }
    records
}

/// The `SEND` records of the first reply.
fn sends(output: &Output) -> Vec<SentRecord> {
    replies(&output.stdout)[0].iter().filter(|record| record.code == SEND).cloned().collect()
}

#[test]
fn replies_to_empty_batches_and_exits_at_the_end_of_input() {
    let output = run(&[batch(1, &[]), batch(2, &[])].concat());
    assert!(output.status.success() && output.stderr.is_empty());
    assert_eq!(output.stdout, [0; 8]);
}

#[test]
fn reused_list_number_refers_to_the_last_list_before_it() {
    let start =
        [select_instance(3), instance_started(SETTINGS), backend_list(0, &[10]), membership_changed(2, 0)];
    let other =
        [select_instance(4), instance_started(SETTINGS), backend_list(0, &[20]), membership_changed(2, 0)];
    let requests = [select_instance(3), request_arrived(1), select_instance(4), request_arrived(1)];
    let output = run(&batch(5, &[&start[..], &other, &requests].concat()));
    let sends = sends(&output);
    assert_eq!((sends[0].instance, sends[0].backend()), (3, 10));
    assert_eq!((sends[1].instance, sends[1].backend()), (4, 20));
}

#[test]
fn killed_instance_restarts_in_the_same_batch_without_its_state() {
    let start = [
        select_instance(0),
        instance_started(SETTINGS),
        backend_list(1, &[10]),
        membership_changed(2, 1),
        request_arrived(1),
    ];
    let restart = [
        record(5, &[]),
        instance_started(SETTINGS),
        backend_list(2, &[11]),
        membership_changed(2, 2),
        request_arrived(1),
    ];
    let output = run(&batch(5, &[&start[..], &restart].concat()));
    let backends: Vec<u32> = sends(&output).iter().map(SentRecord::backend).collect();
    assert_eq!(backends, [10, 11]);
}

#[test]
fn replies_to_a_batch_of_several_megabytes() {
    let mut records = vec![
        select_instance(0),
        instance_started(SETTINGS),
        backend_list(0, &[1, 2, 3]),
        membership_changed(2, 0),
    ];
    records.extend((0..60_000).map(request_arrived));
    let output = run(&batch(5, &records));
    assert!(output.status.success());
    assert!(replies(&output.stdout)[0].len() >= 60_000, "each request is sent, queued or rejected");
}

#[test]
fn actions_do_not_depend_on_other_instances() {
    let events = |instance: u16, clock: u64| {
        let mut records = vec![select_instance(instance)];
        if clock == 0 {
            records.extend([
                instance_started(SETTINGS),
                backend_list(0, &[1, 2, 3, 4, 5]),
                membership_changed(2, 0),
            ]);
        }
        records.extend((0..20).map(|n| request_arrived(clock as u32 * 100 + n)));
        records
    };
    let session = |instances: &[u16]| {
        let records = |clock| instances.iter().flat_map(|&i| events(i, clock)).collect::<Vec<_>>();
        (0..5).flat_map(|clock| batch(clock, &records(clock))).collect::<Vec<u8>>()
    };
    let together = replies(&run(&session(&[0, 1, 2])).stdout);
    assert_eq!(
        together,
        replies(&run(&session(&[0, 1, 2])).stdout),
        "the same events cause the same actions"
    );
    for instance in 0..3 {
        let alone = replies(&run(&session(&[instance])).stdout);
        for (all, own) in together.iter().zip(&alone) {
            assert!(all.iter().filter(|record| record.instance == instance).eq(own));
        }
    }
}

#[test]
fn invalid_input_logs_one_line_and_exits_with_failure() {
    let complete = batch(5, &[select_instance(0)]);
    for (input, message) in [
        (&complete[..complete.len() - 1], "expected 15 bytes behind the batch header"),
        (&complete[..5], "expected a batch header"),
        (&batch(5, &[select_instance(9), request_arrived(1)])[..], "9 does not run"),
        (&batch(5, &[request_arrived(1)])[..], "expected a `switch_to`"),
        (
            &batch(5, &[select_instance(0), instance_started(SETTINGS), membership_changed(1, 7)])[..],
            "7 was not",
        ),
    ] {
        let output = run(input);
        let text = String::from_utf8(output.stderr).expect("text");
        assert!(!output.status.success() && text.lines().count() == 1 && text.contains(message), "{text}");
    }
}

#[test]
fn invalid_settings_send_a_fatal_record() {
    let output =
        run(&batch(5, &[select_instance(6), instance_started(&SETTINGS.replace("retryable", "maybe"))]));
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
