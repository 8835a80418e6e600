use super::*;
use std::path::Path;

const SCRIPT: &str = r#"
seed = 7
seconds = 10.0
fleet = { boxes = 12, proxies = 2, zones = 2, cells = 3, cores = 1.0, holds = 2.0 }
traffic = { per_s = 100.0 }
class = [
  { name = "read", effect = "safe", share = 1.0, work_ms = [10.0, 20.0], aim_ms = 200, deadline_ms = 500, worth = 1.0 },
  { name = "lift", effect = "keyed-cell", share = 1.0, work_ms = [10.0, 20.0], aim_ms = 200, deadline_ms = 500, worth = 9.0, late_worth = 0.5 },
  { name = "pay", effect = "unsafe", share = 1.0, work_ms = [10.0, 20.0], aim_ms = 200, deadline_ms = 500, worth = 1.0 },
]
"#;

/// The violations of each rule where request 1 of this class is sent to proxy 0 at time 0, followed by
/// `observations`.
fn violations(class: usize, observations: &[(Micros, Observation)]) -> [u64; 4] {
    report(class, observations).violations
}

fn report(class: usize, observations: &[(Micros, Observation)]) -> CheckReport {
    let script = Script::parse(SCRIPT, Path::new("scenario")).expect("a valid script");
    let mut log = ObservationLog::default();
    log.add(0, Observation::RequestSent { id: 1, class, deadline: 500_000, proxy: 0 });
    for &(at, observation) in observations {
        log.add(at, observation);
    }
    check(&script, &log, 0)
}

const fn attempt_started(backend: usize) -> Observation {
    Observation::AttemptStarted { id: 1, backend, work: 10_000 }
}

const fn response(kind: ResponseKind) -> Observation {
    Observation::ResponseReceived { id: 1, kind }
}

#[test]
fn one_response_in_time_is_clean_and_earns_its_weight() {
    let in_time = report(1, &[(10, attempt_started(0)), (50_000, response(ResponseKind::Served))]);
    assert_eq!((in_time.violations, in_time.total.earned_weight, in_time.total.in_time), ([0; 4], 9.0, 1));
    let late = report(1, &[(10, attempt_started(0)), (300_000, response(ResponseKind::Served))]);
    assert_eq!((late.violations, late.total.earned_weight, late.total.late), ([0; 4], 4.5, 1));
}

#[test]
fn rule_1_counts_missing_duplicate_late_and_forged_responses() {
    assert_eq!(violations(0, &[]), [1, 0, 0, 0]);
    let served = (20, response(ResponseKind::Served));
    assert_eq!(
        violations(0, &[(10, attempt_started(0)), served, (30, response(ResponseKind::Failed))]),
        [1, 0, 0, 0]
    );
    assert_eq!(
        violations(0, &[(10, attempt_started(0)), (500_001, response(ResponseKind::Served))]),
        [1, 0, 0, 0]
    );
    assert_eq!(violations(0, &[served]), [1, 0, 0, 0]);
}

#[test]
fn rule_2_counts_duplicate_effects_and_rejections_after_an_attempt() {
    let end = (90, response(ResponseKind::Failed));
    assert_eq!(violations(2, &[(10, attempt_started(0)), (20, attempt_started(2)), end]), [0, 1, 0, 0]);
    // Backends 0 and 6 share a cell, 0 and 2 do not.
    assert_eq!(violations(1, &[(10, attempt_started(0)), (20, attempt_started(6)), end]), [0; 4]);
    assert_eq!(violations(1, &[(10, attempt_started(0)), (20, attempt_started(2)), end]), [0, 1, 0, 0]);
    assert_eq!(
        violations(1, &[(10, attempt_started(0)), (90, response(ResponseKind::Rejected))]),
        [0, 1, 0, 0]
    );
    assert_eq!(
        violations(1, &[(90, response(ResponseKind::Rejected)), (95, attempt_started(0))]),
        [0, 1, 0, 0]
    );
    assert_eq!(
        violations(
            0,
            &[(10, attempt_started(0)), (20, attempt_started(2)), (90, response(ResponseKind::Rejected))]
        ),
        [0; 4]
    );
}

