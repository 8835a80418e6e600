use super::*;

#[test]
fn selects_a_connection_that_was_just_used_only_if_there_is_no_other() {
    let select = |ms: &[u64]| select_idle(ms.iter().map(|&ms| Duration::from_millis(ms)));
    assert_eq!(select(&[]), None);
    assert_eq!(select(&[900, 40, 5]), Some(2), "the most recently used one");
    assert_eq!(select(&[900, 40, 4]), Some(1), "the backend of the last one may be closing it");
    assert_eq!(select(&[4, 3, 0]), Some(2));
    assert_eq!(select(&[5, 4, 4]), Some(0));
}

/// The margin is one second, or half of the backend's idle timeout if that is less.
#[test]
fn never_reuses_a_connection_close_to_the_backends_idle_timeout() {
    for (ms, limit_ms) in
        [(0, 0), (1, 0), (600, 300), (1_000, 500), (1_500, 750), (2_000, 1_000), (15_000, 14_000)]
    {
        let limit = idle_limit(ms * 1_000);
        assert!(limit.as_millis() == limit_ms, "{ms}: {limit:?}");
    }
}
