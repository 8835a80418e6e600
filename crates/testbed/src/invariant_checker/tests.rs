use super::*;
use std::path::Path;

const DAY: &str = r#"
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

/// The breaks of each rule in this record, where request 1 is of the class and asked at 0 of proxy 0.
fn broken(class: usize, seen: &[(Micros, Observation)]) -> [u64; 4] {
    day(class, seen).violations
}

fn day(class: usize, seen: &[(Micros, Observation)]) -> CheckReport {
    let script = Script::parse(DAY, Path::new("day")).expect("a good script");
    let mut record = ObservationLog::default();
    record.add(0, Observation::RequestSent { id: 1, class, end: 500_000, proxy: 0 });
    for &(at, seen) in seen {
        record.add(at, seen);
    }
    check(&script, &record, 0)
}

const fn began(at_box: usize) -> Observation {
    Observation::AttemptStarted { id: 1, backend: at_box, work: 10_000 }
}

const fn got(got: ResponseKind) -> Observation {
    Observation::ResponseReceived { id: 1, kind: got }
}

#[test]
fn one_answer_in_time_is_clean_and_earns_its_worth() {
    let good = day(1, &[(10, began(0)), (50_000, got(ResponseKind::Served))]);
    assert_eq!((good.violations, good.total.earned_weight, good.total.in_time), ([0; 4], 9.0, 1));
    let late = day(1, &[(10, began(0)), (300_000, got(ResponseKind::Served))]);
    assert_eq!((late.violations, late.total.earned_weight, late.total.late), ([0; 4], 4.5, 1));
}

#[test]
fn rule_1_lost_doubled_late_and_forged_answers() {
    assert_eq!(broken(0, &[]), [1, 0, 0, 0]);
    let served = (20, got(ResponseKind::Served));
    assert_eq!(broken(0, &[(10, began(0)), served, (30, got(ResponseKind::Failed))]), [1, 0, 0, 0]);
    assert_eq!(broken(0, &[(10, began(0)), (500_001, got(ResponseKind::Served))]), [1, 0, 0, 0]);
    assert_eq!(broken(0, &[served]), [1, 0, 0, 0]);
}

#[test]
fn rule_2_what_ran_twice_or_was_refused_after_it_ran() {
    let end = (90, got(ResponseKind::Failed));
    assert_eq!(broken(2, &[(10, began(0)), (20, began(2)), end]), [0, 1, 0, 0]);
    // Boxes 0 and 6 share a cell, 0 and 2 do not.
    assert_eq!(broken(1, &[(10, began(0)), (20, began(6)), end]), [0; 4]);
    assert_eq!(broken(1, &[(10, began(0)), (20, began(2)), end]), [0, 1, 0, 0]);
    assert_eq!(broken(1, &[(10, began(0)), (90, got(ResponseKind::Rejected))]), [0, 1, 0, 0]);
    assert_eq!(broken(1, &[(90, got(ResponseKind::Rejected)), (95, began(0))]), [0, 1, 0, 0]);
    assert_eq!(broken(0, &[(10, began(0)), (20, began(2)), (90, got(ResponseKind::Rejected))]), [0; 4]);
}

#[test]
fn rule_3_counts_from_when_the_proxy_was_told() {
    let told = |proxy, ready| Observation::BackendNotified { proxy, backend: 3, ready };
    let late = Observation::AttemptRejected { id: 1, backend: 3 };
    let end = (1_400_000, got(ResponseKind::Failed));
    let seen = |proxy, at| broken(0, &[(0, told(proxy, false)), (at, late), end])[2];
    assert_eq!((seen(0, 1_000_000), seen(0, 1_000_001), seen(1, 1_000_001)), (0, 1, 0));
    let back = broken(0, &[(0, told(0, false)), (500_000, told(0, true)), (1_200_000, late), end]);
    assert_eq!(back[2], 0);
}

#[test]
fn what_goes_with_a_killed_process_is_excused_and_nothing_else() {
    let killed = |at, proxy| (at, Observation::ProxyKilled { proxy });
    let day = day(0, &[(10, began(0)), killed(20, 0)]);
    assert_eq!((day.violations, day.total.excused), ([0; 4], 1));
    assert_eq!(broken(0, &[(10, began(0)), killed(20, 1)]), [1, 0, 0, 0], "another process");
    let asked = Observation::RequestSent { id: 2, class: 0, end: 500_000, proxy: 0 };
    let (served, anew) = (got(ResponseKind::Served), (25, Observation::ProxyRestarted { proxy: 0 }));
    assert_eq!(
        broken(0, &[(10, began(0)), (15, served), killed(20, 0), anew, (30, asked)])[0],
        1,
        "asked later"
    );
    // What another process does for it later breaks the rule on effects as ever.
    assert_eq!(broken(2, &[(10, began(0)), killed(20, 0), (30, began(1))]), [0, 1, 0, 0]);
}

