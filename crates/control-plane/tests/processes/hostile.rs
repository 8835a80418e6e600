//! Connections that say what is none of the protocol's: one clear error each, and nobody else notices.

use super::rig::*;
use control_plane::codec::encode;
use control_plane::message::{MAX_MESSAGE_BYTES, Message, PROTOCOL_VERSION};
use control_plane::record::Scope;
use control_plane::record::State::{Active, Draining};
use std::io::{Read, Write};
use std::sync::mpsc::channel;

fn hello(protocol: u16) -> Message {
    Message::Hello { protocol, name: "raw".into(), scope: Scope::All, positions: Vec::new() }
}

/// What a connection is told last.
fn reason(raw: &mut Raw) -> String {
    match raw.hear_all().pop() {
        Some(Message::Close { reason }) => reason,
        other => panic!("no reason, but {other:?}"),
    }
}

#[test]
fn a_message_cut_too_long_or_of_another_version_ends_its_connection_alone() {
    let region = Region::new("hostile", 1);
    let source = region.start_source();
    let relay = region.start_relay(0);
    let mut operator = Operator::new(region.source);
    operator.set(1, &[("a-1", Active)]);
    let (agent, discovery) = region.start_agent("a", &[1]);
    let mut proxy = Proxy::new(discovery);
    proxy.until_exactly("what was there", &[("a-1", "active")]);
    relay.says("connected to source");

    let good = encode(&hello(PROTOCOL_VERSION)).expect("short");
    let other = encode(&hello(PROTOCOL_VERSION + 1)).expect("short");
    let too_long = u32::try_from(MAX_MESSAGE_BYTES + 1).expect("fits").to_be_bytes();
    let out_of_turn = encode(&Message::Heartbeat).expect("short");
    let unknown = [0, 0, 0, 2, 250, 1];
    let cases: [(&str, Vec<u8>, String); 6] = [
        (
            "cut in the middle",
            good[..good.len() - 2].to_vec(),
            format!(
                "the connection ended after {} bytes of a message; a message is sent whole",
                good.len() - 2
            ),
        ),
        (
            "too long",
            too_long.to_vec(),
            format!(
                "a message of {} bytes is too long, {MAX_MESSAGE_BYTES} bytes at most are taken; send it in parts",
                MAX_MESSAGE_BYTES + 1
            ),
        ),
        (
            "another version",
            other,
            format!(
                "protocol {} is not spoken here, {PROTOCOL_VERSION} is; bring both parties to one version",
                PROTOCOL_VERSION + 1
            ),
        ),
        ("no message", unknown.to_vec(), "a message of 2 bytes is not understood (".into()),
        ("hello missing", out_of_turn.clone(), "`Alive` makes no sense here: ".into()),
        (
            "hello twice",
            [good.clone(), good.clone()].concat(),
            "`Hello` makes no sense here: it is said once, first".into(),
        ),
    ];
    for (place, (what, bytes, why)) in cases.iter().enumerate() {
        for (party, address) in [(&source, region.source), (&relay, region.relays[0].1)] {
            let lines = party.lines().len();
            let mut raw = Raw::new(address);
            raw.send(bytes);
            raw.end();
            let reason = reason(&mut raw);
            assert!(reason.starts_with(why.as_str()), "{what}: {reason}");
            // One line says it, with the reason.
            party.says_after(lines, why);
        }
        // Others go on hearing, over the connections that they had.
        let name = format!("b-{place}");
        operator.set(1, &[(&name, Draining)]);
        proxy.until(what, |held| held.get(&name).is_some_and(|(_, phase)| phase == "leaving"));
    }
    for (party, lost) in [(&agent, "lost relay"), (&relay, "lost source")] {
        let lines = party.lines();
        assert!(!lines.iter().any(|line| line.contains(lost)), "{lines:#?}");
    }
    assert_eq!(proxy.wholes, 1);
    // Each once, beside what it says of its own start.
    for party in [&source, &relay] {
        let warnings = party.lines().into_iter().filter(|line| line.contains("WARN")).count();
        assert_eq!(warnings, cases.len(), "{:#?}", party.lines());
    }
}

