//! What upstream says to whom, in which order and at which pace.

use control_plane::Millis;
use control_plane::message::{
    KeyBound, MAX_MESSAGE_BYTES, Message, PROTOCOL_VERSION, ReplicaPosition, ServiceDigest, ServiceRange,
};
use control_plane::publisher::PublisherAction;
use control_plane::rate_limit::RateLimit;
use control_plane::record::{Change, Key, Kind, Record, Scope, ServiceId, State, Version};
use control_plane::relay::Relay;
use control_plane::session::MAX_SCOPE;
use control_plane::session::SessionError;
use control_plane::source::Source;
use control_plane::store::{MAX_BODY_BYTES, MAX_NAME_BYTES, VersionedStore, WriteError, validate_change};
use control_plane::subscriber::Subscriber;
use control_plane::upstream::Upstream;
use proptest::prelude::*;
use std::sync::Arc;

const FAST: RateLimit = RateLimit { bytes_per_s: 100_000_000, burst: 100_000_000 };
/// The subscriber's connection.
const SUBSCRIBER: u64 = 1;

fn change(service: ServiceId, kind: Kind, name: &str, state: State, size: usize) -> Change {
    let body = if state == State::Gone { Arc::from([]) } else { vec![7; size].into() };
    Change { key: Key { service, kind, name: name.into() }, state, body }
}

fn write(source: &mut Source, change: Change) -> Version {
    let responses =
        source.on_message(9, Message::Write { id: 1, changes: vec![change] }, 0).expect("accepted");
    match responses[..] {
        [Message::Written { id: 1, result: Ok(version) }] => version,
        _ => panic!("{responses:?}"),
    }
}

fn backend(source: &mut Source, service: ServiceId, name: &str, state: State) -> Version {
    write(source, change(service, Kind::Backend, name, state, 60))
}

fn source(rate_limit: RateLimit) -> Source {
    Source::new("source", VersionedStore::new(0, 1), rate_limit)
}

fn services(services: impl IntoIterator<Item = ServiceId>) -> Scope {
    Scope::Services(services.into_iter().collect())
}

/// All that is said at one moment, answers taken back until nobody has anything to say.
fn exchange(source: &mut Source, subscriber: &mut Subscriber, now: Millis) -> Vec<Message> {
    let mut sent = Vec::new();
    while let PublisherAction::Send(message) = source.next_action(SUBSCRIBER, now) {
        sent.push(message.clone());
        for reply in subscriber.on_message(message, now).expect("accepted").replies {
            assert_eq!(source.on_message(SUBSCRIBER, reply, now), Ok(Vec::new()));
        }
    }
    sent
}

/// Connects and says all that is there.
fn connect(source: &mut Source, subscriber: &mut Subscriber, now: Millis) -> Vec<Message> {
    source.disconnect(SUBSCRIBER);
    let welcome = source.on_message(SUBSCRIBER, subscriber.hello(), now).expect("hello is accepted");
    assert!(matches!(welcome[..], [Message::Welcome { protocol: PROTOCOL_VERSION, .. }]));
    exchange(source, subscriber, now)
}

fn assert_equal_records(source: &Source, subscriber: &Subscriber, scope: &Scope) {
    let truth: Vec<&Record> =
        source.store().live_records().filter(|record| scope.contains(record.key.service)).collect();
    let stored: Vec<&Record> = subscriber.stores().flat_map(|(_, store)| store.live_records()).collect();
    assert_eq!(truth, stored);
}

fn records(sent: &[Message]) -> Vec<&Record> {
    let batches = sent.iter().filter_map(|message| match message {
        Message::Batch { records, .. } => Some(records),
        _ => None,
    });
    batches.flatten().collect()
}

fn snapshots(sent: &[Message]) -> Vec<ServiceId> {
    let snapshots = sent.iter().filter_map(|message| match message {
        Message::ServiceSnapshot { service, .. } => Some(*service),
        _ => None,
    });
    snapshots.collect()
}