#[test]
fn a_stalled_process_has_no_time_until_it_goes_on() {
    let stalled = (100, Observation::ProxyStalled { proxy: 0, until: 900_000 });
    let answered = |at| broken(0, &[(10, began(0)), stalled, (at, got(ResponseKind::Failed))]);
    assert_eq!((answered(900_000), answered(900_001)), ([0; 4], [1, 0, 0, 0]));
    // One that comes while it stands has its whole time from when it goes on.
    let asked = (300, Observation::RequestSent { id: 2, class: 0, end: 500_300, proxy: 0 });
    let second = |at| {
        let end = (at, Observation::ResponseReceived { id: 2, kind: ResponseKind::Failed });
        broken(0, &[stalled, asked, (400, got(ResponseKind::Failed)), end])[0]
    };
    assert_eq!((second(1_400_000), second(1_400_001)), (0, 1));
    let told = (50, Observation::BackendNotified { proxy: 0, backend: 3, ready: false });
    let late = Observation::AttemptRejected { id: 1, backend: 3 };
    let end = (120, got(ResponseKind::Failed));
    let sent = |at| broken(0, &[told, stalled, end, (at, late)])[2];
    assert_eq!((sent(1_900_000), sent(1_900_001)), (0, 1), "the grace counts from when it goes on");
}

#[test]
fn a_process_started_anew_was_told_nothing_and_a_missed_request_earns_nothing() {
    let told = (0, Observation::BackendNotified { proxy: 0, backend: 3, ready: false });
    let anew = (1_100_000, Observation::ProxyRestarted { proxy: 0 });
    let late = (1_200_000, Observation::AttemptRejected { id: 1, backend: 3 });
    let end = (90, got(ResponseKind::Failed));
    assert_eq!((broken(0, &[told, end, anew, late])[2], broken(0, &[told, end, late])[2]), (0, 1));
    let missed = day(
        1,
        &[
            (10, began(0)),
            (20, got(ResponseKind::Served)),
            (30, Observation::RequestUndelivered { class: 1 }),
        ],
    );
    assert_eq!((missed.total.undelivered, missed.total.goodput()), (1, 0.5));
}

#[test]
fn rule_4_is_a_budget_over_two_seconds() {
    let flood = |count: u64| {
        let mut seen = vec![(0, Observation::BackendStarted { backend: 0 })];
        for n in 0..count {
            seen.push((
                n * 1_000,
                Observation::RequestSent { id: 10 + n, class: 0, end: 9_000_000, proxy: 0 },
            ));
            seen.push((n * 1_000, Observation::AttemptStarted { id: 10 + n, backend: 0, work: 10_000 }));
            seen.push((
                n * 1_000 + 500,
                Observation::ResponseReceived { id: 10 + n, kind: ResponseKind::Served },
            ));
        }
        broken(0, &seen)[3]
    };
    // A third of a core for two seconds, three times over: 198 requests of 10 ms, and two for chance.
    assert_eq!((flood(200), flood(210) > 0), (0, true));
}

#[test]
fn no_proxy_answers_for_what_is_late_on_a_link() {
    let cut =
        "link = [{ between = \"clients\", at_s = 0.2, for_s = 1.0, cut = true, way = \"back\" }]\nclass = [";
    let script = Script::parse(&DAY.replace("class = [", cut), Path::new("day")).expect("a good script");
    let lost = |begun| {
        let mut record = ObservationLog::default();
        record.add(
            0,
            if begun { Observation::ScenarioStarted } else { Observation::DiscoveryCalled { proxy: 0 } },
        );
        record.add(0, Observation::RequestSent { id: 1, class: 0, end: 500_000, proxy: 0 });
        record.add(10, began(0));
        record.add(1_190_000, got(ResponseKind::Served));
        check(&script, &record, 0).violations
    };
    assert_eq!((lost(true), lost(false)), ([0; 4], [1, 0, 0, 0]));
}

#[test]
fn a_request_that_nobody_read_may_be_asked_again_and_is_no_loss() {
    let untaken = (20, Observation::RequestNotAccepted { id: 1 });
    let again = (30, Observation::RequestSent { id: 1, class: 0, end: 500_030, proxy: 0 });
    let served = [(40, began(0)), (50, got(ResponseKind::Served))];
    let asked_again = day(0, &[untaken, again, served[0], served[1]]);
    assert_eq!(
        (asked_again.violations, asked_again.total.requests, asked_again.total.undelivered),
        ([0; 4], 1, 0)
    );
    let missed = day(0, &[untaken]);
    assert_eq!((missed.violations, missed.total.requests, missed.total.undelivered), ([0; 4], 0, 1));
    assert_eq!(
        broken(0, &[(10, began(0)), untaken, (30, got(ResponseKind::Failed))])[0],
        1,
        "a box had it already"
    );
    // What is written to a process that is gone is lost with it; what its successor is asked is not.
    let asked = |at| (at, Observation::RequestSent { id: 2, class: 0, end: at + 500_000, proxy: 0 });
    let (killed, anew) =
        ((60, Observation::ProxyKilled { proxy: 0 }), (70, Observation::ProxyRestarted { proxy: 0 }));
    assert_eq!(broken(0, &[served[0], served[1], killed, asked(65), anew])[0], 0);
    assert_eq!(broken(0, &[served[0], served[1], killed, anew, asked(75)])[0], 1);
}
