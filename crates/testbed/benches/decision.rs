//! What a decision costs: one request with the outcome of its attempt, by size of the fleet.
//!
//! `cargo bench -p testbed`; prints the exponent of the curve from 100 to 10,000 boxes at the end.

use balancer::api::{
    Action, AttemptResult, Backend, Event, MembershipUpdate, Micros, Outcome, Readiness, Request,
};
use balancer::balancer::Balancer;
use criterion::{BenchmarkId, Criterion};
use std::hint::black_box;
use std::path::Path;
use std::time::Instant;
use testbed::script::Script;

const SIZES: [u32; 4] = [10, 100, 1_000, 10_000];
/// Requests that are out at any time, for each box: the fleet is busy, not full.
const OUT_PER_BOX: f64 = 0.5;
/// What an attempt takes, microseconds of the script's clock.
const LATENCY: Micros = 20_000;

const DAY: &str = r#"
seed = 7
seconds = 10.0
fleet = { boxes = 10, proxies = 1, zones = 4, cells = 3, cores = 1.0, holds = 2.0 }
traffic = { per_s = 100.0 }
class = [
  { name = "read", effect = "safe", share = 1.0, work_ms = [10.0, 20.0], aim_ms = 500, deadline_ms = 1500, worth = 1.0 },
]
"#;

/// A balancer under a steady load, on a clock of its own.
struct Load {
    balancer: Balancer,
    now: Micros,
    next: u32,
    out: std::collections::VecDeque<(u32, u32, Micros)>,
    actions: Vec<Action>,
    step: Micros,
    most: usize,
    sent: u64,
}

impl Load {
    fn new(boxes: u32) -> Self {
        let script = Script::parse(DAY, Path::new("bench")).expect("a good script");
        let settings = script.settings(0).to_string();
        let settings = settings::parse_settings(settings.as_bytes()).expect("good settings");
        let mut balancer = Balancer::new(settings, 7, 1).expect("good settings");
        let list: Vec<Backend> = (0..boxes)
            .map(|id| Backend {
                id,
                zone: (id % 4) as u16,
                machine_kind: 0,
                cell: (id % 12) as u16,
                readiness: Readiness::Ready,
                started_at: None,
            })
            .collect();
        balancer.handle(1, Event::Membership(MembershipUpdate::Snapshot(&list)), &mut Vec::new());
        let most = ((f64::from(boxes) * OUT_PER_BOX) as usize).max(2);
        // So many out at a time, each for this latency, is this many a second.
        let step = (LATENCY / most as u64).max(1);
        let mut load = Self {
            balancer,
            now: 1,
            next: 1,
            out: std::collections::VecDeque::new(),
            actions: Vec::new(),
            step,
            most,
            sent: 0,
        };
        for _ in 0..(most * 4).max(20_000) {
            load.request();
        }
        load
    }

    /// One request and, where enough are out, the outcome of the oldest.
    fn request(&mut self) {
        self.now += self.step;
        let id = self.next;
        self.next += 1;
        let request = Request {
            id,
            class: 0,
            tenant: 0,
            key: None,
            timeout: 1_500_000,
            expected_work: None,
            is_retry: false,
            is_proxied: true,
        };
        self.balancer.handle(self.now, Event::Request(request), &mut self.actions);
        self.take();
        while self.out.len() > self.most {
            let Some((request, backend, sent_at)) = self.out.pop_front() else { return };
            let settled = AttemptResult {
                request,
                backend,
                attempt: 0,
                outcome: Outcome::Ok,
                is_answered: true,
                elapsed: self.now - sent_at,
                load_report: &[],
            };
            self.balancer.handle(self.now, Event::AttemptFinished(settled), &mut self.actions);
            self.take();
        }
    }

    fn take(&mut self) {
        for action in self.actions.drain(..) {
            if let Action::Send { request, backend, .. } = action {
                self.sent += 1;
                self.out.push_back((request, backend, self.now));
            }
        }
    }
}

/// Nanoseconds of a request with its outcome, the best of a few rounds.
fn once(boxes: u32) -> f64 {
    const ROUNDS: usize = 5;
    const REQUESTS: u32 = 20_000;
    let mut load = Load::new(boxes);
    let rounds = (0..ROUNDS).map(|_| {
        let began = Instant::now();
        (0..REQUESTS).for_each(|_| load.request());
        began.elapsed().as_nanos() as f64 / f64::from(REQUESTS)
    });
    rounds.fold(f64::MAX, f64::min)
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    let mut group = criterion.benchmark_group("request_with_outcome");
    for boxes in SIZES {
        let mut load = Load::new(boxes);
        group.bench_function(BenchmarkId::from_parameter(boxes), |b| {
            b.iter(|| black_box(&mut load).request());
        });
        assert!(load.sent * 2 > u64::from(load.next), "the load is served, not refused");
    }
    group.finish();
    criterion.final_summary();
    let costs: Vec<f64> = SIZES.iter().map(|&boxes| once(boxes)).collect();
    for (boxes, cost) in SIZES.iter().zip(&costs) {
        println!("{boxes} boxes: {cost:.0} ns a request");
    }
    println!("exponent from 100 to 10,000 boxes: {:.2}", (costs[3] / costs[1]).log10() / 2.0);
}
