//! Replicas at a relay, and the messages that the relay publishes from them.

use super::*;

/// A relay with these records, whose cursors are at this revision.
fn relay_at(to: u64, records: &[Record]) -> Relay {
    let mut relay = Relay::new("relay", &[0], RateLimit::unbounded());
    relay.on_source_message(0, summary(to, records), 0).expect("accepted");
    for service in 0..9 {
        let of_service: Vec<Record> =
            records.iter().filter(|record| record.key.service == service).cloned().collect();
        if !of_service.is_empty() {
            relay.on_source_message(0, snapshot(to, service, of_service), 0).expect("accepted");
        }
    }
    relay
}

fn subscribe(relay: &mut Relay, positions: Vec<ReplicaPosition>) {
    let hello =
        Message::Hello { protocol: PROTOCOL_VERSION, name: "agent".into(), scope: Scope::All, positions };
    relay.on_message(SUBSCRIBER, hello, 0).expect("hello is accepted");
}

fn send(relay: &mut Relay, message: Message) {
    assert_eq!(relay.on_message(SUBSCRIBER, message, 0), Ok(vec![]));
}

/// All messages that are due at time 0.
fn sent_messages(relay: &mut Relay) -> Vec<Message> {
    std::iter::from_fn(|| match relay.next_action(SUBSCRIBER, 0) {
        PublisherAction::Send(message) => Some(message),
        PublisherAction::WaitUntil(_) => None,
    })
    .collect()
}

fn is_summary(message: &Message) -> bool {
    matches!(message, Message::DigestSummary { .. })
}

/// A relay may receive drains before earlier additions. Its snapshot of a service then covers the version up
/// to which the relay is complete, and includes the tombstones beyond that: otherwise a relay at an older
/// position could restore removed records at the subscriber.
#[test]
fn relay_snapshot_includes_tombstones_beyond_its_position() {
    let (old, removed) = (record(1, "a", 3, RecordState::Active), record(1, "a", 9, RecordState::Gone));
    let mut relay = relay_at(5, std::slice::from_ref(&old));
    relay.on_source_message(0, batch([5; 3], [9, 5, 5], vec![removed.clone()]), 0).expect("accepted");
    subscribe(&mut relay, vec![]);
    assert!(sent_messages(&mut relay).iter().any(is_summary));
    send(&mut relay, Message::SnapshotRequest { source: 0, services: vec![1] });
    let sent = sent_messages(&mut relay);
    let expected = snapshot(5, 1, vec![removed]);
    assert_eq!(sent, std::slice::from_ref(&expected));
    let mut subscriber = subscriber_at(5, std::slice::from_ref(&old));
    assert_eq!(deliver(&mut subscriber, expected).applied.len(), 1);
    assert_eq!(
        deliver(&mut subscriber, snapshot(5, 1, vec![old])).applied,
        [],
        "a relay at an older position"
    );
}

#[test]
fn relay_publishes_nothing_during_a_repair_to_a_new_epoch() {
    let old = record(1, "a", 3, RecordState::Active);
    let mut relay = relay_at(5, std::slice::from_ref(&old));
    relay
        .on_source_message(0, batch([5; 3], [8; 3], vec![record(1, "c", 7, RecordState::Active)]), 0)
        .expect("accepted");
    // `c` has not been sent to the subscriber yet.
    subscribe(&mut relay, vec![ReplicaPosition { source: 0, epoch: 1, cursor: cursor([5; 3]) }]);
    let source_store =
        VersionedStore::restore(0, 2, version(1, 4), vec![record(2, "b", 4, RecordState::Active)]);
    let digests = digests(&source_store);
    let (to, range) = ([source_store.head(); 3], ALL_SERVICES);
    let new_epoch = Message::DigestSummary { source: 0, epoch: 2, range, to, digests };
    let responses = relay.on_source_message(0, new_epoch, 0).expect("accepted");
    assert_eq!(responses, [Message::SnapshotRequest { source: 0, services: vec![1, 2] }]);
    assert_eq!(sent_messages(&mut relay), [], "the new epoch may have lost `c`");
    let service = |service: ServiceId| Message::ServiceSnapshot {
        source: 0,
        epoch: 2,
        as_of: source_store.head(),
        service,
        after: None,
        through: None,
        records: source_store.service(service).cloned().collect(),
    };
    relay.on_source_message(0, service(1), 0).expect("accepted");
    assert_eq!(sent_messages(&mut relay), [], "an incomplete repair is not published");
    relay.on_source_message(0, service(2), 0).expect("accepted");
    assert!(matches!(sent_messages(&mut relay)[..], [Message::DigestSummary { epoch: 2, .. }]));
}

