//! Simulates the recovery of a discovery service in virtual time, to find when each proxy of a fleet gets its
//! first response. Uses the balancer and the call schedule of the proxy. The service handles calls one after
//! another from a single queue.

use balancer::api::{Action, Event, MembershipUpdate, Micros, Settings};
use balancer::balancer::Balancer;
use http_proxy::poll_schedule::{CallFailure, PollSchedule, START_TIMEOUT};
use settings::parse_settings;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// The time after which a change has to be known, counted from the recovery of discovery, in microseconds.
const NOTIFICATION_LIMIT: Micros = 6 * SECOND;
/// The service fails calls that were queued for longer than this, in microseconds.
const QUEUE_TIMEOUT: Micros = 2 * SECOND;
/// The start of the outage on the clock that all proxies share, in microseconds.
const OUTAGE_BEGAN: Micros = 1_796_148_000_123_456;

/// How calls fail during the outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outage {
    /// The service refuses them immediately.
    Refuses,
    /// They get no response, even after the recovery.
    Unresponsive,
    /// They get no response, and are reset at the recovery.
    ResetsAtRecovery,
}

/// The time that the service spends on a call, in microseconds.
#[derive(Clone, Copy, Debug)]
struct CallCost {
    min: Micros,
    max: Micros,
}

impl CallCost {
    const fn from_ms(min_ms: Micros, max_ms: Micros) -> Self {
        Self { min: min_ms * MS, max: max_ms * MS }
    }
}

/// The emulated service and its queue.
struct Service {
    outage: Outage,
    recovered_at: Micros,
    cost: CallCost,
    /// Whether failed calls cost the service as much time as others.
    failures_cost_time: bool,
    busy_until: Micros,
    random: fastrand::Rng,
}

impl Service {
    /// The time at which a call that starts at `now` ends, and its result.
    fn call(&mut self, now: Micros) -> (Micros, Result<(), CallFailure>) {
        if now < self.recovered_at {
            let limit = now + START_TIMEOUT;
            return match self.outage {
                Outage::Refuses => (now + MS, Err(CallFailure::Rejected(MS))),
                Outage::ResetsAtRecovery if self.recovered_at < limit => {
                    (self.recovered_at, Err(CallFailure::Rejected(self.recovered_at - now)))
                }
                Outage::Unresponsive | Outage::ResetsAtRecovery => (limit, Err(CallFailure::Unreachable)),
            };
        }
        let begins = self.busy_until.max(now);
        let done = begins + self.random.u64(self.cost.min..=self.cost.max);
        let fails = begins - now > QUEUE_TIMEOUT;
        if !fails || self.failures_cost_time {
            self.busy_until = done;
        }
        if fails { (now + QUEUE_TIMEOUT, Err(CallFailure::Rejected(QUEUE_TIMEOUT))) } else { (done, Ok(())) }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Failed(CallFailure),
    Timer(u32),
    CallStarts,
    CallSucceeded,
}

struct Proxy {
    balancer: Balancer,
    schedule: PollSchedule,
    /// The time after the recovery, in microseconds.
    first_response: Option<Micros>,
    calls: u32,
}

fn settings(index: u32, fleet_size: u32) -> Settings {
    let text = format!(
        r#"{{"me": {index}, "balancers": {fleet_size}, "zone": 0, "failureDomains": ["a"], "kinds": ["m"],
            "membershipMode": "on_request",
            "classes": [{{"name": "read", "aimUs": 100000, "deadlineUs": 1000000, "worth": 1.0, "lateWorth": 0.5,
                          "effect": "retryable", "group": "cell", "keyTtlUs": 3000000}}],
            "permissions": {{"maxAttempts": 4, "secondCopies": true, "cancel": true, "probes": true,
                             "connIdleUs": 15000000, "multiplex": 1, "retryAfter": true, "maxRetryAfterUs": 2000000}},
            "safety": {{"askWithinUs": 10000000, "coldFrom": 0.3, "coldUs": 8000000, "fallMultiple": 3.0, "fallUs": 2000000}}}}"#
    );
    parse_settings(text.as_bytes()).expect("settings")
}

/// A simulated outage of `duration`, at the start of which the proxies `indices` of a fleet all lose their
/// watches.
struct Trial {
    fleet_size: u32,
    indices: Vec<u32>,
    outage: Outage,
    /// In microseconds.
    duration: Micros,
    cost: CallCost,
    failures_cost_time: bool,
    /// An injected fault: each proxy delays its calls by this time, in microseconds.
    extra_delay: Micros,
    seed: u64,
}

