//! Tests of the binary protocol: parsing of batches, encoding of replies, and errors for invalid input.

use balancer::api::*;
use simulator_adapter::protocol::{BatchReader, ProtocolError, Record, ReplyWriter, Scope, parse_backends};

fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
    let pair = |p: &[u8]| u8::from_str_radix(std::str::from_utf8(p).expect("ascii"), 16).expect("hex");
    digits.chunks(2).map(pair).collect()
}

fn records(text: &str) -> Result<Vec<Record<'static>>, ProtocolError> {
    let bytes: &'static [u8] = hex(text).leak();
    let (mut reader, _) = BatchReader::new(bytes)?;
    let mut all = Vec::new();
    while let Some(record) = reader.next_record()? {
        all.push(record);
    }
    Ok(all)
}

#[test]
fn empty_batch_has_a_clock_and_an_empty_reply() {
    let bytes = hex("00000000 00000008 0000000000805c5a");
    let (mut reader, clock) = BatchReader::new(&bytes).expect("a valid batch");
    assert_eq!(clock, 0x0080_5c5a);
    assert_eq!(reader.next_record(), Ok(None));
    assert_eq!(ReplyWriter::default().finish(), hex("00000000"));
}

#[test]
fn parses_events_of_two_instances_in_order() {
    let parsed = records(
        "00000005 00000045 0000000000805c5a
         02 00000002 0003
         0b 00000018 5d3a91c4 00 0000 91f03b7c55d20a64 0003a980 00002ee0 01
         06 00000004 0000004d
         02 00000002 0005
         08 00000004 0e6f2b19",
    )
    .expect("a valid batch");
    assert_eq!(parsed[0], Record::SelectInstance(3));
    let request = parsed[1].request().expect("a request");
    assert_eq!((request.id, request.class, request.tenant), (0x5d3a_91c4, 0, 0));
    assert_eq!((request.key, request.timeout), (Some(0x91f0_3b7c_55d2_0a64), 240_000));
    assert_eq!((request.expected_work, request.is_retry), (Some(12_000), false));
    assert_eq!(
        parsed[2..],
        [Record::TimerExpired(77), Record::SelectInstance(5), Record::ClientDisconnected(0x0e6f_2b19)]
    );
}

#[test]
fn parses_lists_and_outcomes() {
    let parsed = records(
        "00000003 00000066 0000000000805c5a
         00 00000032 0000 00000002
            03124a07 0000 00 0000 01 3f800000 0000000000000000
            2c9011f2 0001 00 0000 02 3fc00000 00000000005d1420
         07 00000007 02 00000029 0000
         04 00000016 5d3a91c4 03124a07 01 012e 0002 00004844 01 40200000",
    )
    .expect("a valid batch");
    let Record::BackendList { list: 0, entries } = parsed[0] else { panic!("{:?}", parsed[0]) };
    let entries = parse_backends(entries).expect("valid entries");
    assert_eq!((entries[0].id, entries[0].zone, entries[0].started_at), (0x0312_4a07, 0, None));
    assert_eq!(entries[1].started_at, Some(0x5d_1420));
    assert_eq!(entries[1].readiness, Readiness::Draining);
    assert_eq!(parsed[1], Record::MembershipChanged { scope: Scope::Cached, list: 0 });
    let expected = Record::AttemptFinished {
        request: 0x5d3a_91c4,
        backend: 0x0312_4a07,
        attempt: 2,
        outcome: Outcome::Rejected,
        is_answered: true,
        elapsed_us: 0x4844,
        load_report: vec![2.5],
    };
    assert_eq!(parsed[2], expected);
}

#[test]
fn reports_invalid_input_with_its_offset() {
    let truncated =
        records("00000001 0000000d 0000000000805c5a 06 00000004").expect_err("fields are missing");
    assert_eq!(truncated.offset, 16);
    let short =
        records("00000001 0000000f 0000000000805c5a 06 00000002 0000").expect_err("a token has 4 bytes");
    assert_eq!(short.offset, 21);
    let count = records("00000000 0000000f 0000000000805c5a 08 00000002 0000")
        .expect_err("more records than declared");
    assert_eq!((count.offset, count.expected.to_string().as_str()), (16, "the end of the batch"));
    let length = records("00000000 00000009 0000000000805c5a").expect_err("a byte is missing");
    assert_eq!(length.offset, 4);
    let outcome = records(
        "00000001 00000020 0000000000805c5a
         01 00000013 0065 00000001 00000002 00 0000000000000000",
    )
    .expect_err("101 is not an outcome");
    assert_eq!(outcome.offset, 21);
}

#[test]
fn skips_unknown_records() {
    let parsed = records("00000002 0000001c 0000000000805c5a c8 00000006 010203040506 06 00000004 00000001");
    assert_eq!(parsed, Ok(vec![Record::Unknown(200), Record::TimerExpired(1)]));
}

#[test]
fn encodes_actions_as_the_protocol_defines() {
    let mut reply = ReplyWriter::default();
    let (request, backend) = (0x5d3a_91c4, 0x0312_4a07);
    let send = Action::Send { request, backend, start_by: u64::MAX, timeout_at: 0x0081_94da };
    reply.action(3, &send);
    reply.action(3, &Action::SetTimer { delay: 500_000, token: 77 });
    reply.action(5, &Action::Log("two servers known".into()));
    let expected = "00000048
        4c 00000002 0003
        40 00000010 5d3a91c4 00000000008194da 03124a07
        44 00000008 0007a120 0000004d
        4c 00000002 0005
        48 00000013 0011 74776f2073657276657273206b6e6f776e";
    assert_eq!(reply.finish(), hex(expected));
    reply.action(1, &Action::Reject { request: 1, retry_after: 2 });
    reply.action(1, &Action::Fail { request: 1 });
    reply.action(1, &Action::Cancel { request: 1, attempt: 3 });
    reply.action(1, &Action::CheckHealth(9));
    reply.action(1, &Action::Subscribe);
    reply.action(1, &Action::CloseIdleConnections(9));
    reply.fatal(1, "x");
    let expected = "00000048 4c 00000002 0001
        41 00000008 00000001 00000002
        42 00000004 00000001
        43 00000006 00000001 0003
        45 00000004 00000009
        4a 00000001 01
        46 00000004 00000009
        49 00000003 0001 78";
    assert_eq!(reply.finish(), hex(expected));
}
