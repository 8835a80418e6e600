//! Tests of the publisher: which messages it sends to a subscriber, in which order and at which rate.

mod limits;
mod rejections;
mod repair;
mod send_order;

use control_plane::Millis;
use control_plane::message::{
    KeyBound, MAX_MESSAGE_BYTES, Message, PROTOCOL_VERSION, ReplicaPosition, ServiceDigest, ServiceRange,
};
use control_plane::publisher::PublisherAction;
use control_plane::rate_limit::RateLimit;
use control_plane::record::{Change, Record, RecordKey, RecordKind, RecordState, Scope, ServiceId, Version};
use control_plane::relay::Relay;
use control_plane::session::MAX_SCOPE_SERVICES;
use control_plane::session::SessionError;
use control_plane::source::Source;
use control_plane::store::{MAX_BODY_BYTES, MAX_NAME_BYTES, VersionedStore, WriteError, validate_change};
use control_plane::subscriber::Subscriber;
use control_plane::upstream::Upstream;
use proptest::prelude::*;
use std::sync::Arc;

/// High enough not to delay the messages of a test.
const HIGH_RATE: RateLimit = RateLimit { bytes_per_s: 100_000_000, burst_bytes: 100_000_000 };

/// The id of the subscriber's connection.
const SUBSCRIBER: u64 = 1;

/// A change whose body has `size` bytes, or none if the record is removed.
fn change(service: ServiceId, kind: RecordKind, name: &str, state: RecordState, size: usize) -> Change {
    let body = if state == RecordState::Gone { Arc::from([]) } else { vec![7; size].into() };
    Change { key: RecordKey { service, kind, name: name.into() }, state, body }
}

/// Writes a change to the source on the connection of a writer.
fn write(source: &mut Source, change: Change) -> Version {
    let responses =
        source.on_message(9, Message::Write { id: 1, changes: vec![change] }, 0).expect("accepted");
    match responses[..] {
        [Message::Written { id: 1, result: Ok(version) }] => version,
        _ => panic!("{responses:?}"),
    }
}

fn backend(source: &mut Source, service: ServiceId, name: &str, state: RecordState) -> Version {
    write(source, change(service, RecordKind::Backend, name, state, 60))
}

fn source(rate_limit: RateLimit) -> Source {
    Source::new("source", VersionedStore::new(0, 1), rate_limit)
}

fn services(services: impl IntoIterator<Item = ServiceId>) -> Scope {
    Scope::Services(services.into_iter().collect())
}

/// Delivers all messages that are due in both directions. Returns those of the source.
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

/// Connects or reconnects a subscriber and delivers all messages that are due. Returns those of the source.
fn connect(source: &mut Source, subscriber: &mut Subscriber, now: Millis) -> Vec<Message> {
    source.disconnect(SUBSCRIBER);
    let welcome = source.on_message(SUBSCRIBER, subscriber.hello(), now).expect("hello is accepted");
    assert!(matches!(welcome[..], [Message::Welcome { protocol: PROTOCOL_VERSION, .. }]));
    exchange(source, subscriber, now)
}

/// Asserts that the subscriber has exactly the live records of the source in its scope.
fn assert_equal_records(source: &Source, subscriber: &Subscriber, scope: &Scope) {
    let expected: Vec<&Record> =
        source.store().live_records().filter(|record| scope.contains(record.key.service)).collect();
    let stored: Vec<&Record> = subscriber.stores().flat_map(|(_, store)| store.live_records()).collect();
    assert_eq!(expected, stored);
}

/// The records in batches.
fn records(sent: &[Message]) -> Vec<&Record> {
    let batches = sent.iter().filter_map(|message| match message {
        Message::Batch { records, .. } => Some(records),
        _ => None,
    });
    batches.flatten().collect()
}

/// The services of service snapshots.
fn snapshots(sent: &[Message]) -> Vec<ServiceId> {
    let snapshots = sent.iter().filter_map(|message| match message {
        Message::ServiceSnapshot { service, .. } => Some(*service),
        _ => None,
    });
    snapshots.collect()
}
