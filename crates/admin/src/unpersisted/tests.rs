use super::*;

#[test]
fn what_the_file_lacks_is_laid_over_it_until_it_is_there() {
    let mut pending = UnpersistedChanges::default();
    pending.push(Change::Exclude("a".into(), 5));
    let first = pending.last();
    pending.push(Change::Exclude("b".into(), 6));
    let mut read = Exclusions::default();
    assert_eq!(pending.apply(&mut read), Ok(()));
    assert!(read.is_out("a") && read.is_out("b"));
    pending.kept(first);
    let mut read = Exclusions::default();
    assert_eq!(pending.apply(&mut read), Ok(()));
    assert!(!read.is_out("a") && read.is_out("b"));
    pending.kept(pending.last());
    assert!(pending.is_empty());
}

#[test]
fn the_last_change_of_a_backend_counts() {
    let mut pending = UnpersistedChanges::default();
    pending.push(Change::Exclude("a".into(), 5));
    let asked = pending.last();
    pending.push(Change::Include("a".into(), 6));
    // The file took the first while the second was asked for.
    pending.kept(asked);
    let mut read = Exclusions::default();
    assert_eq!(read.exclude("a", 5), Ok(true));
    assert_eq!(pending.apply(&mut read), Ok(()));
    assert_eq!((read.is_out("a"), read.called_back("a")), (false, Some(6)));
}
