//! Replicas at subscribers and relays that receive messages late, twice, or in an unusual order.

mod relay;
mod subscriber;

use control_plane::Millis;
use control_plane::message::{
    KeyBound, Message, PROTOCOL_VERSION, ReplicaPosition, ServiceDigest, ServiceRange,
};
use control_plane::publisher::PublisherAction;
use control_plane::rate_limit::RateLimit;
use control_plane::record::{
    Cursor, Epoch, Record, RecordKey, RecordKind, RecordState, Scope, ServiceId, Urgency, Version,
};
use control_plane::relay::Relay;
use control_plane::store::VersionedStore;
use control_plane::subscriber::{MessageOutcome, Subscriber};
use control_plane::upstream::Upstream;

/// The id of the subscriber's connection.
const SUBSCRIBER: u64 = 1;

const ALL_SERVICES: ServiceRange = ServiceRange { first: 0, last: ServiceId::MAX };

/// The digests of services 0 to 8 that have records.
fn digests(store: &VersionedStore) -> Vec<ServiceDigest> {
    let digests = (0..9).map(|service| ServiceDigest { service, digest: store.digest(service) });
    digests.filter(|entry| entry.digest != 0).collect()
}

fn version(epoch: Epoch, revision: u64) -> Version {
    Version { epoch, revision }
}

/// A cursor of epoch 1 with these revisions, by urgency.
fn cursor(revisions: [u64; 3]) -> Cursor {
    revisions.map(|revision| version(1, revision))
}

/// A backend record of epoch 1.
fn record(service: ServiceId, name: &str, revision: u64, state: RecordState) -> Record {
    let key = RecordKey { service, kind: RecordKind::Backend, name: name.into() };
    let body: &[u8] = if state == RecordState::Gone { &[] } else { &[1, 2, 3] };
    Record { key, version: version(1, revision), state, body: body.into() }
}

/// A batch of epoch 1 from source 0.
fn batch(from: [u64; 3], to: [u64; 3], records: Vec<Record>) -> Message {
    Message::Batch { source: 0, epoch: 1, from: cursor(from), to: cursor(to), records, scope_digest: None }
}

/// A complete service snapshot of epoch 1 from source 0.
fn snapshot(as_of: u64, service: ServiceId, records: Vec<Record>) -> Message {
    Message::ServiceSnapshot {
        source: 0,
        epoch: 1,
        as_of: version(1, as_of),
        service,
        after: None,
        through: None,
        records,
    }
}

/// A summary of epoch 1 from source 0 at a revision, with the digests of these records.
fn summary(to: u64, records: &[Record]) -> Message {
    let store = VersionedStore::restore(0, 1, version(1, to), records.to_vec());
    let digests = digests(&store);
    Message::DigestSummary { source: 0, epoch: 1, range: ALL_SERVICES, to: cursor([to; 3]), digests }
}

fn deliver(subscriber: &mut Subscriber, message: Message) -> MessageOutcome {
    subscriber.on_message(message, 0).expect("accepted")
}

/// The position that the subscriber reports in its hello.
fn position(subscriber: &Subscriber) -> Option<ReplicaPosition> {
    let Message::Hello { positions, .. } = subscriber.hello() else { panic!("not a hello") };
    positions.into_iter().next()
}

fn stored_records(subscriber: &Subscriber) -> Vec<Record> {
    subscriber.stores().flat_map(|(_, store)| store.live_records().cloned()).collect()
}

/// A subscriber of all services with these records, whose cursors are at this revision.
fn subscriber_at(to: u64, records: &[Record]) -> Subscriber {
    let mut subscriber = Subscriber::new("agent", Scope::All);
    deliver(&mut subscriber, summary(to, records));
    for service in 0..9 {
        let of_service: Vec<Record> =
            records.iter().filter(|record| record.key.service == service).cloned().collect();
        if !of_service.is_empty() {
            deliver(&mut subscriber, snapshot(to, service, of_service));
        }
    }
    assert_eq!(position(&subscriber), Some(ReplicaPosition { source: 0, epoch: 1, cursor: cursor([to; 3]) }));
    assert_eq!(stored_records(&subscriber), records);
    subscriber
}
