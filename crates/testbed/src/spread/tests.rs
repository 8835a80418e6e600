use super::*;
use std::path::Path;

fn script(more: &str) -> Script {
    let text = format!(
        "seed = 5\nseconds = 20.0\nfleet = {{ boxes = 4, proxies = 2, zones = 1, cells = 1, cores = 1.0, holds = 8.0, \
         news_s = 0.0, cold_s = 0.0{more}\n[traffic]\nper_s = 40.0\n[[class]]\nname = \"r\"\neffect = \"safe\"\nshare = 1.0\n\
         work_ms = [1.0, 2.0]\naim_ms = 500\ndeadline_ms = 1500\nworth = 1.0\n"
    );
    Script::parse(&text, Path::new("spread.toml")).expect("a good script")
}

/// 40 requests a second: `to` names the box of each, `served` whether those of a second are.
fn play(script: &Script, to: impl Fn(u64) -> usize, served: impl Fn(u64) -> bool) -> Spread {
    let (mut seen, mut plan) = (Vec::new(), Plan::draw(script));
    plan.processes.clear();
    for id in 0..800 {
        let at = id * 25_000;
        seen.push((at, Observation::RequestSent { id, class: 0, end: at + 1_500_000, proxy: 0 }));
        seen.push((at + 10, Observation::AttemptStarted { id, backend: to(id), work: 1_000 }));
        let got = if served(at / 1_000_000) { ResponseKind::Served } else { ResponseKind::Rejected };
        seen.push((at + 20, Observation::ResponseReceived { id, kind: got }));
    }
    measure(script, &plan, &seen, 0)
}

#[test]
fn round_robin_is_even_and_a_single_backend_is_not() {
    let script = script("}");
    let even = play(&script, |id| (id % 4) as usize, |_| true);
    assert_eq!((even.busiest, even.least, even.deviation, even.idle), (1.0, 1.0, 0.0, 0));
    assert!((even.chance - (0.75_f64 / 200.0).sqrt()).abs() < 1e-9);
    let one = play(&script, |_| 2, |_| true);
    assert_eq!((one.busiest, one.least, one.idle), (4.0, 0.0, 60));
    assert!(one.idle_most < 1.0, "chance leaves none of 80 box-windows idle at 40 requests each");
}

#[test]
fn first_use_counts_from_the_latest_start() {
    let script = script("}");
    let began = |id| Observation::AttemptStarted { id, backend: 1, work: 10 };
    let started = Observation::BackendStarted { backend: 1 };
    let seen = [(0, started), (1_500_000, began(1)), (1_600_000, began(2)), (2_000_000, started)];
    let measured = measure(&script, &Plan::default(), &seen, 0);
    assert_eq!(measured.first_use_s, [Some(1.5), None]);
}

#[test]
fn first_use_counts_from_the_first_notification_of_a_return() {
    let script = script("}");
    let told = |proxy, ready| Observation::BackendNotified { proxy, backend: 2, ready };
    let began = Observation::AttemptStarted { id: 9, backend: 2, work: 10 };
    let seen = [(0, told(0, true)), (10, told(0, false)), (20, told(1, false)), (30, began)];
    assert_eq!(measure(&script, &Plan::default(), &seen, 0).first_use_s, []);
    let back = [(1_000_000, told(1, true)), (1_100_000, told(0, true)), (3_000_000, began)];
    let seen = [seen.as_slice(), &back].concat();
    assert_eq!(measure(&script, &Plan::default(), &seen, 0).first_use_s, [Some(2.0)]);
}

#[test]
fn a_faster_box_is_due_its_speed() {
    let script = script(", speeds = [2.0, 1.0, 1.0, 1.0] }");
    let fair = play(&script, |id| [0, 0, 1, 2, 3][(id % 5) as usize], |_| true);
    assert!((fair.busiest - 1.0).abs() < 1e-9 && (fair.least - 1.0).abs() < 1e-9, "{fair:?}");
}

#[test]
fn boxes_out_of_service_are_not_idle_and_recovery_counts_from_the_end() {
    let trouble = "}\ntrouble = [{ what = \"crash\", at_s = 4.0, for_s = 3.0, part = 0.25 }]";
    let script = script(trouble);
    let down = script.faulty_backends(0)[0];
    let others: Vec<usize> = (0..4).filter(|&b| b != down).collect();
    let to = |id: u64| match id / 40 {
        4..=6 => others[(id % 3) as usize],
        _ => (id % 4) as usize,
    };
    let soon = play(&script, to, |second| !(4..=8).contains(&second));
    assert_eq!((soon.idle, soon.recovery_s.as_slice()), (0, [Some(2.0)].as_slice()));
    assert_eq!(soon.first_use_s, [], "no box was seen to start");
    let never = play(&script, to, |second| second < 4);
    assert_eq!(never.recovery_s, [None]);
}
