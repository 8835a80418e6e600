//! Records, tombstones and digests of a store.

use control_plane::record::{Change, Record, RecordKey, RecordKind, RecordState, Scope, Version};
use control_plane::store::VersionedStore;
use proptest::prelude::*;
use std::collections::BTreeMap;

fn changes() -> impl Strategy<Value = Vec<Change>> {
    let state = prop_oneof![3 => Just(RecordState::Active), 1 => Just(RecordState::Draining), 2 => Just(RecordState::Gone)];
    let kind = prop_oneof![3 => Just(RecordKind::Backend), 1 => Just(RecordKind::Route)];
    let change = (0..5_u32, kind, "[ab]{1,2}", state, prop::collection::vec(any::<u8>(), 0..9));
    let change = change.prop_map(|(service, kind, name, state, body)| {
        let body = if state == RecordState::Gone { Vec::new() } else { body };
        Change { key: RecordKey { service, kind, name: name.into() }, state, body: body.into() }
    });
    prop::collection::vec(change, 0..80)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// A store contains the last change of each key. Its digests depend on the live records only.
    #[test]
    fn stores_the_last_change_of_each_key_and_bounded_tombstones(changes in changes(), max_tombstones in 0..20_usize) {
        let mut store = VersionedStore::new(4, 3).with_max_tombstones(max_tombstones);
        let mut last_records: BTreeMap<RecordKey, Record> = BTreeMap::new();
        // Tombstones, the oldest first. Those over the limit are dropped.
        let mut tombstones: Vec<RecordKey> = Vec::new();
        for (index, change) in changes.iter().enumerate() {
            let record = store.write(change.clone()).expect("within bounds");
            prop_assert_eq!(record.version, Version { epoch: 3, revision: index as u64 + 1 });
            tombstones.retain(|key| *key != change.key);
            if record.state == RecordState::Gone {
                tombstones.push(change.key.clone());
            }
            tombstones.drain(..tombstones.len().saturating_sub(max_tombstones));
            last_records.insert(change.key.clone(), record);
        }
        let live: Vec<Record> = last_records.values().filter(|record| record.state != RecordState::Gone).cloned().collect();
        prop_assert_eq!(store.live_records().cloned().collect::<Vec<_>>(), live.clone());
        prop_assert_eq!(store.live_count(), live.len());
        prop_assert_eq!(store.tombstone_count(), tombstones.len());
        for (key, record) in last_records.iter().filter(|(_, record)| record.state == RecordState::Gone) {
            let is_retained = tombstones.contains(key);
            prop_assert_eq!(store.get(key), is_retained.then_some(record));
            prop_assert!(is_retained || store.tombstone_floor() >= record.version);
        }
        for service in 0..6 {
            let of_service = live.iter().filter(|record| record.key.service == service).cloned().collect::<Vec<_>>();
            prop_assert_eq!(store.service(service).cloned().collect::<Vec<_>>(), of_service.clone());
            prop_assert_eq!(store.digest(service) == 0, of_service.is_empty());
        }
        // The digests do not depend on the order of restored records.
        let reversed = live.iter().rev().cloned().collect();
        let restored = VersionedStore::restore(4, 9, store.head(), reversed);
        prop_assert_eq!(restored.scope_digest(&Scope::All), store.scope_digest(&Scope::All));
        for service in 0..6 {
            prop_assert_eq!(restored.digest(service), store.digest(service));
        }
        prop_assert!(restored.head() > store.head() && restored.head().revision == store.head().revision);
    }

    /// Any difference in a single record changes the digest.
    #[test]
    fn digest_differs_for_any_single_difference(changes in changes(), selected in any::<prop::sample::Index>(), modification in 0..4_u8) {
        let mut store = VersionedStore::new(0, 1);
        for change in changes {
            store.write(change).expect("within bounds");
        }
        let mut records: Vec<Record> = store.live_records().cloned().collect();
        prop_assume!(!records.is_empty());
        let index = selected.index(records.len());
        let service = records[index].key.service;
        let record = &mut records[index];
        match modification {
            0 => record.version.revision += 1_000,
            1 => record.state = if record.state == RecordState::Active { RecordState::Draining } else { RecordState::Active },
            2 => record.body = [&record.body[..], &[0]].concat().into(),
            _ => {
                records.remove(index);
            }
        }
        let other = VersionedStore::restore(0, 1, store.head(), records);
        prop_assert_ne!(other.digest(service), store.digest(service));
        prop_assert_ne!(other.scope_digest(&Scope::All), store.scope_digest(&Scope::All));
    }
}

#[test]
fn revisions_continue_after_a_restart() {
    let key = RecordKey { service: 1, kind: RecordKind::Backend, name: "b".into() };
    let change = Change { key: key.clone(), state: RecordState::Active, body: [1].into() };
    let mut store = VersionedStore::new(0, 1);
    let first = store.write(change.clone()).expect("within bounds");
    let mut store = VersionedStore::restore(0, 2, store.head(), vec![first.clone()]);
    assert_eq!(store.get(&key), Some(&first), "a restored record has its version");
    let second = store.write(change).expect("within bounds");
    assert_eq!(second.version, Version { epoch: 2, revision: 2 });
    assert_eq!(store.head(), second.version);
}
