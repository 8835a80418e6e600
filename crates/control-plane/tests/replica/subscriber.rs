//! Replicas at a subscriber.

use super::*;

#[test]
fn ignores_a_snapshot_from_before_the_summary() {
    let old = record(1, "a", 3, RecordState::Active);
    let new = record(1, "b", 7, RecordState::Active);
    let mut subscriber = Subscriber::new("agent", Scope::All);
    let outcome = deliver(&mut subscriber, summary(7, &[old.clone(), new.clone()]));
    assert_eq!(outcome.replies, [Message::SnapshotRequest { source: 0, services: vec![1] }]);
    deliver(&mut subscriber, snapshot(5, 1, vec![old.clone()]));
    assert_eq!(position(&subscriber), None, "a snapshot from before `b` was added");
    deliver(&mut subscriber, snapshot(7, 1, vec![old.clone(), new.clone()]));
    assert_eq!(position(&subscriber).map(|position| position.cursor), Some(cursor([7; 3])));
    assert_eq!(stored_records(&subscriber), [old, new]);
}

/// Found by the simulation (seed 22): the response to an older request filled a service that was empty
/// according to the newer summary, and the end of the repair then reported a complete replica.
#[test]
fn ignores_late_messages_from_before_a_summary() {
    let (removed, retained) =
        (record(1, "a", 3, RecordState::Active), record(2, "b", 4, RecordState::Active));
    let late = [
        snapshot(5, 1, vec![removed.clone()]),
        batch([0; 3], [6; 3], vec![record(1, "c", 6, RecordState::Active)]),
    ];
    for late in late {
        let mut subscriber = Subscriber::new("agent", Scope::All);
        deliver(&mut subscriber, summary(5, &[removed.clone(), retained.clone()]));
        deliver(&mut subscriber, summary(7, std::slice::from_ref(&retained)));
        assert_eq!(deliver(&mut subscriber, late).applied, []);
        deliver(&mut subscriber, snapshot(7, 2, vec![retained.clone()]));
        assert_eq!(position(&subscriber).map(|position| position.cursor), Some(cursor([7; 3])));
        assert_eq!(stored_records(&subscriber), std::slice::from_ref(&retained));
    }
}

#[test]
fn old_snapshot_does_not_restore_a_removed_record() {
    let old = record(1, "a", 3, RecordState::Active);
    let mut subscriber = subscriber_at(5, std::slice::from_ref(&old));
    deliver(&mut subscriber, batch([5; 3], [10; 3], vec![record(1, "a", 9, RecordState::Gone)]));
    assert_eq!(stored_records(&subscriber), []);
    // The tombstone has been dropped, as all cursors have passed it.
    assert!(subscriber.stores().all(|(_, store)| store.get(&old.key).is_none()));
    assert_eq!(deliver(&mut subscriber, snapshot(5, 1, vec![old.clone()])).applied, []);
    assert_eq!(deliver(&mut subscriber, batch([0; 3], [5; 3], vec![old])).applied, []);
    assert_eq!(stored_records(&subscriber), []);
}

#[test]
fn old_snapshot_does_not_change_newer_records() {
    let newer = record(1, "a", 8, RecordState::Draining);
    let other = record(1, "b", 9, RecordState::Active);
    let mut subscriber = subscriber_at(10, &[newer.clone(), other.clone()]);
    assert_eq!(
        deliver(&mut subscriber, snapshot(5, 1, vec![record(1, "a", 3, RecordState::Active)])).applied,
        []
    );
    assert_eq!(stored_records(&subscriber), [newer, other]);
}

#[test]
fn retains_a_tombstone_until_all_cursors_pass_it() {
    let mut subscriber = subscriber_at(5, &[]);
    // A removal that arrives before earlier changes.
    let outcome =
        deliver(&mut subscriber, batch([8, 5, 5], [9, 5, 5], vec![record(1, "a", 9, RecordState::Gone)]));
    let positions = vec![ReplicaPosition { source: 0, epoch: 1, cursor: cursor([5; 3]) }];
    assert_eq!(outcome.replies, [Message::Resume { positions }], "a change before the removal is missing");
    deliver(&mut subscriber, batch([5; 3], [5, 6, 5], vec![record(2, "b", 6, RecordState::Active)]));
    let outcome =
        deliver(&mut subscriber, batch([5, 6, 5], [5, 7, 5], vec![record(1, "a", 7, RecordState::Active)]));
    assert_eq!(outcome.applied, [], "the record was removed at a later revision");
    deliver(&mut subscriber, batch([5, 7, 5], [9; 3], vec![record(1, "a", 9, RecordState::Gone)]));
    assert_eq!(stored_records(&subscriber), [record(2, "b", 6, RecordState::Active)]);
    assert_eq!(position(&subscriber).map(|position| position.cursor), Some(cursor([9; 3])));
}

#[test]
fn batches_during_a_repair_advance_up_to_the_first_gap() {
    let mut subscriber = subscriber_at(5, &[record(1, "a", 3, RecordState::Active)]);
    let current = [record(1, "a", 6, RecordState::Active)];
    deliver(&mut subscriber, summary(7, &current));
    deliver(&mut subscriber, batch([7; 3], [9; 3], vec![record(2, "b", 8, RecordState::Active)]));
    deliver(&mut subscriber, batch([12; 3], [13; 3], vec![record(2, "c", 13, RecordState::Active)]));
    assert_eq!(
        position(&subscriber).map(|position| position.cursor),
        Some(cursor([5; 3])),
        "unchanged until the end of the repair"
    );
    deliver(&mut subscriber, snapshot(7, 1, current.to_vec()));
    assert_eq!(position(&subscriber).map(|position| position.cursor), Some(cursor([9; 3])));
}