/// An upstream that speaks another version, or nonsense, is left with the reason, and the other one is taken.
#[test]
fn an_upstream_that_is_not_understood_is_told_why_and_left() {
    let mut region = Region::new("upstream", 1);
    let _source = region.start_source();
    let _relay = region.start_relay(0);
    Operator::new(region.source).set(1, &[("a-1", Active)]);
    let welcome =
        encode(&Message::Welcome { protocol: PROTOCOL_VERSION + 1, name: "new".into() }).expect("short");
    let welcomed =
        encode(&Message::Welcome { protocol: PROTOCOL_VERSION, name: "mad".into() }).expect("short");
    let mad = [welcomed, vec![0, 0, 0, 1, 250]].concat();
    let mut strangers = Vec::new();
    for (name, words) in [("other-version", welcome), ("mad", mad)] {
        let address = address();
        let listener = std::net::TcpListener::bind(address).expect("a listener");
        region.relays.push((name.into(), address));
        let (tell, told) = channel();
        strangers.push(told);
        // Ends with the tests; whoever calls first need not be the one that is meant.
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.expect("a call");
                stream.set_read_timeout(Some(PATIENCE)).expect("a limit");
                stream.write_all(&words).expect("said");
                let mut heard = Vec::new();
                // Everything up to its end of the connection.
                let _ = stream.read_to_end(&mut heard);
                let _ = tell.send(String::from_utf8_lossy(&heard).into_owned());
            }
        });
    }
    // A name for each that prefers one of the strangers, found by the order itself.
    let names: Vec<String> = region.relays.iter().map(|(name, _)| name.clone()).collect();
    let prefers = |place: usize| {
        let found = (0..1000)
            .map(|n| format!("agent-{n}"))
            .find(|name| control_plane::failover::Failover::new(name, &names, 0).order()[0] == place);
        found.expect("one of a thousand")
    };
    let whys = ["is not spoken here", "is not understood"];
    for ((place, stranger), why) in (1..).zip(strangers).zip(whys) {
        let name = prefers(place);
        let (agent, discovery) = region.start_agent(&name, &[1]);
        Proxy::new(discovery).until_exactly("the list of the relay", &[("a-1", "active")]);
        let lost = agent.says("lost relay");
        assert!(lost.contains(&format!("`{}`", names[place])) && lost.contains(why), "{lost}");
        let heard = stranger.recv_timeout(PATIENCE).expect("it heard");
        assert!(heard.contains(why), "{heard}");
    }
}

#[test]
fn a_connection_that_says_nothing_is_ended_with_the_reason() {
    let region = Region::new("mute", 1);
    let _source = region.start_source();
    let mut raw = Raw::new(region.source);
    let why = reason(&mut raw);
    assert!(why.contains("no first message within") && why.contains("Hello"), "{why}");
}

#[test]
fn connections_beyond_the_bound_are_told_so_and_room_is_used_again() {
    let mut region = Region::new("full", 1);
    region.keys.insert("relay", "connections = 2".into());
    let (_source, _relay) = (region.start_source(), region.start_relay(0));
    let relay = region.relays[0].1;
    let join = || {
        let mut raw = Raw::new(relay);
        raw.say(&hello(PROTOCOL_VERSION));
        let first = raw.hear();
        (raw, first)
    };
    let (first, second) = (join(), join());
    for (_, heard) in [&first, &second] {
        assert!(matches!(heard, Some(Message::Welcome { .. })), "{heard:?}");
    }
    let (_, third) = join();
    let full = "2 subscribers are connected, no more are taken; try another relay";
    assert_eq!(third, Some(Message::Close { reason: full.into() }));
    drop(first);
    wait_for("room", || matches!(join().1, Some(Message::Welcome { .. })).then_some(()));
}

/// What others say of themselves fills no log and forges no line of it.
#[test]
fn names_of_others_are_one_short_line_of_the_log() {
    let region = Region::new("names", 1);
    let source = region.start_source();
    let mut raw = Raw::new(region.source);
    let name = format!("x\nWARN forged {}", "y".repeat(100_000));
    raw.say(&Message::Hello { protocol: PROTOCOL_VERSION, name, scope: Scope::All, positions: Vec::new() });
    assert!(matches!(raw.hear(), Some(Message::Welcome { .. })));
    let line = source.says("subscribed: x");
    assert!(line.contains("x\\nWARN forged yyy") && line.len() < 1_000, "{line}");
}
