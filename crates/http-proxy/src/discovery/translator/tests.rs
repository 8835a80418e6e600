use super::*;
use crate::discovery::start_times::tests::safety;
use serde_json::json;

#[test]
fn drops_the_ids_of_removed_backends_and_retains_the_others() {
    let names = NameIndex { zones: vec!["a".into()], ..NameIndex::default() };
    let mut translator = ListTranslator::new(Clock::start(), &names, &safety(0.3, 8_000_000));
    let entry = |id: String, phase: &str| json!({"id": id, "host_port": "127.0.0.1:9", "locality": "a", "phase": phase, "up_since_ms": 1});
    let mut list = |is_complete: bool, members: Vec<Value>| {
        let list = translator.list(json!({"revision": 1, "complete": is_complete, "members": members}));
        let ids =
            list.expect("a list").backends.iter().map(|entry| entry.listed.backend.id).collect::<Vec<_>>();
        (ids, translator.ids.len(), translator.used_ids.len())
    };
    let (first, ..) = list(true, vec![entry("listed".into(), "active")]);
    for round in 0..100 {
        list(false, vec![entry(format!("s-{round}"), "active")]);
        list(false, vec![entry(format!("s-{round}"), "left")]);
    }
    let delta = list(false, vec![entry("listed".into(), "leaving")]);
    assert_eq!(delta, (first, 1, 1));
    list(false, (0..100).map(|n| entry(format!("t-{n}"), "active")).collect());
    let (_, ids, used_ids) = list(true, vec![entry("listed".into(), "active")]);
    assert_eq!((ids, used_ids), (1, 1));
}