#[test]
fn repair_needs_all_parts_of_a_snapshot() {
    let records: Vec<Record> = ["a", "b", "c"].map(|name| record(1, name, 3, RecordState::Active)).to_vec();
    let bound =
        |index: usize| Some(KeyBound { kind: RecordKind::Backend, name: records[index].key.name.clone() });
    let part = |after: Option<usize>, through: Option<usize>, included: std::ops::Range<usize>| {
        Message::ServiceSnapshot {
            source: 0,
            epoch: 1,
            as_of: version(1, 7),
            service: 1,
            after: after.and_then(bound),
            through: through.and_then(bound),
            records: records[included].to_vec(),
        }
    };
    let stale = record(1, "bb", 2, RecordState::Active);
    let mut subscriber = subscriber_at(5, std::slice::from_ref(&stale));
    deliver(&mut subscriber, summary(7, &records));
    deliver(&mut subscriber, part(None, Some(0), 0..1));
    // The second part is lost.
    deliver(&mut subscriber, part(Some(1), None, 2..3));
    assert_eq!(position(&subscriber).map(|position| position.cursor), Some(cursor([5; 3])));
    assert_eq!(
        stored_records(&subscriber).len(),
        2,
        "keys between the received parts are unchanged, but `bb` is not one of them"
    );
    deliver(&mut subscriber, part(Some(0), Some(1), 1..2));
    deliver(&mut subscriber, part(Some(1), None, 2..3));
    assert_eq!(position(&subscriber).map(|position| position.cursor), Some(cursor([7; 3])));
    assert_eq!(stored_records(&subscriber), records);
}

/// Changes that the new epoch has lost are removed, even if their revisions are greater than all of that
/// epoch.
#[test]
fn removes_changes_that_a_new_epoch_has_lost() {
    let (retained, lost) = (record(1, "a", 3, RecordState::Active), record(1, "b", 9, RecordState::Active));
    let drained = record(2, "c", 8, RecordState::Draining);
    let mut subscriber = subscriber_at(9, &[retained.clone(), lost, drained]);
    let active = record(2, "c", 4, RecordState::Active);
    let source_store = VersionedStore::restore(0, 2, version(1, 5), vec![retained.clone(), active.clone()]);
    let outcome = deliver(
        &mut subscriber,
        Message::DigestSummary {
            source: 0,
            epoch: 2,
            range: ALL_SERVICES,
            to: [source_store.head(); 3],
            digests: digests(&source_store),
        },
    );
    assert_eq!(outcome.replies, [Message::SnapshotRequest { source: 0, services: vec![1, 2] }]);
    for (service, record) in [(1, &retained), (2, &active)] {
        assert_eq!(
            position(&subscriber).map(|position| position.epoch),
            Some(1),
            "unchanged until the end of the repair"
        );
        let (as_of, records) = (source_store.head(), vec![record.clone()]);
        let snapshot = Message::ServiceSnapshot {
            source: 0,
            epoch: 2,
            as_of,
            service,
            after: None,
            through: None,
            records,
        };
        deliver(&mut subscriber, snapshot);
    }
    assert_eq!(stored_records(&subscriber), [retained, active]);
    assert_eq!(
        position(&subscriber),
        Some(ReplicaPosition { source: 0, epoch: 2, cursor: [source_store.head(); 3] })
    );
}

#[test]
fn retries_an_unanswered_request_with_backoff() {
    let mut subscriber = subscriber_at(5, &[]);
    deliver(&mut subscriber, batch([8; 3], [9; 3], vec![]));
    let mut retries: Vec<Millis> = Vec::new();
    for now in (0..200_000).step_by(100) {
        let requests = subscriber.tick(now);
        assert!(requests.iter().all(|request| matches!(request, Message::Resume { .. })));
        retries.extend(requests.iter().map(|_| now));
    }
    assert_eq!(retries, [2_000, 6_000, 14_000, 30_000, 62_000, 94_000, 126_000, 158_000, 190_000]);
    deliver(&mut subscriber, batch([5; 3], [9; 3], vec![]));
    assert_eq!(subscriber.tick(900_000), [], "the response has arrived");
    // On a new connection the pending request is sent immediately.
    deliver(&mut subscriber, summary(9, &[record(1, "a", 3, RecordState::Active)]));
    let outcome =
        deliver(&mut subscriber, Message::Welcome { protocol: PROTOCOL_VERSION, name: "relay".into() });
    assert_eq!(outcome.replies, [Message::SnapshotRequest { source: 0, services: vec![1] }]);
}

/// Found by the simulation: during a repair a newer epoch of the source starts, and its summary is lost.
/// Messages of the newer epoch are not applied, so the next request is for its digests, not for services of
/// the former epoch.
#[test]
fn requests_digests_of_a_newer_epoch_during_a_repair() {
    let mut subscriber = subscriber_at(5, &[]);
    let outcome = deliver(&mut subscriber, summary(7, &[record(1, "a", 6, RecordState::Active)]));
    assert_eq!(outcome.replies, [Message::SnapshotRequest { source: 0, services: vec![1] }]);
    let newer = Message::Batch {
        source: 0,
        epoch: 2,
        from: [version(2, 7); 3],
        to: [version(2, 8); 3],
        records: vec![record(2, "b", 4, RecordState::Active)],
        scope_digest: None,
    };
    let outcome = deliver(&mut subscriber, newer);
    assert_eq!(
        outcome,
        MessageOutcome { replies: vec![Message::DigestRequest { source: 0 }], applied: vec![] }
    );
    assert_eq!(subscriber.tick(2_000), [Message::DigestRequest { source: 0 }], "retried without a response");
}
