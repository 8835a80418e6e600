use super::*;

fn identity(id: u64, key: u64) -> RequestIdentity {
    RequestIdentity { id, key: Some(key), key_ttl: 3 * SECOND }
}

fn execution(sent_at: Micros) -> Execution {
    Execution { zone: 1, cell: 2, sent_at, idempotency: Idempotency::NonIdempotent, is_unfinished: true }
}

#[test]
fn execution_is_found_by_id_or_key_until_it_expires() {
    let mut executions = Executions::default();
    executions.record(0, identity(1, 10), 7, execution(0));
    assert_eq!(executions.find(SECOND, identity(1, 11)), Some(execution(0)));
    let by_key = Execution { is_unfinished: false, ..execution(0) };
    assert_eq!(executions.find(SECOND, identity(2, 10)), Some(by_key));
    assert_eq!(executions.find(3 * SECOND, identity(2, 10)), None);
    assert!(executions.find(3 * SECOND, identity(1, 10)).is_some());
    assert_eq!(executions.find(MIN_RETENTION, identity(1, 10)), None);
}

#[test]
fn only_the_request_that_was_recorded_is_forgotten() {
    let mut executions = Executions::default();
    executions.record(0, identity(1, 10), 7, execution(0));
    executions.forget(identity(1, 10), 8);
    assert!(executions.find(1, identity(1, 10)).is_some());
    executions.mark_finished(identity(1, 10), 7);
    assert!(!executions.find(1, identity(1, 10)).expect("an execution").is_unfinished);
    executions.forget(identity(1, 10), 7);
    assert_eq!(executions.find(1, identity(1, 10)), None);
}

#[test]
fn memory_is_bounded_under_ever_new_names() {
    let mut executions = Executions::default();
    for name in 0..3 * MAX_REMEMBERED as u64 {
        executions.record(name, identity(name, name), 7, execution(name));
        if name % 2 == 0 {
            executions.forget(identity(name, name), 7);
        }
    }
    for table in [&executions.ids, &executions.keys] {
        assert!(table.recorded.len() <= MAX_REMEMBERED && table.by_name.len() <= MAX_REMEMBERED);
    }
}
