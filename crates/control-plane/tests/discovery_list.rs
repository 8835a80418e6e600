//! The discovery list: revisions, changes after a revision, and the bounded log.

use control_plane::codec::encode_backend_body;
use control_plane::record::{Backend, Record, RecordKey, RecordKind, RecordState, Version};
use control_plane::replica::AppliedRecord;
use control_plane::runtime::discovery_list::{DiscoveryList, MAX_REMOVED_ENTRIES, Phase};
use proptest::collection::vec;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The revision of the empty list.
const INITIAL_REVISION: u64 = 1_000_000;

fn backend(port: u16) -> Backend {
    Backend {
        address: std::net::SocketAddrV4::new(std::net::Ipv4Addr::LOCALHOST, port),
        zone: "a".into(),
        machine_kind: "m".into(),
        cell: 3,
        capacity: 1.0,
        up_since_ms: 5,
    }
}

/// A record of a backend as a replica reports it.
fn applied_record(service: u32, name: &str, state: RecordState, body: Arc<[u8]>) -> AppliedRecord {
    let key = RecordKey { service, kind: RecordKind::Backend, name: name.into() };
    let version = Version { epoch: 1, revision: 1 };
    AppliedRecord { record: Record { key, version, state, body }, previous: None }
}

/// A record of a backend of service 1 on a port.
fn backend_record(name: &str, state: RecordState, port: u16) -> AppliedRecord {
    let body = if state == RecordState::Gone { Arc::from([]) } else { encode_backend_body(&backend(port)) };
    applied_record(1, name, state, body)
}

/// The members that a request for changes after a revision returns, and whether the list is complete.
fn changed_ids(list: &DiscoveryList, after: u64) -> (bool, Vec<(String, Phase)>) {
    let response = list.changes_after(after);
    (response.complete, response.members.iter().map(|m| (m.id.clone(), m.phase)).collect())
}

#[test]
fn serializes_an_entry_in_the_discovery_protocol() {
    let mut list = DiscoveryList::new(true, INITIAL_REVISION);
    assert_eq!(list.apply(&backend_record("s-1", RecordState::Draining, 3000)), Ok(true));
    let json = serde_json::to_value(list.snapshot()).expect("json");
    let expected = serde_json::json!({
        "revision": INITIAL_REVISION + 1,
        "complete": true,
        "members": [{
            "id": "s-1", "host_port": "127.0.0.1:3000", "locality": "a", "flavor": "m", "cell": 3,
            "phase": "leaving", "size": 1.0, "up_since_ms": 5
        }]
    });
    assert_eq!(json, expected);
}

#[test]
fn sends_the_complete_list_for_an_unknown_revision() {
    let mut list = DiscoveryList::new(true, INITIAL_REVISION);
    for name in ["a", "b"] {
        list.apply(&backend_record(name, RecordState::Active, 1)).expect("a backend");
    }
    let complete_list = vec![("a".to_owned(), Phase::Active), ("b".to_owned(), Phase::Active)];
    for after in [0, 41, INITIAL_REVISION - 1, INITIAL_REVISION + 3, u64::MAX] {
        assert_eq!(changed_ids(&list, after), (true, complete_list.clone()), "after {after}");
    }
    assert_eq!(changed_ids(&list, INITIAL_REVISION), (false, complete_list));
    assert_eq!(changed_ids(&list, INITIAL_REVISION + 1), (false, vec![("b".to_owned(), Phase::Active)]));
    assert_eq!(changed_ids(&list, INITIAL_REVISION + 2), (false, Vec::new()));
}

#[test]
fn lists_removed_entries_among_changes_only_and_drops_the_oldest() {
    let mut list = DiscoveryList::new(true, INITIAL_REVISION);
    list.apply(&backend_record("stays", RecordState::Active, 1)).expect("a backend");
    for round in 0..MAX_REMOVED_ENTRIES + 10 {
        let name = format!("s-{round}");
        list.apply(&backend_record(&name, RecordState::Active, 1)).expect("a backend");
        list.apply(&backend_record(&name, RecordState::Gone, 1)).expect("a tombstone");
    }
    let remaining = ("stays".to_owned(), Phase::Active);
    assert_eq!(changed_ids(&list, 0), (true, vec![remaining.clone()]));
    // Ten removed entries were dropped. A request for changes from before them returns the complete list.
    assert_eq!(changed_ids(&list, INITIAL_REVISION + 1), (true, vec![remaining]));
    let revision = list.revision();
    let (complete, removed) = changed_ids(&list, revision - 2 * 100);
    assert!(!complete && removed.len() == 100 && removed.iter().all(|(_, phase)| *phase == Phase::Left));
}

