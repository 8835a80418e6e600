//! The list that an agent serves: versions, changes since one, and a bounded log.

use control_plane::codec::encode_backend_body;
use control_plane::record::{Backend, Key, Kind, Record, State, Version};
use control_plane::replica::AppliedRecord;
use control_plane::runtime::discovery_list::{DiscoveryList, MAX_REMOVED_ENTRIES, Phase};
use proptest::collection::vec;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

const START: u64 = 1_000_000;

fn backend(port: u16) -> Backend {
    Backend {
        address: std::net::SocketAddrV4::new(std::net::Ipv4Addr::LOCALHOST, port),
        locality: "a".into(),
        flavor: "m".into(),
        cell: 3,
        size: 1.0,
        up_since_ms: 5,
    }
}

fn applied(service: u32, name: &str, state: State, body: Arc<[u8]>) -> AppliedRecord {
    let key = Key { service, kind: Kind::Backend, name: name.into() };
    let version = Version { epoch: 1, revision: 1 };
    AppliedRecord { record: Record { key, version, state, body }, previous: None }
}

fn at(name: &str, state: State, port: u16) -> AppliedRecord {
    let body = if state == State::Gone { Arc::from([]) } else { encode_backend_body(&backend(port)) };
    applied(1, name, state, body)
}

fn ids(list: &DiscoveryList, after: u64) -> (bool, Vec<(String, Phase)>) {
    let answer = list.changes_after(after);
    (answer.complete, answer.members.iter().map(|m| (m.id.clone(), m.phase)).collect())
}

#[test]
fn an_entry_is_written_in_the_words_of_the_protocol() {
    let mut list = DiscoveryList::new(true, START);
    assert_eq!(list.apply(&at("s-1", State::Draining, 3000)), Ok(true));
    let json = serde_json::to_value(list.snapshot()).expect("json");
    let expected = serde_json::json!({
        "revision": START + 1,
        "complete": true,
        "members": [{
            "id": "s-1", "host_port": "127.0.0.1:3000", "locality": "a", "flavor": "m", "cell": 3,
            "phase": "leaving", "size": 1.0, "up_since_ms": 5
        }]
    });
    assert_eq!(json, expected);
}

#[test]
fn a_version_of_another_life_is_answered_with_the_whole_list() {
    let mut list = DiscoveryList::new(true, START);
    for name in ["a", "b"] {
        list.apply(&at(name, State::Active, 1)).expect("a backend");
    }
    let whole = vec![("a".to_owned(), Phase::Active), ("b".to_owned(), Phase::Active)];
    for after in [0, 41, START - 1, START + 3, u64::MAX] {
        assert_eq!(ids(&list, after), (true, whole.clone()), "after {after}");
    }
    assert_eq!(ids(&list, START), (false, whole));
    assert_eq!(ids(&list, START + 1), (false, vec![("b".to_owned(), Phase::Active)]));
    assert_eq!(ids(&list, START + 2), (false, Vec::new()));
}

#[test]
fn what_left_is_named_among_changes_only_and_in_the_end_forgotten() {
    let mut list = DiscoveryList::new(true, START);
    list.apply(&at("stays", State::Active, 1)).expect("a backend");
    for turn in 0..MAX_REMOVED_ENTRIES + 10 {
        let name = format!("s-{turn}");
        list.apply(&at(&name, State::Active, 1)).expect("a backend");
        list.apply(&at(&name, State::Gone, 1)).expect("a tombstone");
    }
    let stays = ("stays".to_owned(), Phase::Active);
    assert_eq!(ids(&list, 0), (true, vec![stays.clone()]));
    // Ten that left were dropped: whoever may not have heard of one of them gets everything.
    assert_eq!(ids(&list, START + 1), (true, vec![stays]));
    let last = list.revision();
    let (complete, left) = ids(&list, last - 2 * 100);
    assert!(!complete && left.len() == 100 && left.iter().all(|(_, phase)| *phase == Phase::Left));
}

#[test]
fn what_says_nothing_new_is_no_change() {
    let mut list = DiscoveryList::new(true, START);
    assert_eq!(list.apply(&at("a", State::Active, 1)), Ok(true));
    assert_eq!(list.apply(&at("a", State::Active, 1)), Ok(false));
    assert_eq!(list.apply(&at("never", State::Gone, 1)), Ok(false));
    let mut route = at("a", State::Gone, 1);
    route.record.key.kind = Kind::Route;
    assert_eq!(list.apply(&route), Ok(false));
    assert_eq!(list.revision(), START + 1);
}

#[test]
fn a_body_that_is_no_backend_leaves_what_stood_and_still_drains_it() {
    let mut list = DiscoveryList::new(true, START);
    list.apply(&at("a", State::Active, 7)).expect("a backend");
    let bad = |state| applied(1, "a", state, Arc::from(&b"\xff"[..]));
    assert!(list.apply(&bad(State::Active)).is_err());
    assert_eq!(list.revision(), START + 1);
    assert!(list.apply(&bad(State::Draining)).is_err());
    assert_eq!(ids(&list, START + 1), (false, vec![("a".to_owned(), Phase::Leaving)]));
    assert!(list.apply(&applied(1, "b", State::Active, Arc::from(&b"\xff"[..]))).is_err());
    assert_eq!(list.snapshot().members.len(), 1);
}

#[test]
fn names_of_several_services_are_told_apart() {
    let mut list = DiscoveryList::new(false, START);
    for service in [1, 2] {
        list.apply(&applied(service, "a", State::Active, encode_backend_body(&backend(service as u16))))
            .expect("one");
    }
    let whole = list.snapshot();
    let ids: Vec<_> = whole.members.iter().map(|m| (m.id.as_str(), m.address.as_str())).collect();
    assert_eq!(ids, [("1/a", "127.0.0.1:1"), ("2/a", "127.0.0.1:2")]);
}

proptest! {
    /// A watcher that takes changes at whatever moments holds what the whole list says.
    #[test]
    fn changes_since_any_version_lead_to_the_whole_list(
        steps in vec((0_u8..6, 0_u8..3, 1_u16..4, any::<bool>()), 0..80),
    ) {
        let mut list = DiscoveryList::new(true, START);
        let (mut held, mut after) = (BTreeMap::new(), 0);
        let mut watch = |list: &DiscoveryList| {
            let answer = list.changes_after(after);
            if answer.complete {
                held.clear();
            }
            for member in &answer.members {
                match member.phase {
                    Phase::Left => held.remove(&member.id),
                    _ => held.insert(member.id.clone(), (*member).clone()),
                };
            }
            after = answer.revision;
            let whole = list.snapshot().members.into_iter().map(|m| (m.id.clone(), m.clone()));
            (held.clone(), whole.collect::<BTreeMap<_, _>>())
        };
        for (name, state, port, asks) in steps {
            let state = [State::Active, State::Draining, State::Gone][usize::from(state)];
            list.apply(&at(&format!("s-{name}"), state, port)).expect("a backend");
            if asks {
                let (held, whole) = watch(&list);
                prop_assert_eq!(held, whole);
            }
        }
        let (held, whole) = watch(&list);
        prop_assert_eq!(held, whole);
    }
}