#[test]
fn slow_subscriber_receives_only_the_newest_records_without_queueing() {
    let scope = services(0..8);
    let (mut source, mut subscriber) = (source(FAST), Subscriber::new("agent", scope.clone()));
    connect(&mut source, &mut subscriber, 0);
    let before = source.retained_items(SUBSCRIBER);
    for round in 0..2_000 {
        for name in ["a", "b"] {
            let state = if round % 2 == 0 { State::Draining } else { State::Active };
            backend(&mut source, round % 8, name, state);
        }
        assert_eq!(source.retained_items(SUBSCRIBER), before, "the feed's state grew");
    }
    let sent = exchange(&mut source, &mut subscriber, 500);
    let received = records(&sent);
    assert_eq!(received.len(), 16, "each of 16 records once");
    assert!(received.iter().all(|record| source.store().get(&record.key) == Some(record)));
    assert_equal_records(&source, &subscriber, &scope);
}

#[test]
fn sends_drains_before_additions_before_other_changes_across_sources() {
    let mut sources: Vec<Source> =
        (0..3).map(|id| Source::new("source", VersionedStore::new(id, 1), FAST)).collect();
    let mut relay = Relay::new("relay", &[0, 1, 2], FAST);
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
        backend(source, id as u32, "old", State::Active);
    }
    let hello = Subscriber::new("agent", services(0..3)).hello();
    relay.on_message(SUBSCRIBER, hello, 0).expect("hello is accepted");
    publish(&mut sources, &mut relay, 0);
    // The least urgent is said first.
    for (id, source) in sources.iter_mut().enumerate() {
        write(source, change(id as u32, Kind::Route, "route", State::Active, 10));
        for name in ["new", "newer"] {
            backend(source, id as u32, name, State::Active);
        }
        backend(source, id as u32, "old", State::Draining);
        backend(source, id as u32, "older", State::Draining);
    }
    let sent = publish(&mut sources, &mut relay, 100);
    let urgencies: Vec<_> = records(&sent).iter().map(|record| record.urgency()).collect();
    assert_eq!(urgencies.len(), 15);
    assert!(urgencies.is_sorted(), "{urgencies:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Never more than the burst and what the rate adds, however it is asked.
    #[test]
    fn never_exceeds_the_rate_limit(
        rate in 500..20_000_u32,
        burst in 2_000..50_000_u32,
        steps in prop::collection::vec((0..2_000_u64, 0..30_usize, 0..600_usize), 1..60),
    ) {
        let mut source = source(RateLimit { bytes_per_s: rate, burst });
        let mut subscriber = Subscriber::new("agent", services(0..10));
        let welcome = source.on_message(SUBSCRIBER, subscriber.hello(), 0).expect("hello is accepted");
        let bytes = |message: &Message| 4 + postcard::to_stdvec(message).expect("it is encoded").len();
        let mut sent: usize = welcome.iter().map(bytes).sum();
        let mut now = 0;
        let mut count = 0;
        for (wait, writes, size) in steps {
            now += wait;
            for index in 0..writes {
                write(&mut source, change(index as u32 % 12, Kind::Backend, &format!("b{}", count % 50), State::Active, size));
                count += 1;
            }
            while let PublisherAction::Send(message) = source.next_action(SUBSCRIBER, now) {
                sent += bytes(&message);
                for reply in subscriber.on_message(message, now).expect("accepted").replies {
                    source.on_message(SUBSCRIBER, reply, now).expect("accepted");
                }
                let max = f64::from(burst) + f64::from(rate) * now as f64 / 1_000.0;
                prop_assert!(sent as f64 <= max, "{sent} bytes after {now} ms, {max} at the most");
            }
            if let PublisherAction::WaitUntil(until) = source.next_action(SUBSCRIBER, now) {
                prop_assert!(until > now, "a wait that is over would be asked for ever");
            }
        }
    }

    /// The weight by which is paced is no less than the bytes on the wire, and not much more.
    #[test]
    fn encoded_size_bound_is_a_tight_upper_bound(
        name in "[a-z]{0,200}",
        size in 0..70_000_usize,
        (epoch, revision) in any::<(u64, u64)>(),
        service in any::<u32>(),
        scope_digest in any::<Option<u64>>(),
        count in 0..300_usize,
    ) {
        let version = Version { epoch, revision };
        let key = Key { service, kind: Kind::Tenant, name: name.as_str().into() };
        let record = Record { key, version, state: State::Draining, body: vec![1; size].into() };
        let records = vec![record; count.min(3)];
        let bound = Some(KeyBound { kind: Kind::Route, name: name.as_str().into() });
        let messages = [
            Message::Heartbeat,
            Message::Welcome { protocol: PROTOCOL_VERSION, name: name.clone() },
            Message::Batch {
                source: 999, epoch, from: [version; 3], to: [version; 3], records: records.clone(), scope_digest,
            },
            Message::DigestSummary {
                source: 9, epoch, range: ServiceRange { first: 3, last: service }, to: [version; 3],
                digests: vec![ServiceDigest { service, digest: revision }; count],
            },
            Message::ServiceSnapshot {
                source: 9, epoch, as_of: version, service, after: bound.clone(), through: bound, records,
            },
            Message::Close { reason: name },
        ];
        for message in messages {
            let bytes = 4 + postcard::to_stdvec(&message).expect("it is encoded").len();
            prop_assert!(message.encoded_size_bound() >= bytes, "{} weighs {}, is {bytes}", message.name(), message.encoded_size_bound());
            prop_assert!(message.encoded_size_bound() <= bytes + 20, "{} weighs {}, is {bytes}", message.name(), message.encoded_size_bound());
        }
    }
}

