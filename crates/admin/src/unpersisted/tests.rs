use super::*;

#[test]
fn applies_changes_until_they_are_persisted() {
    let mut unpersisted_changes = UnpersistedChanges::default();
    unpersisted_changes.push(ExclusionChange::Exclude("a".into(), 5));
    let first = unpersisted_changes.last_sequence();
    unpersisted_changes.push(ExclusionChange::Exclude("b".into(), 6));
    let mut exclusions = Exclusions::default();
    assert_eq!(unpersisted_changes.apply(&mut exclusions), Ok(()));
    assert!(exclusions.is_excluded("a") && exclusions.is_excluded("b"));
    unpersisted_changes.mark_persisted(first);
    let mut exclusions = Exclusions::default();
    assert_eq!(unpersisted_changes.apply(&mut exclusions), Ok(()));
    assert!(!exclusions.is_excluded("a") && exclusions.is_excluded("b"));
    unpersisted_changes.mark_persisted(unpersisted_changes.last_sequence());
    assert!(unpersisted_changes.is_empty());
}

#[test]
fn replaces_earlier_changes_of_the_same_backend() {
    let mut unpersisted_changes = UnpersistedChanges::default();
    unpersisted_changes.push(ExclusionChange::Exclude("a".into(), 5));
    let first = unpersisted_changes.last_sequence();
    unpersisted_changes.push(ExclusionChange::Include("a".into(), 6));
    // The write of the first change completes after the second change was requested.
    unpersisted_changes.mark_persisted(first);
    let mut exclusions = Exclusions::default();
    assert_eq!(exclusions.exclude("a", 5), Ok(true));
    assert_eq!(unpersisted_changes.apply(&mut exclusions), Ok(()));
    assert_eq!((exclusions.is_excluded("a"), exclusions.reincluded_at("a")), (false, Some(6)));
}
