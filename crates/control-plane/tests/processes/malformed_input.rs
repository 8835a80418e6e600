//! Malformed input: it closes its own connection with an error and does not affect other connections.

use super::support::*;
use control_plane::codec::encode;
use control_plane::message::{MAX_MESSAGE_BYTES, Message, PROTOCOL_VERSION};
use control_plane::record::RecordState::{Active, Draining};
use control_plane::record::Scope;
use std::io::{Read, Write};
use std::sync::mpsc::channel;

fn hello(protocol: u16) -> Message {
    Message::Hello { protocol, name: "raw".into(), scope: Scope::All, positions: Vec::new() }
}

/// The reason of the close notice with which a connection ends.
fn close_reason(connection: &mut RawConnection) -> String {
    match connection.receive_all().pop() {
        Some(Message::Close { reason }) => reason,
        other => panic!("no close notice, but {other:?}"),
    }
}

#[test]
fn malformed_input_ends_only_its_own_connection() {
    let region = Region::new("malformed-input", 1);
    let source = region.start_source();
    let relay = region.start_relay(0);
    let mut writer = ChangeWriter::new(region.source);
    writer.set(1, &[("a-1", Active)]);
    let (agent, discovery) = region.start_agent("a", &[1]);
    let mut proxy = Proxy::new(discovery);
    proxy.wait_for_exactly("the initial records", &[("a-1", "active")]);
    relay.wait_for_line("connected to source");

    let valid_hello = encode(&hello(PROTOCOL_VERSION)).expect("short");
    let other_version = encode(&hello(PROTOCOL_VERSION + 1)).expect("short");
    let too_long_prefix = u32::try_from(MAX_MESSAGE_BYTES + 1).expect("fits").to_be_bytes();
    let unexpected = encode(&Message::Heartbeat).expect("short");
    let unknown_variant = [0, 0, 0, 2, 250, 1];
    let cases: [(&str, Vec<u8>, String); 6] = [
        (
            "truncated",
            valid_hello[..valid_hello.len() - 2].to_vec(),
            format!(
                "the connection ended after {} bytes of a message; a message is sent whole",
                valid_hello.len() - 2
            ),
        ),
        (
            "too long",
            too_long_prefix.to_vec(),
            format!(
                "a message of {} bytes is too long, {MAX_MESSAGE_BYTES} bytes at most are taken; send it in parts",
                MAX_MESSAGE_BYTES + 1
            ),
        ),
        (
            "another version",
            other_version,
            format!(
                "protocol {} is not spoken here, {PROTOCOL_VERSION} is; bring both parties to one version",
                PROTOCOL_VERSION + 1
            ),
        ),
        ("unknown variant", unknown_variant.to_vec(), "a message of 2 bytes is not understood (".into()),
        ("hello missing", unexpected.clone(), "`Alive` makes no sense here: ".into()),
        (
            "hello twice",
            [valid_hello.clone(), valid_hello.clone()].concat(),
            "`Hello` makes no sense here: it is said once, first".into(),
        ),
    ];
    for (index, (what, bytes, expected)) in cases.iter().enumerate() {
        for (process, address) in [(&source, region.source), (&relay, region.relays[0].address)] {
            let lines = process.lines().len();
            let mut connection = RawConnection::new(address);
            connection.send(bytes);
            connection.shutdown();
            let reason = close_reason(&mut connection);
            assert!(reason.starts_with(expected.as_str()), "{what}: {reason}");
            // The reason is logged.
            process.wait_for_line_after(lines, expected);
        }
        // Other connections remain open and receive changes.
        let name = format!("b-{index}");
        writer.set(1, &[(&name, Draining)]);
        proxy.wait_until(what, |backends| {
            backends.get(&name).is_some_and(|backend| backend.phase == "leaving")
        });
    }
    for (process, lost) in [(&agent, "lost relay"), (&relay, "lost source")] {
        let lines = process.lines();
        assert!(!lines.iter().any(|line| line.contains(lost)), "{lines:#?}");
    }
    assert_eq!(proxy.complete_lists, 1);
    // Each case logs one warning.
    for process in [&source, &relay] {
        let warnings = process.lines().into_iter().filter(|line| line.contains("WARN")).count();
        assert_eq!(warnings, cases.len(), "{:#?}", process.lines());
    }
}

