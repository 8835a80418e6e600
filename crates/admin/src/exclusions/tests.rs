use super::*;
use proptest::prelude::*;

#[test]
fn two_calls_out_need_one_call_back() {
    let mut bans = Exclusions::default();
    assert_eq!(bans.exclude("a", 1), Ok(true));
    assert_eq!(bans.exclude("a", 2), Ok(false));
    assert!(bans.is_out("a") && !bans.is_out("b"));
    assert!(bans.include("a", 3) && !bans.is_out("a"));
    assert!(!bans.include("a", 4), "it is not out any more");
    assert_eq!(bans.called_back("a"), Some(3));
    assert_eq!(bans.exclude("a", 5), Ok(true));
    assert_eq!(bans.called_back("a"), None, "it is out again");
    bans.include("a", 6);
    bans.forget(7);
    assert_eq!(bans, Exclusions::default());
}

#[test]
fn the_bound_holds_and_changes_nothing() {
    let mut bans = Exclusions::default();
    (0..MAX_EXCLUSIONS).for_each(|n| assert_eq!(bans.exclude(&n.to_string(), 1), Ok(true)));
    assert_eq!(bans.exclude("one more", 2), Err(TooManyExclusions));
    assert_eq!(bans.exclude("7", 2), Ok(false), "it is out already");
    assert!(!bans.is_out("one more") && bans.is_bounded());
    (0..MAX_EXCLUSIONS).for_each(|n| assert!(bans.include(&n.to_string(), 3 + n as u64)));
    bans.exclude("one more", 1 << 20).expect("room");
    bans.include("one more", 1 << 20);
    assert!(bans.is_bounded());
    assert_eq!((bans.called_back("0"), bans.called_back("one more")), (None, Some(1 << 20)));
}

proptest! {
    /// Whatever staff calls, the last call on an id holds, and the other process can be told just what changed.
    #[test]
    fn the_last_call_on_each_id_holds(calls in proptest::collection::vec((0_u8..6, any::<bool>()), 0..40)) {
        let (mut bans, mut before, mut last) = (Exclusions::default(), Exclusions::default(), [false; 6]);
        for (now, &(id, out)) in calls.iter().enumerate() {
            if now == calls.len() / 2 {
                before = bans.clone();
            }
            let name = id.to_string();
            if out {
                prop_assert_eq!(bans.exclude(&name, now as u64), Ok(!last[usize::from(id)]));
            } else {
                prop_assert_eq!(bans.include(&name, now as u64), last[usize::from(id)]);
            }
            last[usize::from(id)] = out;
        }
        for (id, out) in last.iter().enumerate() {
            let name = id.to_string();
            prop_assert_eq!(bans.is_out(&name), *out);
            let same = before.is_out(&name) == *out && before.called_back(&name) == bans.called_back(&name);
            prop_assert_eq!(before.changed(&bans).contains(&name), !same);
        }
        let text = serde_json::to_string(&bans).expect("text");
        prop_assert_eq!(serde_json::from_str::<Exclusions>(&text).expect("bans"), bans);
    }
}
