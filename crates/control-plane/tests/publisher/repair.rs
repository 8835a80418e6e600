//! Repairs by digests.

use super::*;

/// There are more services than fit into one summary or one request, and one part of the summary is lost.
#[test]
fn sends_many_services_in_parts_and_recovers_a_lost_one() {
    let mut source = source(HIGH_RATE);
    for service in 0..10_000 {
        backend(&mut source, service * 3, "b", RecordState::Active);
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
    assert!(parts >= 6, "three parts of which the second is lost, and three more, not {parts}");
    assert_eq!(requests, 3, "4,096 services in each request");
    assert_equal_records(&source, &subscriber, &Scope::All);
}

#[test]
fn repairs_only_differing_services_behind_the_tombstone_floor() {
    let scope = services(0..50);
    let store = VersionedStore::new(0, 1).with_max_tombstones(10);
    let mut source = Source::new("source", store, HIGH_RATE);
    let mut subscriber = Subscriber::new("agent", scope.clone());
    for service in 0..50 {
        for name in 0..20 {
            backend(&mut source, service, &format!("b{name}"), RecordState::Active);
        }
    }
    connect(&mut source, &mut subscriber, 0);
    assert_equal_records(&source, &subscriber, &scope);
    // While the subscriber is disconnected, more records are removed than tombstones are retained, in three
    // services, and a record out of scope changes.
    source.disconnect(SUBSCRIBER);
    for service in [3, 17, 41] {
        (0..6).for_each(|name| {
            backend(&mut source, service, &format!("b{name}"), RecordState::Gone);
        });
    }
    backend(&mut source, 70, "b", RecordState::Active);
    assert_eq!(source.store().tombstone_count(), 10);
    let sent = connect(&mut source, &mut subscriber, 1_000);
    assert_eq!(sent.iter().filter(|message| matches!(message, Message::DigestSummary { .. })).count(), 1);
    assert_eq!(snapshots(&sent), [3, 17, 41], "only these services differ");
    assert_equal_records(&source, &subscriber, &scope);
    // While no tombstone is missing, the changes are sent from the log.
    source.disconnect(SUBSCRIBER);
    (0..10).for_each(|name| {
        backend(&mut source, 5, &format!("b{name}"), RecordState::Gone);
    });
    let sent = connect(&mut source, &mut subscriber, 2_000);
    assert!(
        sent.iter().all(|message| matches!(message, Message::Batch { .. } | Message::Heartbeat)),
        "{sent:?}"
    );
    assert_eq!(records(&sent).len(), 10);
    assert_equal_records(&source, &subscriber, &scope);
}

/// After a restart of the source without lost changes, only a summary is sent.
#[test]
fn sends_no_records_for_a_new_epoch_without_differences() {
    let scope = services(0..50);
    let mut source = source(HIGH_RATE);
    let mut subscriber = Subscriber::new("agent", scope.clone());
    for service in 0..50 {
        backend(&mut source, service, "b", RecordState::Active);
    }
    connect(&mut source, &mut subscriber, 0);
    let records = source.store().live_records().cloned().collect();
    let mut source =
        Source::new("source", VersionedStore::restore(0, 2, source.store().head(), records), HIGH_RATE);
    let sent = connect(&mut source, &mut subscriber, 1_000);
    assert!(snapshots(&sent).is_empty());
    let version = backend(&mut source, 3, "b", RecordState::Draining);
    assert_eq!(version, Version { epoch: 2, revision: 51 });
    exchange(&mut source, &mut subscriber, 1_100);
    assert_equal_records(&source, &subscriber, &scope);
}
