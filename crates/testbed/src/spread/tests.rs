use super::*;
use std::path::Path;

fn script(more: &str) -> Script {
    let text = format!(
        "seed = 5\nseconds = 20.0\nfleet = {{ boxes = 4, proxies = 2, zones = 1, cells = 1, cores = 1.0, holds = 8.0, \
         news_s = 0.0, cold_s = 0.0{more}\n[traffic]\nper_s = 40.0\n[[class]]\nname = \"r\"\neffect = \"safe\"\nshare = 1.0\n\
         work_ms = [1.0, 2.0]\naim_ms = 500\ndeadline_ms = 1500\nworth = 1.0\n"
    );
    Script::parse(&text, Path::new("spread.toml")).expect("a valid script")
}

/// Measures 40 requests per second: `to` selects the backend of each request, `served` the seconds whose
/// requests are served.
fn measure_spread(script: &Script, to: impl Fn(u64) -> usize, served: impl Fn(u64) -> bool) -> Spread {
    let (mut observations, mut plan) = (Vec::new(), Plan::draw(script));
    plan.process_events.clear();
    for id in 0..800 {
        let at = id * 25_000;
        observations
            .push((at, Observation::RequestSent { id, class: 0, deadline: at + 1_500_000, proxy: 0 }));
        observations.push((at + 10, Observation::AttemptStarted { id, backend: to(id), work: 1_000 }));
        let kind = if served(at / 1_000_000) { ResponseKind::Served } else { ResponseKind::Rejected };
        observations.push((at + 20, Observation::ResponseReceived { id, kind }));
    }
    measure(script, &plan, &observations, 0)
}

#[test]
fn measures_even_load_of_round_robin_and_uneven_load_of_a_single_backend() {
    let script = script("}");
    let even = measure_spread(&script, |id| (id % 4) as usize, |_| true);
    assert_eq!((even.max_load, even.min_load, even.deviation, even.idle_windows), (1.0, 1.0, 0.0, 0));
    assert!((even.random_deviation - (0.75_f64 / 200.0).sqrt()).abs() < 1e-9);
    let single = measure_spread(&script, |_| 2, |_| true);
    assert_eq!((single.max_load, single.min_load, single.idle_windows), (4.0, 0.0, 60));
    assert!(single.max_idle_windows < 1.0, "random selection leaves none of 80 windows of a backend idle");
}

#[test]
fn first_use_counts_from_the_latest_start() {
    let script = script("}");
    let attempt_started = |id| Observation::AttemptStarted { id, backend: 1, work: 10 };
    let started = Observation::BackendStarted { backend: 1 };
    let observations = [
        (0, started),
        (1_500_000, attempt_started(1)),
        (1_600_000, attempt_started(2)),
        (2_000_000, started),
    ];
    let measured = measure(&script, &Plan::default(), &observations, 0);
    assert_eq!(measured.first_use_s, [Some(1.5), None]);
}

#[test]
fn first_use_counts_from_the_first_notification_of_a_return() {
    let script = script("}");
    let notified = |proxy, ready| Observation::BackendNotified { proxy, backend: 2, ready };
    let attempt_started = Observation::AttemptStarted { id: 9, backend: 2, work: 10 };
    let observations =
        [(0, notified(0, true)), (10, notified(0, false)), (20, notified(1, false)), (30, attempt_started)];
    assert_eq!(measure(&script, &Plan::default(), &observations, 0).first_use_s, []);
    let returned =
        [(1_000_000, notified(1, true)), (1_100_000, notified(0, true)), (3_000_000, attempt_started)];
    let observations = [observations.as_slice(), &returned].concat();
    assert_eq!(measure(&script, &Plan::default(), &observations, 0).first_use_s, [Some(2.0)]);
}

#[test]
fn expects_load_in_proportion_to_speed() {
    let script = script(", speeds = [2.0, 1.0, 1.0, 1.0] }");
    let spread = measure_spread(&script, |id| [0, 0, 1, 2, 3][(id % 5) as usize], |_| true);
    assert!((spread.max_load - 1.0).abs() < 1e-9 && (spread.min_load - 1.0).abs() < 1e-9, "{spread:?}");
}

#[test]
fn ignores_idle_backends_out_of_service_and_counts_recovery_from_the_end() {
    let fault = "}\ntrouble = [{ what = \"crash\", at_s = 4.0, for_s = 3.0, part = 0.25 }]";
    let script = script(fault);
    let crashed = script.faulty_backends(0)[0];
    let others: Vec<usize> = (0..4).filter(|&b| b != crashed).collect();
    let to = |id: u64| match id / 40 {
        4..=6 => others[(id % 3) as usize],
        _ => (id % 4) as usize,
    };
    let recovered = measure_spread(&script, to, |second| !(4..=8).contains(&second));
    assert_eq!((recovered.idle_windows, recovered.recovery_s.as_slice()), (0, [Some(2.0)].as_slice()));
    assert_eq!(recovered.first_use_s, [], "no start of a backend was observed");
    let unrecovered = measure_spread(&script, to, |second| second < 4);
    assert_eq!(unrecovered.recovery_s, [None]);
}