#[test]
fn splits_large_services_below_the_message_limit() {
    let scope = services([1, 2]);
    let mut source = source(RateLimit::default());
    let mut subscriber = Subscriber::new("agent", scope.clone());
    for name in 0..3_000 {
        backend(&mut source, 1, &format!("backend-{name:05}"), State::Active);
    }
    write(
        &mut source,
        change(2, Kind::Configuration, &"c".repeat(MAX_NAME_BYTES), State::Active, MAX_BODY_BYTES),
    );
    let mut sent = connect(&mut source, &mut subscriber, 0);
    // The largest record is more than all tokens at once: it goes once there won't be more.
    let mut now = 0;
    while now < 120_000 {
        now += 100;
        sent.extend(exchange(&mut source, &mut subscriber, now));
    }
    assert_equal_records(&source, &subscriber, &scope);
    let parts = snapshots(&sent).iter().filter(|service| **service == 1).count();
    assert!(parts > 3, "a large service comes in parts, not {parts}");
    for message in &sent {
        let bytes = postcard::to_stdvec(message).expect("it is encoded").len();
        assert!(bytes <= MAX_MESSAGE_BYTES, "{} of {bytes} bytes", message.name());
    }
}

#[test]
fn rejects_all_changes_of_a_write_if_one_exceeds_a_bound() {
    let mut source = source(FAST);
    let cases = [
        change(1, Kind::Backend, &"n".repeat(MAX_NAME_BYTES + 1), State::Active, 1),
        change(1, Kind::Backend, "b", State::Active, MAX_BODY_BYTES + 1),
        Change { body: Arc::from([1]), ..change(1, Kind::Backend, "b", State::Gone, 0) },
    ];
    for bad in cases {
        let reason = validate_change(&bad).expect_err("it is beyond a bound").to_string();
        let changes = vec![change(1, Kind::Backend, "good", State::Active, 1), bad];
        let responses = source.on_message(9, Message::Write { id: 4, changes }, 0);
        assert_eq!(responses, Ok(vec![Message::Written { id: 4, result: Err(reason) }]));
        assert_eq!(source.store().live_records().count(), 0, "all or none");
        assert_eq!(source.store().head().revision, 0);
    }
    let long = change(1, Kind::Backend, "b", State::Active, MAX_BODY_BYTES + 1);
    let error = WriteError::TooLong {
        field: "the body",
        name: "b".into(),
        bytes: MAX_BODY_BYTES + 1,
        max: MAX_BODY_BYTES,
    };
    assert_eq!(validate_change(&long), Err(error));
}