#[test]
fn ignores_records_without_effect() {
    let mut list = DiscoveryList::new(true, INITIAL_REVISION);
    assert_eq!(list.apply(&backend_record("a", RecordState::Active, 1)), Ok(true));
    assert_eq!(list.apply(&backend_record("a", RecordState::Active, 1)), Ok(false));
    assert_eq!(list.apply(&backend_record("never", RecordState::Gone, 1)), Ok(false));
    let mut route = backend_record("a", RecordState::Gone, 1);
    route.record.key.kind = RecordKind::Route;
    assert_eq!(list.apply(&route), Ok(false));
    assert_eq!(list.revision(), INITIAL_REVISION + 1);
}

#[test]
fn malformed_body_does_not_replace_an_entry_but_its_drain_is_applied() {
    let mut list = DiscoveryList::new(true, INITIAL_REVISION);
    list.apply(&backend_record("a", RecordState::Active, 7)).expect("a backend");
    let malformed = |state| applied_record(1, "a", state, Arc::from(&b"\xff"[..]));
    assert!(list.apply(&malformed(RecordState::Active)).is_err());
    assert_eq!(list.revision(), INITIAL_REVISION + 1);
    assert!(list.apply(&malformed(RecordState::Draining)).is_err());
    assert_eq!(changed_ids(&list, INITIAL_REVISION + 1), (false, vec![("a".to_owned(), Phase::Leaving)]));
    assert!(list.apply(&applied_record(1, "b", RecordState::Active, Arc::from(&b"\xff"[..]))).is_err());
    assert_eq!(list.snapshot().members.len(), 1);
}

#[test]
fn ids_include_the_service_when_there_are_several() {
    let mut list = DiscoveryList::new(false, INITIAL_REVISION);
    for service in [1, 2] {
        list.apply(&applied_record(
            service,
            "a",
            RecordState::Active,
            encode_backend_body(&backend(service as u16)),
        ))
        .expect("a backend");
    }
    let complete_list = list.snapshot();
    let ids: Vec<_> = complete_list.members.iter().map(|m| (m.id.as_str(), m.address.as_str())).collect();
    assert_eq!(ids, [("1/a", "127.0.0.1:1"), ("2/a", "127.0.0.1:2")]);
}

proptest! {
    /// A client that applies the changes at arbitrary times has the same entries as the complete list.
    #[test]
    fn changes_after_any_revision_reproduce_the_complete_list(
        steps in vec((0_u8..6, 0_u8..3, 1_u16..4, any::<bool>()), 0..80),
    ) {
        let mut list = DiscoveryList::new(true, INITIAL_REVISION);
        let (mut known, mut after) = (BTreeMap::new(), 0);
        let mut watch = |list: &DiscoveryList| {
            let response = list.changes_after(after);
            if response.complete {
                known.clear();
            }
            for member in &response.members {
                match member.phase {
                    Phase::Left => known.remove(&member.id),
                    _ => known.insert(member.id.clone(), (*member).clone()),
                };
            }
            after = response.revision;
            let complete_list = list.snapshot().members.into_iter().map(|m| (m.id.clone(), m.clone()));
            (known.clone(), complete_list.collect::<BTreeMap<_, _>>())
        };
        for (name, state, port, requests_changes) in steps {
            let state = [RecordState::Active, RecordState::Draining, RecordState::Gone][usize::from(state)];
            list.apply(&backend_record(&format!("s-{name}"), state, port)).expect("a backend");
            if requests_changes {
                let (known, complete_list) = watch(&list);
                prop_assert_eq!(known, complete_list);
            }
        }
        let (known, complete_list) = watch(&list);
        prop_assert_eq!(known, complete_list);
    }
}
