use super::*;
use crate::invariant_checker::check;
use std::path::Path;

fn scenario(load: f64, faults: &str) -> Script {
    let text = format!(
        "seed = 3\nseconds = 20.0\nfleet = {{ boxes = 60, proxies = 200, zones = 1, cells = 1, cores = 1.0, holds = 8.0 }}\n\
         {faults}\n[traffic]\nper_s = {}\n[[class]]\nname = \"r\"\neffect = \"safe\"\nshare = 1.0\nwork = \"exponential\"\n\
         work_ms = [0.01, 79.99]\naim_ms = 540\ndeadline_ms = 1500\nworth = 1.0\n",
        1_500.0 * load
    );
    Script::parse(&text, Path::new("reference.toml")).expect("a valid script")
}

#[test]
fn results_match_queueing_theory() {
    let script = scenario(0.6, "");
    let plan = Plan::draw(&script);
    let report = |policy| check(&script, &simulate(&script, &plan, policy), 0);
    let (central_queue, random) = (report(Policy::CentralQueue), report(Policy::Random));
    // With 60 backends at 60 % load requests rarely queue: the 99th percentile is that of the work, 184 ms.
    assert!((150_000..220_000).contains(&central_queue.percentile(0.99)), "{central_queue}");
    assert_eq!((central_queue.violations, central_queue.total.rejected), ([0; 4], 0));
    // A backend with a capacity of 8 requests rejects 0.7 % at 60 % load.
    let rejected = random.total.rejected as f64 / random.total.requests as f64;
    assert!((0.003..0.012).contains(&rejected), "{random}");
    assert_eq!(random.violations, [0; 4]);
    let round_robin = report(Policy::RoundRobin);
    assert!(report(Policy::TwoChoices).total.goodput() > 0.9 && round_robin.total.goodput() > 0.9);
}

#[test]
fn every_request_ends_when_backends_crash_hang_and_drain() {
    let fault = |what| format!("{{ what = \"{what}\", at_s = 5.0, for_s = 4.0, part = 0.2 }}");
    let faults = ["crash", "hang", "drain", "pause"].map(fault).join(", ");
    let script = scenario(0.5, &format!("trouble = [{faults}]"));
    let plan = Plan::draw(&script);
    for policy in Policy::ALL {
        let report = check(&script, &simulate(&script, &plan, policy), 0);
        assert_eq!(report.violations[0], 0, "{policy:?}: {report}");
        assert!(report.total.failed + report.total.rejected > 0, "{policy:?}: the faults have an effect");
    }
}