impl Trial {
    /// The times after the recovery at which the proxies got their first response, in ascending order and
    /// microseconds.
    fn run(&self) -> Vec<Micros> {
        let mut random = fastrand::Rng::with_seed(self.seed);
        let recovered_at = OUTAGE_BEGAN + self.duration;
        let mut service = Service {
            outage: self.outage,
            recovered_at,
            cost: self.cost,
            failures_cost_time: self.failures_cost_time,
            busy_until: 0,
            random: random.fork(),
        };
        let mut proxies: Vec<_> = self
            .indices
            .iter()
            .map(|&index| {
                let settings = settings(index, self.fleet_size);
                let mut schedule =
                    PollSchedule::new(index, self.fleet_size, settings.safety.max_poll_interval);
                // The watch has been running for a while.
                schedule.call_started(OUTAGE_BEGAN - random.u64(0..20 * SECOND));
                schedule.call_succeeded();
                let balancer =
                    Balancer::new(settings, random.u64(..), OUTAGE_BEGAN - SECOND).expect("settings");
                Proxy { balancer, schedule, first_response: None, calls: 0 }
            })
            .collect();
        let mut due: BinaryHeap<_> = (0..proxies.len())
            .map(|proxy_index| Reverse((OUTAGE_BEGAN, proxy_index, Step::Failed(CallFailure::Unreachable))))
            .collect();
        while let Some(Reverse((now, proxy_index, step))) = due.pop() {
            assert!(
                now < recovered_at + 3_600 * SECOND,
                "proxy {proxy_index} got no response within an hour"
            );
            let proxy = &mut proxies[proxy_index];
            let mut actions = Vec::new();
            match step {
                Step::Failed(failure) => {
                    proxy.schedule.call_failed(failure);
                    proxy.balancer.handle(now, Event::Membership(MembershipUpdate::Failed), &mut actions);
                }
                Step::Timer(token) => proxy.balancer.handle(now, Event::TimerExpired(token), &mut actions),
                Step::CallStarts => {
                    proxy.schedule.call_started(now);
                    proxy.calls += 1;
                    let (at, result) = service.call(now);
                    let step = result.map_or_else(Step::Failed, |()| Step::CallSucceeded);
                    due.push(Reverse((at, proxy_index, step)));
                }
                Step::CallSucceeded => proxy.first_response = Some(now - recovered_at),
            }
            for action in actions {
                match action {
                    Action::SetTimer { delay: after, token } => {
                        due.push(Reverse((now + after + self.extra_delay, proxy_index, Step::Timer(token))));
                    }
                    Action::Subscribe => {
                        due.push(Reverse((
                            proxy.schedule.next_call_at(now, true),
                            proxy_index,
                            Step::CallStarts,
                        )));
                    }
                    other => panic!("unexpected action of a fleet without requests: {other:?}"),
                }
            }
        }
        let mut responses: Vec<_> =
            proxies.iter().map(|proxy| proxy.first_response.expect("a response")).collect();
        responses.sort_unstable();
        responses
    }
}

/// Durations of outages, up to five rounds, in microseconds. The step is not a divisor or multiple of any
/// other interval.
fn outage_durations() -> impl Iterator<Item = Micros> {
    (0..113).map(|step| step * 223 * MS + 7)
}

const OUTAGES: [Outage; 3] = [Outage::Refuses, Outage::Unresponsive, Outage::ResetsAtRecovery];

/// The latest first response of a fleet.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Latest {
    /// The time after the recovery, in microseconds.
    response: Micros,
    /// The kind of the outage and its parameters.
    scenario: String,
}

/// The latest first response of a fleet over all kinds and durations of outages, and the outage in which it
/// occurred.
fn latest_response(fleet_size: u32, indices: &[u32], cost: CallCost) -> Latest {
    let worst = OUTAGES
        .into_iter()
        .flat_map(|outage| {
            outage_durations().flat_map(move |duration| {
                [true, false].map(|failures_cost| (outage, duration, failures_cost))
            })
        })
        .map(|(outage, duration, failures_cost_time)| {
            let trial = Trial {
                fleet_size,
                indices: indices.to_vec(),
                outage,
                duration,
                cost,
                failures_cost_time,
                extra_delay: 0,
                seed: duration,
            };
            let response = *trial.run().last().expect("a proxy");
            let scenario = format!("{outage:?}, {duration} us, failures cost: {failures_cost_time}");
            Latest { response, scenario }
        });
    worst.max().expect("trials")
}