/// An agent sends a close notice to a relay that has another protocol version or sends malformed bytes, and
/// connects to another relay.
#[test]
fn sends_a_close_notice_to_an_incompatible_upstream() {
    let mut region = Region::new("upstream", 1);
    let _source = region.start_source();
    let _relay = region.start_relay(0);
    ChangeWriter::new(region.source).set(1, &[("a-1", Active)]);
    let other_version =
        encode(&Message::Welcome { protocol: PROTOCOL_VERSION + 1, name: "new".into() }).expect("short");
    let compatible_welcome =
        encode(&Message::Welcome { protocol: PROTOCOL_VERSION, name: "mad".into() }).expect("short");
    let malformed = [compatible_welcome, vec![0, 0, 0, 1, 250]].concat();
    let mut incompatible_relays = Vec::new();
    for (name, bytes) in [("other-version", other_version), ("mad", malformed)] {
        let address = address();
        let listener = std::net::TcpListener::bind(address).expect("a listener");
        region.relays.push(RelayEndpoint { name: name.into(), address });
        let (bytes_sender, received) = channel();
        incompatible_relays.push(received);
        // The thread ends with the test process. The agent of the other case may connect here too.
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.expect("a connection");
                stream.set_read_timeout(Some(TIMEOUT)).expect("a timeout");
                stream.write_all(&bytes).expect("sent");
                let mut received = Vec::new();
                // Reads up to the end of the connection.
                let _ = stream.read_to_end(&mut received);
                let _ = bytes_sender.send(String::from_utf8_lossy(&received).into_owned());
            }
        });
    }
    // Finds the name of an agent that prefers the relay with this index.
    let names: Vec<String> = region.relays.iter().map(|relay| relay.name.clone()).collect();
    let agent_that_prefers = |index: usize| {
        let found = (0..1000)
            .map(|n| format!("agent-{n}"))
            .find(|name| control_plane::failover::Failover::new(name, &names, 0).order()[0] == index);
        found.expect("one of a thousand names")
    };
    let expected_errors = ["is not spoken here", "is not understood"];
    for ((index, incompatible_relay), expected) in (1..).zip(incompatible_relays).zip(expected_errors) {
        let name = agent_that_prefers(index);
        let (agent, discovery) = region.start_agent(&name, &[1]);
        Proxy::new(discovery).wait_for_exactly("the list of the relay", &[("a-1", "active")]);
        let lost = agent.wait_for_line("lost relay");
        assert!(lost.contains(&format!("`{}`", names[index])) && lost.contains(expected), "{lost}");
        let received = incompatible_relay.recv_timeout(TIMEOUT).expect("received bytes");
        assert!(received.contains(expected), "{received}");
    }
}

#[test]
fn closes_a_silent_connection_with_a_reason() {
    let region = Region::new("silent", 1);
    let _source = region.start_source();
    let mut connection = RawConnection::new(region.source);
    let reason = close_reason(&mut connection);
    assert!(reason.contains("no first message within") && reason.contains("Hello"), "{reason}");
}

#[test]
fn rejects_connections_over_the_limit_and_reuses_freed_slots() {
    let mut region = Region::new("connection-limit", 1);
    region.extra_keys.insert("relay", "connections = 2".into());
    let (_source, _relay) = (region.start_source(), region.start_relay(0));
    let relay = region.relays[0].address;
    let subscribe = || {
        let mut connection = RawConnection::new(relay);
        connection.send_message(&hello(PROTOCOL_VERSION));
        let first = connection.receive();
        (connection, first)
    };
    let (first, second) = (subscribe(), subscribe());
    for (_, received) in [&first, &second] {
        assert!(matches!(received, Some(Message::Welcome { .. })), "{received:?}");
    }
    let (_, third) = subscribe();
    let limit_reached = "2 subscribers are connected, no more are taken; try another relay";
    assert_eq!(third, Some(Message::Close { reason: limit_reached.into() }));
    drop(first);
    wait_for("a free slot", || matches!(subscribe().1, Some(Message::Welcome { .. })).then_some(()));
}

/// Guards against peers that fill the log or forge a log line with their name.
#[test]
fn escapes_and_shortens_peer_names_in_the_log() {
    let region = Region::new("peer-names", 1);
    let source = region.start_source();
    let mut connection = RawConnection::new(region.source);
    let name = format!("x\nWARN forged {}", "y".repeat(100_000));
    connection.send_message(&Message::Hello {
        protocol: PROTOCOL_VERSION,
        name,
        scope: Scope::All,
        positions: Vec::new(),
    });
    assert!(matches!(connection.receive(), Some(Message::Welcome { .. })));
    let line = source.wait_for_line("subscribed: x");
    assert!(line.contains("x\\nWARN forged yyy") && line.len() < 1_000, "{line}");
}
