//! Proptest strategies for messages.

use control_plane::message::{
    KeyBound, Message, PROTOCOL_VERSION, ReplicaPosition, ServiceDigest, ServiceRange,
};
use control_plane::record::{Change, Record, RecordKey, RecordKind, RecordState, Scope, Version};
use proptest::collection::{btree_set, vec};
use proptest::prelude::*;

fn version() -> impl Strategy<Value = Version> {
    (any::<u64>(), any::<u64>()).prop_map(|(epoch, revision)| Version { epoch, revision })
}

fn cursor() -> impl Strategy<Value = [Version; 3]> {
    [version(), version(), version()]
}

fn service_range() -> impl Strategy<Value = ServiceRange> {
    any::<(u32, u32)>().prop_map(|(first, last)| ServiceRange { first, last })
}

fn service_digest() -> impl Strategy<Value = ServiceDigest> {
    any::<(u32, u64)>().prop_map(|(service, digest)| ServiceDigest { service, digest })
}

fn kind() -> impl Strategy<Value = RecordKind> {
    prop_oneof![
        Just(RecordKind::Backend),
        Just(RecordKind::Configuration),
        Just(RecordKind::Route),
        Just(RecordKind::Tenant)
    ]
}

fn state() -> impl Strategy<Value = RecordState> {
    prop_oneof![Just(RecordState::Active), Just(RecordState::Draining), Just(RecordState::Gone)]
}

fn key() -> impl Strategy<Value = RecordKey> {
    (any::<u32>(), kind(), ".{0,20}").prop_map(|(service, kind, name)| RecordKey {
        service,
        kind,
        name: name.into(),
    })
}

fn records() -> impl Strategy<Value = Vec<Record>> {
    let record = (key(), version(), state(), vec(any::<u8>(), 0..40));
    let record =
        record.prop_map(|(key, version, state, body)| Record { key, version, state, body: body.into() });
    vec(record, 0..8)
}

fn positions() -> impl Strategy<Value = Vec<ReplicaPosition>> {
    let positions = (any::<u16>(), any::<u64>(), cursor());
    vec(positions.prop_map(|(source, epoch, cursor)| ReplicaPosition { source, epoch, cursor }), 0..4)
}

/// Any message, with records and lists of limited length.
pub fn message() -> impl Strategy<Value = Message> {
    let scope = prop_oneof![Just(Scope::All), btree_set(any::<u32>(), 0..20).prop_map(Scope::Services),];
    let bound = || {
        proptest::option::of(
            (kind(), ".{0,20}").prop_map(|(kind, name)| KeyBound { kind, name: name.into() }),
        )
    };
    let change = (key(), state(), vec(any::<u8>(), 0..40));
    let change = change.prop_map(|(key, state, body)| Change { key, state, body: body.into() });
    prop_oneof![
        (".{0,20}", scope, positions()).prop_map(|(name, scope, positions)| Message::Hello {
            protocol: PROTOCOL_VERSION,
            name,
            scope,
            positions
        }),
        ".{0,20}".prop_map(|name| Message::Welcome { protocol: PROTOCOL_VERSION, name }),
        Just(Message::Heartbeat),
        (any::<u16>(), any::<u64>(), cursor(), cursor(), records(), any::<Option<u64>>()).prop_map(
            |(source, epoch, from, to, records, scope_digest)| Message::Batch {
                source,
                epoch,
                from,
                to,
                records,
                scope_digest
            }
        ),
        (any::<u16>(), any::<u64>(), service_range(), cursor(), vec(service_digest(), 0..100)).prop_map(
            |(source, epoch, range, to, digests)| Message::DigestSummary {
                source,
                epoch,
                range,
                to,
                digests
            }
        ),
        (any::<u16>(), any::<u64>(), version(), any::<u32>(), bound(), bound(), records()).prop_map(
            |(source, epoch, as_of, service, after, through, records)| Message::ServiceSnapshot {
                source,
                epoch,
                as_of,
                service,
                after,
                through,
                records
            }
        ),
        positions().prop_map(|positions| Message::Resume { positions }),
        any::<u16>().prop_map(|source| Message::DigestRequest { source }),
        (any::<u16>(), any::<Vec<u32>>())
            .prop_map(|(source, services)| Message::SnapshotRequest { source, services }),
        (any::<u64>(), vec(change, 0..8)).prop_map(|(id, changes)| Message::Write { id, changes }),
        (any::<u64>(), version(), proptest::option::of(".{0,20}")).prop_map(|(id, version, reason)| {
            Message::Written { id, result: reason.map_or(Ok(version), Err) }
        }),
        ".{0,40}".prop_map(|reason| Message::Close { reason }),
    ]
}