#[test]
fn rule_3_grace_counts_from_notification_of_the_proxy() {
    let notified = |proxy, ready| Observation::BackendNotified { proxy, backend: 3, ready };
    let late = Observation::AttemptRejected { id: 1, backend: 3 };
    let end = (1_400_000, response(ResponseKind::Failed));
    let rule_3 = |proxy, at| violations(0, &[(0, notified(proxy, false)), (at, late), end])[2];
    assert_eq!((rule_3(0, 1_000_000), rule_3(0, 1_000_001), rule_3(1, 1_000_001)), (0, 1, 0));
    let ready_again =
        violations(0, &[(0, notified(0, false)), (500_000, notified(0, true)), (1_200_000, late), end]);
    assert_eq!(ready_again[2], 0);
}

#[test]
fn excuses_only_requests_lost_with_a_killed_process() {
    let killed = |at, proxy| (at, Observation::ProxyKilled { proxy });
    let report = report(0, &[(10, attempt_started(0)), killed(20, 0)]);
    assert_eq!((report.violations, report.total.excused), ([0; 4], 1));
    assert_eq!(
        violations(0, &[(10, attempt_started(0)), killed(20, 1)]),
        [1, 0, 0, 0],
        "another process was killed"
    );
    let sent = Observation::RequestSent { id: 2, class: 0, deadline: 500_000, proxy: 0 };
    let (served, restarted) =
        (response(ResponseKind::Served), (25, Observation::ProxyRestarted { proxy: 0 }));
    assert_eq!(
        violations(0, &[(10, attempt_started(0)), (15, served), killed(20, 0), restarted, (30, sent)])[0],
        1,
        "sent to the successor"
    );
    // An attempt after the kill still counts for the rule on effects.
    assert_eq!(
        violations(2, &[(10, attempt_started(0)), killed(20, 0), (30, attempt_started(1))]),
        [0, 1, 0, 0]
    );
}

#[test]
fn stall_time_of_a_process_does_not_count() {
    let stalled = (100, Observation::ProxyStalled { proxy: 0, until: 900_000 });
    let response_at =
        |at| violations(0, &[(10, attempt_started(0)), stalled, (at, response(ResponseKind::Failed))]);
    assert_eq!((response_at(900_000), response_at(900_001)), ([0; 4], [1, 0, 0, 0]));
    // A request that arrives during the stall has its full timeout from the end of the stall.
    let sent_during_stall = (300, Observation::RequestSent { id: 2, class: 0, deadline: 500_300, proxy: 0 });
    let second = |at| {
        let end = (at, Observation::ResponseReceived { id: 2, kind: ResponseKind::Failed });
        violations(0, &[stalled, sent_during_stall, (400, response(ResponseKind::Failed)), end])[0]
    };
    assert_eq!((second(1_400_000), second(1_400_001)), (0, 1));
    let notified = (50, Observation::BackendNotified { proxy: 0, backend: 3, ready: false });
    let late = Observation::AttemptRejected { id: 1, backend: 3 };
    let end = (120, response(ResponseKind::Failed));
    let rule_3 = |at| violations(0, &[notified, stalled, end, (at, late)])[2];
    assert_eq!(
        (rule_3(1_900_000), rule_3(1_900_001)),
        (0, 1),
        "the grace period counts from the end of the stall"
    );
}

#[test]
fn restart_clears_notifications_and_undelivered_requests_earn_nothing() {
    let notified = (0, Observation::BackendNotified { proxy: 0, backend: 3, ready: false });
    let restarted = (1_100_000, Observation::ProxyRestarted { proxy: 0 });
    let late = (1_200_000, Observation::AttemptRejected { id: 1, backend: 3 });
    let end = (90, response(ResponseKind::Failed));
    assert_eq!(
        (violations(0, &[notified, end, restarted, late])[2], violations(0, &[notified, end, late])[2]),
        (0, 1)
    );
    let undelivered = report(
        1,
        &[
            (10, attempt_started(0)),
            (20, response(ResponseKind::Served)),
            (30, Observation::RequestUndelivered { class: 1 }),
        ],
    );
    assert_eq!((undelivered.total.undelivered, undelivered.total.goodput()), (1, 0.5));
}

