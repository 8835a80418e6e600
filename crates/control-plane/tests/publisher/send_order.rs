//! The order of messages, and the messages to slow and idle subscribers.

use super::*;

#[test]
fn slow_subscriber_receives_only_the_newest_records_without_queueing() {
    let scope = services(0..8);
    let (mut source, mut subscriber) = (source(HIGH_RATE), Subscriber::new("agent", scope.clone()));
    connect(&mut source, &mut subscriber, 0);
    let before = source.retained_items(SUBSCRIBER);
    for round in 0..2_000 {
        for name in ["a", "b"] {
            let state = if round % 2 == 0 { RecordState::Draining } else { RecordState::Active };
            backend(&mut source, round % 8, name, state);
        }
        assert_eq!(source.retained_items(SUBSCRIBER), before, "the send state has grown");
    }
    let sent = exchange(&mut source, &mut subscriber, 500);
    let received = records(&sent);
    assert_eq!(received.len(), 16, "each of 16 records is sent once");
    assert!(received.iter().all(|record| source.store().get(&record.key) == Some(record)));
    assert_equal_records(&source, &subscriber, &scope);
}

#[test]
fn sends_drains_before_additions_before_other_changes_across_sources() {
    let mut sources: Vec<Source> =
        (0..3).map(|id| Source::new("source", VersionedStore::new(id, 1), HIGH_RATE)).collect();
    let mut relay = Relay::new("relay", &[0, 1, 2], HIGH_RATE);
    let scope = services(0..3);
    let mut subscriber = Subscriber::new("agent", scope);
    let mut publish = |sources: &mut [Source], relay: &mut Relay, now: Millis| {
        for (id, source) in sources.iter_mut().enumerate() {
            while let PublisherAction::Send(message) = source.next_action(5, now) {
                for response in relay.on_source_message(id as u16, message, now).expect("accepted") {
                    source.on_message(5, response, now).expect("accepted");
                }
            }
        }
        let mut sent = Vec::new();
        while let PublisherAction::Send(message) = relay.next_action(SUBSCRIBER, now) {
            sent.push(message.clone());
            for reply in subscriber.on_message(message, now).expect("accepted").replies {
                relay.on_message(SUBSCRIBER, reply, now).expect("accepted");
            }
        }
        sent
    };
    for (id, source) in sources.iter_mut().enumerate() {
        source.on_message(5, relay.hello(id as u16), 0).expect("hello is accepted");
        backend(source, id as u32, "old", RecordState::Active);
    }
    let hello = Subscriber::new("agent", services(0..3)).hello();
    relay.on_message(SUBSCRIBER, hello, 0).expect("hello is accepted");
    publish(&mut sources, &mut relay, 0);
    // The changes are written in reverse order of urgency.
    for (id, source) in sources.iter_mut().enumerate() {
        write(source, change(id as u32, RecordKind::Route, "route", RecordState::Active, 10));
        for name in ["new", "newer"] {
            backend(source, id as u32, name, RecordState::Active);
        }
        backend(source, id as u32, "old", RecordState::Draining);
        backend(source, id as u32, "older", RecordState::Draining);
    }
    let sent = publish(&mut sources, &mut relay, 100);
    let urgencies: Vec<_> = records(&sent).iter().map(|record| record.urgency()).collect();
    assert_eq!(urgencies.len(), 15);
    assert!(urgencies.is_sorted(), "{urgencies:?}");
}

/// If there are more changes of one urgency than the rate limit allows, the sources are served in rotation.
#[test]
fn divides_the_rate_limit_evenly_between_sources() {
    let mut sources: Vec<Source> =
        (0..3).map(|id| Source::new("source", VersionedStore::new(id, 1), HIGH_RATE)).collect();
    let mut relay = Relay::new("relay", &[0, 1, 2], RateLimit { bytes_per_s: 2_000, burst_bytes: 2_000 });
    let mut subscriber = Subscriber::new("agent", services(0..3));
    for (id, source) in sources.iter_mut().enumerate() {
        source.on_message(5, relay.hello(id as u16), 0).expect("hello is accepted");
    }
    relay.on_message(SUBSCRIBER, subscriber.hello(), 0).expect("hello is accepted");
    let mut received = [0_usize; 3];
    for now in (0..30_000).step_by(50) {
        for (id, source) in sources.iter_mut().enumerate() {
            // Once all sources are connected, far more is written than the rate limit allows.
            if now > 1_000 {
                (0..20).for_each(|index| {
                    backend(source, id as u32, &format!("b{}", (now + index) % 997), RecordState::Active);
                });
            }
            while let PublisherAction::Send(message) = source.next_action(5, now) {
                for response in relay.on_source_message(id as u16, message, now).expect("accepted") {
                    source.on_message(5, response, now).expect("accepted");
                }
            }
        }
        while let PublisherAction::Send(message) = relay.next_action(SUBSCRIBER, now) {
            if let Message::Batch { source, records, .. } = &message {
                received[usize::from(*source)] += records.len();
            }
            for reply in subscriber.on_message(message, now).expect("accepted").replies {
                relay.on_message(SUBSCRIBER, reply, now).expect("accepted");
            }
        }
    }
    let (min, max) = (received.iter().min().expect("some"), received.iter().max().expect("some"));
    assert!(*min > 100 && max - min <= min / 5, "{received:?}");
}

#[test]
fn idle_upstream_sends_heartbeats_and_periodic_digests() {
    let scope = services([1]);
    let (mut source, mut subscriber) = (source(HIGH_RATE), Subscriber::new("agent", scope));
    backend(&mut source, 1, "b", RecordState::Active);
    connect(&mut source, &mut subscriber, 0);
    let (mut messages, mut digests) = (0, 0);
    let mut now = 0;
    while now <= 60_000 {
        match source.next_action(SUBSCRIBER, now) {
            PublisherAction::Send(message) => {
                messages += 1;
                digests += usize::from(matches!(message, Message::Batch { scope_digest: Some(_), .. }));
                assert_eq!(subscriber.on_message(message, now).expect("accepted").replies, []);
            }
            PublisherAction::WaitUntil(until) => {
                assert!(until > now && until <= now + 1_000);
                now = until;
            }
        }
    }
    assert!((55..=65).contains(&messages), "{messages} messages in a minute");
    assert_eq!(digests, 6);
}

/// Changes out of scope are not sent, but the position is: otherwise a long scan of the log would be required
/// after a long absence.
#[test]
fn changes_out_of_scope_cost_one_progress_message_per_second() {
    let scope = services([1]);
    let (mut source, mut subscriber) = (source(HIGH_RATE), Subscriber::new("agent", scope.clone()));
    backend(&mut source, 1, "b", RecordState::Active);
    connect(&mut source, &mut subscriber, 0);
    let mut sent = Vec::new();
    for now in 0..5_000 {
        backend(&mut source, 2, &format!("b{}", now % 7), RecordState::Active);
        sent.extend(exchange(&mut source, &mut subscriber, now));
    }
    assert!(records(&sent).is_empty());
    assert!(sent.len() <= 6, "{} messages in 5 s", sent.len());
    let Message::Hello { positions, .. } = subscriber.hello() else { panic!("not a hello") };
    assert!(positions[0].cursor[0].revision > 4_000);
}
