//! What is forgotten of names that are gone.

use super::*;
use crate::discovery::start_times::tests::safety;
use serde_json::json;

#[test]
fn names_that_are_gone_are_forgotten_and_the_others_keep_their_numbers() {
    let names = NameIndex { zones: vec!["a".into()], ..NameIndex::default() };
    let mut translator = ListTranslator::new(Clock::start(), &names, &safety(0.3, 8_000_000));
    let entry = |id: String, phase: &str| json!({"id": id, "host_port": "127.0.0.1:9", "locality": "a", "phase": phase, "up_since_ms": 1});
    let mut list = |complete: bool, members: Vec<Value>| {
        let list = translator.list(json!({"revision": 1, "complete": complete, "members": members}));
        let ids = list.expect("a list").entries.iter().map(|e| e.listed.backend.id).collect::<Vec<_>>();
        (ids, translator.numbers.len(), translator.taken.len())
    };
    let (first, ..) = list(true, vec![entry("stays".into(), "active")]);
    for turn in 0..100 {
        list(false, vec![entry(format!("s-{turn}"), "active")]);
        list(false, vec![entry(format!("s-{turn}"), "left")]);
    }
    let delta = list(false, vec![entry("stays".into(), "leaving")]);
    assert_eq!(delta, (first, 1, 1));
    list(false, (0..100).map(|n| entry(format!("t-{n}"), "active")).collect());
    let (_, numbers, taken) = list(true, vec![entry("stays".into(), "active")]);
    assert_eq!((numbers, taken), (1, 1));
}
