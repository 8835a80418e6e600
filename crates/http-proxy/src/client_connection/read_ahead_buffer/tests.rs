use super::*;
use std::time::Duration;

#[test]
fn what_one_read_gave_is_handed_out_with_its_own_time() {
    let first = Instant::now();
    let second = first + Duration::from_secs(1);
    let mut ahead = Ahead::default();
    ahead.push(b"abc", first);
    ahead.push(b"", second);
    ahead.push(b"de", second);
    assert_eq!(ahead.len(), 5);
    assert_eq!(ahead.take(2), Some((b"ab".to_vec(), first)));
    assert_eq!(ahead.take(9), Some((b"c".to_vec(), first)));
    assert_eq!(ahead.take(9), Some((b"de".to_vec(), second)));
    assert!(ahead.is_empty() && ahead.take(9).is_none());
}
