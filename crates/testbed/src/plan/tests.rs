use super::*;
use std::path::Path;

fn script(traffic_and_faults: &str) -> Script {
    let text = format!(
        "seed = 5\nseconds = 20.0\nfleet = {{ boxes = 6, proxies = 20, zones = 2, cells = 1, cores = 1.0, holds = 8.0 }}\n\
         {traffic_and_faults}\n[[class]]\nname = \"r\"\neffect = \"safe\"\nshare = 1.0\nwork = \"exponential\"\n\
         work_ms = [0.5, 79.5]\naim_ms = 540\ndeadline_ms = 1500\nworth = 1.0\n"
    );
    Script::parse(&text, Path::new("plan.toml")).expect("a valid script")
}

fn traffic_share(plan: &Plan, selected: impl Fn(usize) -> bool) -> f64 {
    let count = plan.arrivals.iter().filter(|arrival| selected(usize::from(arrival.proxy))).count();
    count as f64 / plan.arrivals.len() as f64
}

#[test]
fn arrivals_follow_rate_work_and_busy_proxies() {
    let script = script("traffic = { per_s = 500.0, busy_proxies = 0.1, busy_share = 0.5 }");
    let plan = Plan::draw(&script);
    assert_eq!(plan, Plan::draw(&script), "the same seed gives the same plan");
    let count = plan.arrivals.len() as f64;
    assert!((count - 10_000.0).abs() < 400.0, "{count} requests; four standard deviations are 400");
    let mean = plan.arrivals.iter().map(|a| a.work as f64).sum::<f64>() / count;
    assert!((mean / 40_000.0 - 1.0).abs() < 0.05, "{mean} us of mean work");
    assert!((traffic_share(&plan, |p| p < 2) - 0.5).abs() < 0.03);
    assert!(plan.arrivals.windows(2).all(|pair| pair[0].at <= pair[1].at));
}

#[test]
fn traffic_follows_zone_share_and_proxy_skew() {
    let plan = Plan::draw(&script("traffic = { per_s = 500.0, first_zone = 0.8, skew = 0.8 }"));
    assert!((traffic_share(&plan, |p| p % 2 == 0) - 0.8).abs() < 0.03);
    let busiest = (0..20).map(|proxy| traffic_share(&plan, |p| p == proxy) * 20.0).fold(0.0, f64::max);
    assert!(busiest > 2.0, "the busiest proxy receives {busiest} times the mean");
}

#[test]
fn process_faults_affect_each_process_once_and_restart_it() {
    let faults = "traffic = { per_s = 5.0 }\nprocess = [\
        { what = \"kill\", at_s = 2.0, for_s = 1.0, part = 0.7, waves = 3, wave_s = 1.0, list = \"nothing\" },\
        { what = \"end\", at_s = 9.0, part = 0.1 }, { what = \"stall\", at_s = 12.0, for_s = 2.0, part = 0.1 }]";
    let plan = Plan::draw(&script(faults));
    let events_of =
        |wanted: ProcessAction| plan.process_events.iter().filter(|e| e.action == wanted).collect::<Vec<_>>();
    let (kills, starts) =
        (events_of(ProcessAction::Kill), events_of(ProcessAction::Start(InitialList::Empty)));
    assert_eq!((kills.len(), starts.len()), (14, 14));
    assert_eq!(kills.iter().filter(|e| e.at == 2_000_000).count(), 5);
    for kill in &kills {
        let restart = starts.iter().find(|s| s.proxy == kill.proxy).expect("a restart of the killed process");
        assert_eq!(restart.at, kill.at + 1_000_000);
    }
    let (ends, reaps, restarts) = (
        events_of(ProcessAction::Term),
        events_of(ProcessAction::Reap),
        events_of(ProcessAction::Start(InitialList::Stale)),
    );
    assert_eq!((ends.len(), reaps.len(), restarts.len()), (2, 2, 2));
    assert_eq!(
        reaps[0].at,
        9_000_000 + 1_500_000 + TERMINATION_GRACE,
        "SIGKILL follows after the longest deadline and the grace period"
    );
    assert_eq!(events_of(ProcessAction::Stop(14_000_000)).len(), 2);
    assert_eq!(events_of(ProcessAction::Continue).len(), 2);
}
