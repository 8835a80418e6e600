use super::*;
use proptest::prelude::*;

#[test]
fn one_inclusion_ends_two_exclusions() {
    let mut exclusions = Exclusions::default();
    assert_eq!(exclusions.exclude("a", 1), Ok(true));
    assert_eq!(exclusions.exclude("a", 2), Ok(false));
    assert!(exclusions.is_excluded("a") && !exclusions.is_excluded("b"));
    assert!(exclusions.include("a", 3) && !exclusions.is_excluded("a"));
    assert!(!exclusions.include("a", 4), "not excluded any more");
    assert_eq!(exclusions.reincluded_at("a"), Some(3));
    assert_eq!(exclusions.exclude("a", 5), Ok(true));
    assert_eq!(exclusions.reincluded_at("a"), None, "the exclusion drops the record");
    exclusions.include("a", 6);
    exclusions.prune_reinclusions_before(7);
    assert_eq!(exclusions, Exclusions::default());
}

#[test]
fn rejects_exclusions_beyond_the_maximum_without_a_change() {
    let mut exclusions = Exclusions::default();
    (0..MAX_EXCLUSIONS).for_each(|n| assert_eq!(exclusions.exclude(&n.to_string(), 1), Ok(true)));
    assert_eq!(exclusions.exclude("beyond", 2), Err(TooManyExclusions));
    assert_eq!(exclusions.exclude("7", 2), Ok(false), "already excluded");
    assert!(!exclusions.is_excluded("beyond") && exclusions.is_within_bounds());
    (0..MAX_EXCLUSIONS).for_each(|n| assert!(exclusions.include(&n.to_string(), 3 + n as u64)));
    exclusions.exclude("beyond", 1 << 20).expect("below the bound");
    exclusions.include("beyond", 1 << 20);
    assert!(exclusions.is_within_bounds());
    assert_eq!((exclusions.reincluded_at("0"), exclusions.reincluded_at("beyond")), (None, Some(1 << 20)));
}

proptest! {
    /// The last command for an id determines its state, and `differing_ids` returns exactly the ids whose
    /// state changed.
    #[test]
    fn last_command_for_an_id_determines_its_state(commands in proptest::collection::vec((0_u8..6, any::<bool>()), 0..40)) {
        let (mut exclusions, mut before, mut last) = (Exclusions::default(), Exclusions::default(), [false; 6]);
        for (now, &(id, excluded)) in commands.iter().enumerate() {
            if now == commands.len() / 2 {
                before = exclusions.clone();
            }
            let name = id.to_string();
            if excluded {
                prop_assert_eq!(exclusions.exclude(&name, now as u64), Ok(!last[usize::from(id)]));
            } else {
                prop_assert_eq!(exclusions.include(&name, now as u64), last[usize::from(id)]);
            }
            last[usize::from(id)] = excluded;
        }
        for (id, excluded) in last.iter().enumerate() {
            let name = id.to_string();
            prop_assert_eq!(exclusions.is_excluded(&name), *excluded);
            let unchanged = before.is_excluded(&name) == *excluded && before.reincluded_at(&name) == exclusions.reincluded_at(&name);
            prop_assert_eq!(before.differing_ids(&exclusions).contains(&name), !unchanged);
        }
        let text = serde_json::to_string(&exclusions).expect("text");
        prop_assert_eq!(serde_json::from_str::<Exclusions>(&text).expect("exclusions"), exclusions);
    }
}