#[test]
fn rule_4_limits_work_within_two_seconds() {
    let overload = |count: u64| {
        let mut observations = vec![(0, Observation::BackendStarted { backend: 0 })];
        for n in 0..count {
            observations.push((
                n * 1_000,
                Observation::RequestSent { id: 10 + n, class: 0, deadline: 9_000_000, proxy: 0 },
            ));
            observations
                .push((n * 1_000, Observation::AttemptStarted { id: 10 + n, backend: 0, work: 10_000 }));
            observations.push((
                n * 1_000 + 500,
                Observation::ResponseReceived { id: 10 + n, kind: ResponseKind::Served },
            ));
        }
        violations(0, &observations)[3]
    };
    // Three times a third of a core for two seconds: 198 requests of 10 ms, and a slack of two requests.
    assert_eq!((overload(200), overload(210) > 0), (0, true));
}

#[test]
fn link_delay_does_not_count_against_a_proxy() {
    let link_fault =
        "link = [{ between = \"clients\", at_s = 0.2, for_s = 1.0, cut = true, way = \"back\" }]\nclass = [";
    let script = Script::parse(&SCRIPT.replace("class = [", link_fault), Path::new("scenario"))
        .expect("a valid script");
    let violations_of = |started| {
        let mut log = ObservationLog::default();
        log.add(
            0,
            if started { Observation::ScenarioStarted } else { Observation::DiscoveryCalled { proxy: 0 } },
        );
        log.add(0, Observation::RequestSent { id: 1, class: 0, deadline: 500_000, proxy: 0 });
        log.add(10, attempt_started(0));
        log.add(1_190_000, response(ResponseKind::Served));
        check(&script, &log, 0).violations
    };
    assert_eq!((violations_of(true), violations_of(false)), ([0; 4], [1, 0, 0, 0]));
}

#[test]
fn unaccepted_request_may_be_sent_again_and_is_not_lost() {
    let unaccepted = (20, Observation::RequestNotAccepted { id: 1 });
    let resent = (30, Observation::RequestSent { id: 1, class: 0, deadline: 500_030, proxy: 0 });
    let served = [(40, attempt_started(0)), (50, response(ResponseKind::Served))];
    let sent_again = report(0, &[unaccepted, resent, served[0], served[1]]);
    assert_eq!(
        (sent_again.violations, sent_again.total.requests, sent_again.total.undelivered),
        ([0; 4], 1, 0)
    );
    let undelivered = report(0, &[unaccepted]);
    assert_eq!(
        (undelivered.violations, undelivered.total.requests, undelivered.total.undelivered),
        ([0; 4], 0, 1)
    );
    assert_eq!(
        violations(0, &[(10, attempt_started(0)), unaccepted, (30, response(ResponseKind::Failed))])[0],
        1,
        "a backend had already started the request"
    );
    // A request written to a killed process is excused; one sent to its successor is not.
    let sent = |at| (at, Observation::RequestSent { id: 2, class: 0, deadline: at + 500_000, proxy: 0 });
    let (killed, restarted) =
        ((60, Observation::ProxyKilled { proxy: 0 }), (70, Observation::ProxyRestarted { proxy: 0 }));
    assert_eq!(violations(0, &[served[0], served[1], killed, sent(65), restarted])[0], 0);
    assert_eq!(violations(0, &[served[0], served[1], killed, restarted, sent(75)])[0], 1);
}

/// Guards against a checker that applies the capacity of a backend at full speed to a slow one.
#[test]
fn rule_4_counts_the_capacity_of_a_slow_backend() {
    let overloads = |speeds: &str| {
        let text = SCRIPT.replace("boxes = 12,", &format!("boxes = 12, speeds = [{speeds}],"));
        let script = Script::parse(&text, Path::new("scenario")).expect("a valid script");
        let mut log = ObservationLog::default();
        log.add(0, Observation::BackendStarted { backend: 0 });
        log.add(0, Observation::RequestSent { id: 1, class: 0, deadline: 500_000, proxy: 0 });
        let capacity = script.fleet.initial_capacity * script.fleet.cores * OVERLOAD_WINDOW as f64;
        // Twice the work that a warming backend at full speed can do in one window.
        let work = (capacity * 2.0 / 100.0) as Micros;
        for n in 0..100 {
            log.add(n * 1_000, Observation::AttemptStarted { id: 1, backend: 0, work });
        }
        log.add(200_000, response(ResponseKind::Served));
        check(&script, &log, 0).violations[3]
    };
    assert_eq!(overloads("1.0"), 0, "within the bound of {OVERLOAD_MULTIPLE}");
    assert!(overloads("0.25") > 0, "eight times the work that a backend at a quarter of the speed can do");
}