/// Where there are more changes of the same urgency than the pace allows, the sources take turns.
#[test]
fn sources_share_the_rate_limit_evenly() {
    let mut sources: Vec<Source> =
        (0..3).map(|id| Source::new("source", VersionedStore::new(id, 1), FAST)).collect();
    let mut relay = Relay::new("relay", &[0, 1, 2], RateLimit { bytes_per_s: 2_000, burst: 2_000 });
    let mut subscriber = Subscriber::new("agent", services(0..3));
    for (id, source) in sources.iter_mut().enumerate() {
        source.on_message(5, relay.hello(id as u16), 0).expect("hello is accepted");
    }
    relay.on_message(SUBSCRIBER, subscriber.hello(), 0).expect("hello is accepted");
    let mut received = [0_usize; 3];
    for now in (0..30_000).step_by(50) {
        for (id, source) in sources.iter_mut().enumerate() {
            // Far more than the pace, at any time, after all have begun.
            if now > 1_000 {
                (0..20).for_each(|index| {
                    backend(source, id as u32, &format!("b{}", (now + index) % 997), State::Active);
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

/// More services than one summary or one question holds; a part of the summary is lost.
#[test]
fn sends_many_services_in_parts_and_recovers_a_lost_one() {
    let mut source = source(FAST);
    for service in 0..10_000 {
        backend(&mut source, service * 3, "b", State::Active);
    }
    let mut subscriber = Subscriber::new("agent", Scope::All);
    source.on_message(SUBSCRIBER, subscriber.hello(), 0).expect("hello is accepted");
    let (mut now, mut parts, mut requests) = (0, 0, 0);
    while now < 10_000 {
        let mut replies = subscriber.tick(now);
        while let PublisherAction::Send(message) = source.next_action(SUBSCRIBER, now) {
            parts += usize::from(matches!(message, Message::DigestSummary { .. }));
            if matches!(message, Message::DigestSummary { .. }) && parts == 2 {
                continue;
            }
            replies.extend(subscriber.on_message(message, now).expect("accepted").replies);
            for reply in replies.drain(..) {
                requests += usize::from(matches!(reply, Message::SnapshotRequest { .. }));
                assert_eq!(source.on_message(SUBSCRIBER, reply, now), Ok(vec![]));
            }
        }
        now += 100;
    }
    assert!(parts >= 6, "three parts, the second lost, and three more: {parts}");
    assert_eq!(requests, 3, "4,096 services at a time");
    assert_equal_records(&source, &subscriber, &Scope::All);
}

#[test]
fn repairs_only_differing_services_behind_the_tombstone_floor() {
    let scope = services(0..50);
    let store = VersionedStore::new(0, 1).with_max_tombstones(10);
    let mut source = Source::new("source", store, FAST);
    let mut subscriber = Subscriber::new("agent", scope.clone());
    for service in 0..50 {
        for name in 0..20 {
            backend(&mut source, service, &format!("b{name}"), State::Active);
        }
    }
    connect(&mut source, &mut subscriber, 0);
    assert_equal_records(&source, &subscriber, &scope);
    // It is away; in three services more is gone than tombstones are kept, one out of scope changes as well.
    source.disconnect(SUBSCRIBER);
    for service in [3, 17, 41] {
        (0..6).for_each(|name| {
            backend(&mut source, service, &format!("b{name}"), State::Gone);
        });
    }
    backend(&mut source, 70, "b", State::Active);
    assert_eq!(source.store().tombstone_count(), 10);
    let sent = connect(&mut source, &mut subscriber, 1_000);
    assert_eq!(sent.iter().filter(|message| matches!(message, Message::DigestSummary { .. })).count(), 1);
    assert_eq!(snapshots(&sent), [3, 17, 41], "these differ and no others");
    assert_equal_records(&source, &subscriber, &scope);
    // As long as the tombstones reach, the log is enough.
    source.disconnect(SUBSCRIBER);
    (0..10).for_each(|name| {
        backend(&mut source, 5, &format!("b{name}"), State::Gone);
    });
    let sent = connect(&mut source, &mut subscriber, 2_000);
    assert!(
        sent.iter().all(|message| matches!(message, Message::Batch { .. } | Message::Heartbeat)),
        "{sent:?}"
    );
    assert_eq!(records(&sent).len(), 10);
    assert_equal_records(&source, &subscriber, &scope);
}

/// A start of the source without loss costs a summary, and no records.
#[test]
fn sends_no_records_for_a_new_epoch_without_differences() {
    let scope = services(0..50);
    let mut source = source(FAST);
    let mut subscriber = Subscriber::new("agent", scope.clone());
    for service in 0..50 {
        backend(&mut source, service, "b", State::Active);
    }
    connect(&mut source, &mut subscriber, 0);
    let records = source.store().live_records().cloned().collect();
    let mut source =
        Source::new("source", VersionedStore::restore(0, 2, source.store().head(), records), FAST);
    let sent = connect(&mut source, &mut subscriber, 1_000);
    assert!(snapshots(&sent).is_empty());
    let version = backend(&mut source, 3, "b", State::Draining);
    assert_eq!(version, Version { epoch: 2, revision: 51 });
    exchange(&mut source, &mut subscriber, 1_100);
    assert_equal_records(&source, &subscriber, &scope);
}

#[test]
fn idle_upstream_sends_heartbeats_and_periodic_digests() {
    let scope = services([1]);
    let (mut source, mut subscriber) = (source(FAST), Subscriber::new("agent", scope));
    backend(&mut source, 1, "b", State::Active);
    connect(&mut source, &mut subscriber, 0);
    let (mut messages, mut checks) = (0, 0);
    let mut now = 0;
    while now <= 60_000 {
        match source.next_action(SUBSCRIBER, now) {
            PublisherAction::Send(message) => {
                messages += 1;
                checks += usize::from(matches!(message, Message::Batch { scope_digest: Some(_), .. }));
                assert_eq!(subscriber.on_message(message, now).expect("accepted").replies, []);
            }
            PublisherAction::WaitUntil(until) => {
                assert!(until > now && until <= now + 1_000);
                now = until;
            }
        }
    }
    assert!((55..=65).contains(&messages), "{messages} messages in a minute");
    assert_eq!(checks, 6);
}

/// What happens out of scope is not sent, but how far one is: else a long absence would cost a long look into the log.
#[test]
fn changes_out_of_scope_cost_one_progress_message_per_second() {
    let scope = services([1]);
    let (mut source, mut subscriber) = (source(FAST), Subscriber::new("agent", scope.clone()));
    backend(&mut source, 1, "b", State::Active);
    connect(&mut source, &mut subscriber, 0);
    let mut sent = Vec::new();
    for now in 0..5_000 {
        backend(&mut source, 2, &format!("b{}", now % 7), State::Active);
        sent.extend(exchange(&mut source, &mut subscriber, now));
    }
    assert!(records(&sent).is_empty());
    assert!(sent.len() <= 6, "{} messages in 5 s", sent.len());
    let Message::Hello { positions, .. } = subscriber.hello() else { panic!("hello is Hello") };
    assert!(positions[0].cursor[0].revision > 4_000);
}

#[test]
fn rejects_unexpected_messages_and_exceeded_limits() {
    let mut source = source(FAST);
    let hello = Subscriber::new("agent", services([1])).hello();
    let is_unexpected = |result: Result<Vec<Message>, SessionError>| {
        matches!(result, Err(SessionError::UnexpectedMessage { .. }))
    };
    assert!(
        is_unexpected(source.on_message(SUBSCRIBER, Message::DigestRequest { source: 0 }, 0)),
        "before hello"
    );
    assert!(
        matches!(source.next_action(SUBSCRIBER, 0), PublisherAction::WaitUntil(_)),
        "before hello there is nothing"
    );
    source.on_message(SUBSCRIBER, hello.clone(), 0).expect("hello is accepted");
    assert!(is_unexpected(source.on_message(SUBSCRIBER, hello.clone(), 0)), "hello twice");
    assert!(is_unexpected(source.on_message(SUBSCRIBER, Message::Heartbeat, 0)), "what upstream says");
    let other = Message::Hello {
        protocol: PROTOCOL_VERSION + 1,
        name: "x".into(),
        scope: Scope::All,
        positions: vec![],
    };
    assert_eq!(
        source.on_message(2, other, 0),
        Err(SessionError::ProtocolMismatch { theirs: PROTOCOL_VERSION + 1, ours: PROTOCOL_VERSION })
    );
    let wide = Subscriber::new("agent", services(0..=MAX_SCOPE as u32)).hello();
    assert!(matches!(source.on_message(2, wide, 0), Err(SessionError::LimitExceeded { .. })));
    let positions =
        (0..300).map(|source| ReplicaPosition { source, epoch: 1, cursor: Default::default() }).collect();
    let many = Message::Hello { protocol: PROTOCOL_VERSION, name: "x".into(), scope: Scope::All, positions };
    assert!(matches!(source.on_message(2, many, 0), Err(SessionError::LimitExceeded { .. })));
    let services = (0..5_000).collect();
    let request = Message::SnapshotRequest { source: 0, services };
    assert!(matches!(source.on_message(SUBSCRIBER, request, 0), Err(SessionError::LimitExceeded { .. })));
    let mut source = source.with_max_subscribers(1);
    assert_eq!(source.on_message(2, hello.clone(), 0), Err(SessionError::TooManySubscribers(1)));
    source.disconnect(SUBSCRIBER);
    assert!(source.on_message(2, hello, 0).is_ok(), "there is room again");
    let mut relay = Relay::new("relay", &[0], FAST);
    assert!(
        is_unexpected(relay.on_source_message(1, Message::Heartbeat, 0)),
        "a source that is none of its own"
    );
    let foreign = Message::DigestSummary {
        source: 3,
        epoch: 1,
        range: ServiceRange { first: 0, last: 9 },
        to: Default::default(),
        digests: vec![],
    };
    assert!(
        is_unexpected(relay.on_source_message(0, foreign, 0)),
        "a source that speaks of another's records"
    );
    let mut subscriber = Subscriber::new("agent", Scope::All);
    assert!(subscriber.on_message(Message::DigestRequest { source: 0 }, 0).is_err());
}

/// Requests that come over and over replace one another.
#[test]
fn repeated_requests_replace_one_another() {
    let scope = services(0..20);
    let (mut source, mut subscriber) =
        (source(RateLimit { bytes_per_s: 100, burst: 2_000 }), Subscriber::new("agent", scope));
    for service in 0..20 {
        backend(&mut source, service, "b", State::Active);
    }
    connect(&mut source, &mut subscriber, 0);
    for round in 0..1_000 {
        let services = (0..4_000).map(|service| service * 7 % 100).collect();
        source
            .on_message(SUBSCRIBER, Message::SnapshotRequest { source: 0, services }, round)
            .expect("accepted");
        source.on_message(SUBSCRIBER, Message::DigestRequest { source: 0 }, round).expect("accepted");
        assert!(source.retained_items(SUBSCRIBER) <= 20 + 1 + 20);
    }
    // And they are paced as all else is.
    let mut sent = 0;
    while let PublisherAction::Send(message) = source.next_action(SUBSCRIBER, 1_000) {
        sent += message.encoded_size_bound();
    }
    assert!(sent <= 2_100, "{sent} bytes");
}
