//! Cost of a decision: one request and the outcome of its attempt, by number of backends.
//!
//! Run with `cargo bench -p testbed`. At the end it prints the exponent with which the cost grows from 100 to
//! 10,000 backends.

use balancer::api::{
    Action, AttemptResult, Backend, Event, MembershipUpdate, Micros, Outcome, Readiness, Request,
};
use balancer::balancer::Balancer;
use criterion::{BenchmarkId, Criterion};
use std::hint::black_box;
use std::path::Path;
use std::time::Instant;
use testbed::script::Script;

/// Numbers of backends.
const FLEET_SIZES: [u32; 4] = [10, 100, 1_000, 10_000];
/// Requests in flight for each backend: the fleet is busy, but not at its limits.
const IN_FLIGHT_PER_BACKEND: f64 = 0.5;
/// Duration of an attempt, microseconds of the balancer's clock.
const ATTEMPT_LATENCY: Micros = 20_000;

const SCRIPT: &str = r#"
seed = 7
seconds = 10.0
fleet = { boxes = 10, proxies = 1, zones = 4, cells = 3, cores = 1.0, holds = 2.0 }
traffic = { per_s = 100.0 }
class = [
  { name = "read", effect = "safe", share = 1.0, work_ms = [10.0, 20.0], aim_ms = 500, deadline_ms = 1500, worth = 1.0 },
]
"#;

/// A balancer under a constant load, with a simulated clock.
struct Load {
    balancer: Balancer,
    now: Micros,
    next_id: u32,
    /// Requests in flight, oldest first: id, backend, and the time at which they were sent.
    in_flight: std::collections::VecDeque<(u32, u32, Micros)>,
    actions: Vec<Action>,
    /// Time between two requests, microseconds.
    interval: Micros,
    max_in_flight: usize,
    sent: u64,
}

impl Load {
    fn new(backends: u32) -> Self {
        let script = Script::parse(SCRIPT, Path::new("bench")).expect("a valid script");
        let settings = script.settings(0).to_string();
        let settings = settings::parse_settings(settings.as_bytes()).expect("valid settings");
        let mut balancer = Balancer::new(settings, 7, 1).expect("valid settings");
        let list: Vec<Backend> = (0..backends)
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
        let max_in_flight = ((f64::from(backends) * IN_FLIGHT_PER_BACKEND) as usize).max(2);
        // Little's law: the interval between requests that gives this number in flight at this latency.
        let interval = (ATTEMPT_LATENCY / max_in_flight as u64).max(1);
        let mut load = Self {
            balancer,
            now: 1,
            next_id: 1,
            in_flight: std::collections::VecDeque::new(),
            actions: Vec::new(),
            interval,
            max_in_flight,
            sent: 0,
        };
        for _ in 0..(max_in_flight * 4).max(20_000) {
            load.send_request();
        }
        load
    }

    /// Sends one request and, where more than the maximum are in flight, reports the outcomes of the oldest.
    fn send_request(&mut self) {
        self.now += self.interval;
        let id = self.next_id;
        self.next_id += 1;
        let request = Request {
            id,
            class: 0,
            idempotency: None,
            tenant: 0,
            key: None,
            timeout: 1_500_000,
            expected_work: None,
            is_retry: false,
            is_proxied: true,
            identity: None,
        };
        self.balancer.handle(self.now, Event::Request(request), &mut self.actions);
        self.apply_actions();
        while self.in_flight.len() > self.max_in_flight {
            let Some((request, backend, sent_at)) = self.in_flight.pop_front() else { return };
            let result = AttemptResult {
                request,
                backend,
                attempt: 0,
                outcome: Outcome::Ok,
                has_final_response: true,
                elapsed: self.now - sent_at,
                load_report: &[],
            };
            self.balancer.handle(self.now, Event::AttemptFinished(result), &mut self.actions);
            self.apply_actions();
        }
    }

    fn apply_actions(&mut self) {
        for action in self.actions.drain(..) {
            if let Action::Send { request, backend, .. } = action {
                self.sent += 1;
                self.in_flight.push_back((request, backend, self.now));
            }
        }
    }
}

/// Cost of a request and its outcome, nanoseconds: the lowest mean of five rounds.
fn measure_cost(backends: u32) -> f64 {
    const ROUNDS: usize = 5;
    const REQUESTS: u32 = 20_000;
    let mut load = Load::new(backends);
    let rounds = (0..ROUNDS).map(|_| {
        let started_at = Instant::now();
        (0..REQUESTS).for_each(|_| load.send_request());
        started_at.elapsed().as_nanos() as f64 / f64::from(REQUESTS)
    });
    rounds.fold(f64::MAX, f64::min)
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    let mut group = criterion.benchmark_group("request_with_outcome");
    for backends in FLEET_SIZES {
        let mut load = Load::new(backends);
        group.bench_function(BenchmarkId::from_parameter(backends), |b| {
            b.iter(|| black_box(&mut load).send_request());
        });
        assert!(
            load.sent * 2 > u64::from(load.next_id),
            "the balancer sends the requests instead of rejecting them"
        );
    }
    group.finish();
    criterion.final_summary();
    let costs: Vec<f64> = FLEET_SIZES.iter().map(|&backends| measure_cost(backends)).collect();
    for (backends, cost) in FLEET_SIZES.iter().zip(&costs) {
        println!("{backends} backends: {cost:.0} ns per request");
    }
    println!("exponent from 100 to 10,000 backends: {:.2}", (costs[3] / costs[1]).log10() / 2.0);
}