#[test]
fn inconsistent_relay_publishes_changes_but_no_digests() {
    let records = [record(1, "a", 3, RecordState::Active), record(2, "b", 4, RecordState::Active)];
    let mut relay = relay_at(5, &records);
    subscribe(&mut relay, vec![ReplicaPosition { source: 0, epoch: 1, cursor: cursor([5; 3]) }]);
    sent_messages(&mut relay);
    // The source's digests differ: the relay requests service 2.
    let repaired = record(2, "b", 5, RecordState::Active);
    let responses =
        relay.on_source_message(0, summary(5, &[records[0].clone(), repaired.clone()]), 0).expect("accepted");
    assert_eq!(responses, [Message::SnapshotRequest { source: 0, services: vec![2] }]);
    // Changes during the repair are sent immediately.
    let drained = record(1, "a", 6, RecordState::Draining);
    relay.on_source_message(0, batch([5; 3], [6; 3], vec![drained.clone()]), 0).expect("accepted");
    let sent = sent_messages(&mut relay);
    let has_digest =
        sent.iter().any(|message| matches!(message, Message::Batch { scope_digest: Some(_), .. }));
    assert!(
        matches!(&sent[..], [Message::Batch { records, .. }] if *records == [drained]) && !has_digest,
        "{sent:?}"
    );
    send(&mut relay, Message::DigestRequest { source: 0 });
    assert_eq!(sent_messages(&mut relay), []);
    let before = relay.store(0).map(VersionedStore::generation);
    relay.on_source_message(0, snapshot(5, 2, vec![repaired]), 0).expect("accepted");
    assert!(relay.store(0).map(VersionedStore::generation) > before);
    assert!(
        matches!(&sent_messages(&mut relay)[..], [Message::DigestSummary { digests, .. }] if digests.len() == 2)
    );
}

/// Found by the simulation (seed 35): a relay received a removal in a repair, with a later version, and then
/// the change itself. A subscriber that received everything up to that change would have missed the removal.
#[test]
fn relay_publishes_a_removal_at_its_log_position() {
    let old = record(1, "a", 1, RecordState::Active);
    let mut relay = relay_at(1, std::slice::from_ref(&old));
    relay.on_source_message(0, snapshot(4, 1, vec![]), 0).expect("accepted");
    let removed = record(1, "a", 2, RecordState::Gone);
    relay.on_source_message(0, batch([1; 3], [3, 1, 3], vec![removed.clone()]), 0).expect("accepted");
    subscribe(&mut relay, vec![ReplicaPosition { source: 0, epoch: 1, cursor: cursor([1; 3]) }]);
    let sent = sent_messages(&mut relay);
    assert!(matches!(&sent[..], [Message::Batch { records, .. }, ..] if *records == [removed]), "{sent:?}");
}

/// Records changed by a repair at a relay may be before the cursors of its subscribers, so the relay sends
/// digests to them.
#[test]
fn repair_at_a_relay_reaches_its_subscribers() {
    let mut relay = relay_at(5, &[record(1, "a", 3, RecordState::Active)]);
    subscribe(&mut relay, vec![ReplicaPosition { source: 0, epoch: 1, cursor: cursor([5; 3]) }]);
    sent_messages(&mut relay);
    let repaired = record(2, "b", 4, RecordState::Active);
    relay
        .on_source_message(0, summary(5, &[record(1, "a", 3, RecordState::Active), repaired.clone()]), 0)
        .expect("accepted");
    relay.on_source_message(0, snapshot(5, 2, vec![repaired.clone()]), 0).expect("accepted");
    assert!(matches!(sent_messages(&mut relay)[..], [Message::DigestSummary { .. }]));
    // The same applies to a snapshot that was not requested.
    let other = record(3, "c", 4, RecordState::Active);
    relay.on_source_message(0, snapshot(5, 3, vec![other]), 0).expect("accepted");
    assert!(matches!(sent_messages(&mut relay)[..], [Message::DigestSummary { .. }]));
    // A subscriber at a position before the repair may miss tombstones that the relay never received.
    relay.disconnect(SUBSCRIBER);
    subscribe(&mut relay, vec![ReplicaPosition { source: 0, epoch: 1, cursor: cursor([4; 3]) }]);
    assert!(matches!(sent_messages(&mut relay)[..], [Message::DigestSummary { .. }]));
}

