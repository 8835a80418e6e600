//! The built host end to end: whole conversations over its pipes, by bytes.

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

fn run(input: &[u8]) -> Output {
    let mut host = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the host starts");
    let mut stdin = host.stdin.take().expect("it was piped");
    let input = input.to_vec();
    let writer = std::thread::spawn(move || _ = stdin.write_all(&input));
    let output = host.wait_with_output().expect("the host ends");
    writer.join().expect("the writer ends");
    output
}

/// The records of each reply: (instance, code, fields).
fn replies(mut bytes: &[u8]) -> Vec<Vec<(u16, u8, Vec<u8>)>> {
    let mut all = Vec::new();
    while !bytes.is_empty() {
        let mut word = [0; 4];
        bytes.read_exact(&mut word).expect("a length");
        let (mut reply, rest) = bytes.split_at(u32::from_be_bytes(word) as usize);
        bytes = rest;
        let (mut records, mut source) = (Vec::new(), 0);
        while !reply.is_empty() {
            let length = u32::from_be_bytes(reply[1..5].try_into().expect("four bytes")) as usize;
            let fields = reply[5..5 + length].to_vec();
            match reply[0] {
                76 => source = u16::from_be_bytes([fields[0], fields[1]]),
                code => records.push((source, code, fields)),
            }
            reply = &reply[5 + length..];
        }
        all.push(records);
    }
    all
}

fn backend_of_send(record: &(u16, u8, Vec<u8>)) -> u32 {
    assert_eq!(record.1, 64, "a submit_to");
    u32::from_be_bytes(record.2[12..16].try_into().expect("four bytes"))
}

#[test]
fn empty_batches_get_empty_replies_and_the_end_of_input_ends_it() {
    let output = run(&[batch(1, &[]), batch(2, &[])].concat());
    assert!(output.status.success() && output.stderr.is_empty());
    assert_eq!(output.stdout, [0; 8]);
}

#[test]
fn a_page_number_reused_within_a_batch_means_what_came_last_before_it() {
    let start = [switch_to(3), power_on(SETTINGS), page(0, &[10]), membership(2, 0)];
    let other = [switch_to(4), power_on(SETTINGS), page(0, &[20]), membership(2, 0)];
    let asks = [switch_to(3), inbound(1), switch_to(4), inbound(1)];
    let output = run(&batch(5, &[&start[..], &other, &asks].concat()));
    let sends: Vec<_> = replies(&output.stdout)[0].iter().filter(|r| r.1 == 64).cloned().collect();
    assert_eq!((sends[0].0, backend_of_send(&sends[0])), (3, 10));
    assert_eq!((sends[1].0, backend_of_send(&sends[1])), (4, 20));
}

#[test]
fn a_killed_instance_starts_anew_in_the_same_batch_and_knows_nothing_of_before() {
    let start = [switch_to(0), power_on(SETTINGS), page(1, &[10]), membership(2, 1), inbound(1)];
    let again = [record(5, &[]), power_on(SETTINGS), page(2, &[11]), membership(2, 2), inbound(1)];
    let output = run(&batch(5, &[&start[..], &again].concat()));
    let sends: Vec<_> =
        replies(&output.stdout)[0].iter().filter(|r| r.1 == 64).map(backend_of_send).collect();
    assert_eq!(sends, [10, 11]);
}

#[test]
fn batches_of_megabytes_are_answered() {
    let mut records = vec![switch_to(0), power_on(SETTINGS), page(0, &[1, 2, 3]), membership(2, 0)];
    records.extend((0..60_000).map(inbound));
    let output = run(&batch(5, &records));
    assert!(output.status.success());
    assert!(replies(&output.stdout)[0].len() >= 60_000, "each request is sent, held or refused");
}

#[test]
fn instances_act_alike_together_and_apart() {
    let events = |instance: u16, clock: u64| {
        let mut records = vec![switch_to(instance)];
        if clock == 0 {
            records.extend([power_on(SETTINGS), page(0, &[1, 2, 3, 4, 5]), membership(2, 0)]);
        }
        records.extend((0..20).map(|n| inbound(clock as u32 * 100 + n)));
        records
    };
    let conversation = |instances: &[u16]| {
        let all = |clock| instances.iter().flat_map(|&i| events(i, clock)).collect::<Vec<_>>();
        (0..5).flat_map(|clock| batch(clock, &all(clock))).collect::<Vec<u8>>()
    };
    let together = replies(&run(&conversation(&[0, 1, 2])).stdout);
    assert_eq!(
        together,
        replies(&run(&conversation(&[0, 1, 2])).stdout),
        "the same events, the same actions"
    );
    for instance in 0..3 {
        let alone = replies(&run(&conversation(&[instance])).stdout);
        for (all, own) in together.iter().zip(&alone) {
            assert!(all.iter().filter(|r| r.0 == instance).eq(own));
        }
    }
}

#[test]
fn bad_input_gives_one_plain_line_and_a_failure() {
    let cut = batch(5, &[switch_to(0)]);
    for (input, says) in [
        (&cut[..cut.len() - 1], "expected 15 bytes behind the batch header"),
        (&cut[..5], "expected a batch header"),
        (&batch(5, &[switch_to(9), inbound(1)])[..], "9 does not run"),
        (&batch(5, &[inbound(1)])[..], "expected a `switch_to`"),
        (&batch(5, &[switch_to(0), power_on(SETTINGS), membership(1, 7)])[..], "7 was not"),
    ] {
        let output = run(input);
        let text = String::from_utf8(output.stderr).expect("text");
        assert!(!output.status.success() && text.lines().count() == 1 && text.contains(says), "{text}");
    }
}

#[test]
fn settings_that_make_no_sense_become_fatal() {
    let output = run(&batch(5, &[switch_to(6), power_on(&SETTINGS.replace("retryable", "maybe"))]));
    let last = replies(&output.stdout).concat().pop().expect("a record");
    assert_eq!((last.0, last.1), (6, 73));
    assert!(String::from_utf8_lossy(&last.2).contains("classes[0].effect"));
}

#[test]
fn an_unknown_record_is_reported_once() {
    let unknown = record(200, &[&[1, 2, 3]]);
    let output = run(&batch(5, &[unknown.clone(), unknown]));
    assert!(output.status.success());
    assert_eq!(String::from_utf8_lossy(&output.stderr).matches("200").count(), 1);
}