fn all(fleet_size: u32) -> Vec<u32> {
    (0..fleet_size).collect()
}

#[test]
fn every_proxy_is_notified_in_time_where_the_service_can_handle_the_fleet() {
    // The calls of all proxies fit into 6 s: 36 at 160 ms, 57 at 100 ms, 94 at 60 ms, 300 at 19 ms.
    for (fleet_size, cost) in [
        (1, 160),
        (5, 160),
        (6, 160),
        (7, 160),
        (26, 160),
        (36, 160),
        (57, 100),
        (94, 60),
        (100, 55),
        (300, 19),
    ] {
        let Latest { response, scenario } =
            latest_response(fleet_size, &all(fleet_size), CallCost::from_ms(cost, cost));
        assert!(response < NOTIFICATION_LIMIT, "{fleet_size} at {cost} ms: {response} us; {scenario}");
        println!("{fleet_size} at {cost} ms: {response} us at the latest; {scenario}");
    }
    for fleet_size in [1, 5, 26] {
        let Latest { response, scenario } =
            latest_response(fleet_size, &all(fleet_size), CallCost::from_ms(60, 160));
        assert!(response < NOTIFICATION_LIMIT, "{fleet_size} at 60 to 160 ms: {response} us; {scenario}");
    }
}

/// For each index of the proxy that lost its watch.
#[test]
fn a_single_proxy_of_a_large_fleet_is_notified_in_time() {
    for (fleet_size, step) in [(5, 1), (26, 1), (100, 1), (300, 7)] {
        for index in (0..fleet_size).step_by(step) {
            for outage in OUTAGES {
                for duration in outage_durations() {
                    let cost = CallCost::from_ms(60, 160);
                    let trial = Trial {
                        fleet_size,
                        indices: vec![index],
                        outage,
                        duration,
                        cost,
                        failures_cost_time: true,
                        extra_delay: 0,
                        seed: duration,
                    };
                    let response = trial.run()[0];
                    assert!(
                        response < NOTIFICATION_LIMIT,
                        "{index} of {fleet_size}: {response} us; {outage:?}, {duration} us"
                    );
                }
            }
        }
    }
}

/// The service can't notify all proxies of such a fleet in time, but failing calls must not overload it
/// forever.
#[test]
fn every_proxy_is_notified_eventually_where_the_fleet_overloads_the_service() {
    for (fleet_size, (min_ms, max_ms)) in [
        (100, (60, 60)),
        (100, (60, 100)),
        (100, (160, 160)),
        (300, (60, 60)),
        (300, (60, 160)),
        (300, (160, 160)),
    ] {
        for failures_cost_time in [true, false] {
            let cost = CallCost::from_ms(min_ms, max_ms);
            let outage = Outage::Refuses;
            let duration = 8 * SECOND;
            let indices = all(fleet_size);
            let trial = Trial {
                fleet_size,
                indices,
                outage,
                duration,
                cost,
                failures_cost_time,
                extra_delay: 0,
                seed: 1,
            };
            let responses = trial.run();
            let in_time =
                responses.iter().filter(|&&response| response < NOTIFICATION_LIMIT).count() as Micros;
            assert!(in_time >= QUEUE_TIMEOUT / cost.max, "{fleet_size} at {cost:?}: {in_time} in time");
            let total_cost = Micros::from(fleet_size) * cost.max;
            let last = responses.last().expect("a proxy");
            assert!(*last < 10 * total_cost, "{fleet_size} at {cost:?}, {failures_cost_time}: {last} us");
            println!(
                "{fleet_size} at {cost:?}, failures cost: {failures_cost_time}: {in_time} in time, the last after {last} us"
            );
        }
    }
}

/// Checks that the simulation can fail.
#[test]
fn detects_a_delay_beyond_the_limit() {
    let is_late = |extra_delay| {
        OUTAGES.into_iter().flat_map(|outage| outage_durations().map(move |duration| (outage, duration))).any(
            |(outage, duration)| {
                let indices = vec![95];
                let cost = CallCost::from_ms(60, 60);
                let trial = Trial {
                    fleet_size: 100,
                    indices,
                    outage,
                    duration,
                    cost,
                    failures_cost_time: true,
                    extra_delay,
                    seed: duration,
                };
                trial.run()[0] >= NOTIFICATION_LIMIT
            },
        )
    };
    assert!(!is_late(0) && is_late(2 * SECOND));
}