/// A relay behind a subscriber sends neither changes of an older epoch nor older changes: it sends nothing
/// until it has caught up.
#[test]
fn subscriber_ahead_of_its_relay_receives_nothing() {
    let mut relay = relay_at(5, &[record(1, "a", 3, RecordState::Active)]);
    subscribe(&mut relay, vec![ReplicaPosition { source: 0, epoch: 1, cursor: cursor([9; 3]) }]);
    assert_eq!(sent_messages(&mut relay), []);
    relay
        .on_source_message(0, batch([5; 3], [10; 3], vec![record(1, "b", 10, RecordState::Draining)]), 0)
        .expect("accepted");
    let sent = sent_messages(&mut relay);
    assert!(
        matches!(&sent[..], [Message::Batch { records, .. }, ..] if records.len() == 1 && records[0].urgency() == Urgency::Drain)
    );
    relay.disconnect(SUBSCRIBER);
    subscribe(&mut relay, vec![ReplicaPosition { source: 0, epoch: 2, cursor: [version(2, 9); 3] }]);
    assert_eq!(sent_messages(&mut relay), []);
}

/// All records that a repair removed have the version of the repair. If a message ended between them, the
/// cursor would skip the others.
#[test]
fn does_not_split_records_of_one_version() {
    // The first count fits into a message of the usual size, the second into a message of the maximum size.
    // The third fits into none, so it is repaired by digests.
    for (count, by_digest) in [(600, false), (6_000, false), (20_000, true)] {
        let name = |index: usize| format!("backend-{index:06}");
        // Of two services only one is in scope.
        let records: Vec<Record> = (0..count)
            .map(|index| record(1 + index as u32 % 2, &name(index), index as u64 + 1, RecordState::Active))
            .collect();
        let to = count as u64;
        let mut sorted = records.clone();
        sorted.sort_by(|left, right| left.key.cmp(&right.key));
        let rate_limit = RateLimit { bytes_per_s: 1_000_000, burst_bytes: 1_000_000 };
        let mut relay = Relay::new("relay", &[0], rate_limit);
        let load = |relay: &mut Relay, to: u64, records: &[Record]| {
            relay.on_source_message(0, summary(to, records), 0).expect("accepted");
            for service in [1, 2] {
                let of_service =
                    records.iter().filter(|record| record.key.service == service).cloned().collect();
                relay.on_source_message(0, snapshot(to, service, of_service), 0).expect("accepted");
            }
        };
        load(&mut relay, to, &sorted);
        let mut subscriber = Subscriber::new("agent", Scope::Services([2].into()));
        let mut now = 0;
        let mut exchange = |relay: &mut Relay, subscriber: &mut Subscriber| {
            let mut names = Vec::new();
            for _ in 0..300 {
                now += 100;
                while let PublisherAction::Send(message) = relay.next_action(SUBSCRIBER, now) {
                    names.push(message.name());
                    for reply in subscriber.on_message(message, now).expect("accepted").replies {
                        relay.on_message(SUBSCRIBER, reply, now).expect("accepted");
                    }
                }
            }
            names
        };
        relay.on_message(SUBSCRIBER, subscriber.hello(), 0).expect("hello is accepted");
        exchange(&mut relay, &mut subscriber);
        assert_eq!(stored_records(&subscriber).len(), count / 2);
        // All records are removed at the source. The relay receives this in a repair ten revisions later,
        // with its cursors at the summary. The subscriber disconnects before the repair, and reconnects with
        // the cursor of the repaired relay.
        relay.disconnect(SUBSCRIBER);
        relay.on_source_message(0, summary(to + 1, &[]), 0).expect("accepted");
        for service in [1, 2] {
            relay.on_source_message(0, snapshot(to + 10, service, vec![]), 0).expect("accepted");
        }
        let Message::Hello { protocol, name, scope, mut positions } = subscriber.hello() else {
            panic!("not a hello")
        };
        positions[0].cursor = cursor([to + 1; 3]);
        relay
            .on_message(SUBSCRIBER, Message::Hello { protocol, name, scope, positions }, 0)
            .expect("hello is accepted");
        relay.on_source_message(0, batch([to + 1; 3], [to + 11; 3], vec![]), 0).expect("accepted");
        // Advances the subscriber's own position to the same revision.
        let ahead = Message::Batch {
            source: 0,
            epoch: 1,
            from: cursor([to; 3]),
            to: cursor([to + 1; 3]),
            records: vec![],
            scope_digest: None,
        };
        subscriber.on_message(ahead, 0).expect("accepted");
        let names = exchange(&mut relay, &mut subscriber);
        assert_eq!(stored_records(&subscriber), []);
        assert_eq!(names.contains(&"Summary"), by_digest, "{names:?}");
    }
}
