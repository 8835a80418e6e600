//! A whole fleet, in virtual time, before a discovery service that was down: when is the first call of each proxy answered?
//! The decisions and the turns are the proxy's own; the service has one queue.

use balancer::api::{Action, Event, MembershipUpdate, Micros, Settings};
use balancer::balancer::Balancer;
use http_proxy::poll_schedule::{Failure, OPENING_LIMIT, PollSchedule};
use settings::parse_settings;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// Within this time after discovery could be reached a change counts as told.
const TOLD: Micros = 6 * SECOND;
/// The service fails calls that waited longer.
const PATIENCE: Micros = 2 * SECOND;
/// When the service goes down, on the clock of all.
const DOWN: Micros = 1_796_148_000_123_456;

/// What calls meet while the service is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outage {
    /// A refusal at once.
    Refuses,
    /// Nothing, not even after the return.
    Silent,
    /// Nothing, and a reset at the return.
    ResetsAtReturn,
}

/// The service and what it has to do.
struct Service {
    outage: Outage,
    back: Micros,
    /// What a call costs it, at the least and at the most.
    cost: (Micros, Micros),
    /// Whether calls that it fails cost as much.
    pays_for_failures: bool,
    busy_until: Micros,
    chance: fastrand::Rng,
}

impl Service {
    /// How a call that begins now ends, and when.
    fn call(&mut self, now: Micros) -> (Micros, Result<(), Failure>) {
        if now < self.back {
            let limit = now + OPENING_LIMIT;
            return match self.outage {
                Outage::Refuses => (now + MS, Err(Failure::Refused(MS))),
                Outage::ResetsAtReturn if self.back < limit => {
                    (self.back, Err(Failure::Refused(self.back - now)))
                }
                Outage::Silent | Outage::ResetsAtReturn => (limit, Err(Failure::Unreached)),
            };
        }
        let begins = self.busy_until.max(now);
        let done = begins + self.chance.u64(self.cost.0..=self.cost.1);
        let fails = begins - now > PATIENCE;
        if !fails || self.pays_for_failures {
            self.busy_until = done;
        }
        if fails { (now + PATIENCE, Err(Failure::Refused(PATIENCE))) } else { (done, Ok(())) }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Failed(Failure4),
    Timer(u32),
    Begins,
    Answered,
}

/// `Failure` with an order, for the queue of events.
type Failure4 = (u8, Micros);

fn ordered(failure: Failure) -> Failure4 {
    match failure {
        Failure::Silent => (0, 0),
        Failure::Refused(after) => (1, after),
        Failure::Unreached => (2, 0),
    }
}

fn plain((kind, after): Failure4) -> Failure {
    match kind {
        0 => Failure::Silent,
        1 => Failure::Refused(after),
        _ => Failure::Unreached,
    }
}

struct Proxy {
    balancer: Balancer,
    turns: PollSchedule,
    told: Option<Micros>,
    calls: u32,
}

fn settings(me: u32, balancers: u32) -> Settings {
    let text = format!(
        r#"{{"me": {me}, "balancers": {balancers}, "zone": 0, "failureDomains": ["a"], "kinds": ["m"],
            "membershipMode": "on_request",
            "classes": [{{"name": "read", "aimUs": 100000, "deadlineUs": 1000000, "worth": 1.0, "lateWorth": 0.5,
                          "effect": "retryable", "group": "cell", "keyTtlUs": 3000000}}],
            "permissions": {{"maxAttempts": 4, "secondCopies": true, "cancel": true, "probes": true,
                             "connIdleUs": 15000000, "multiplex": 1, "retryAfter": true, "maxRetryAfterUs": 2000000}},
            "safety": {{"askWithinUs": 10000000, "coldFrom": 0.3, "coldUs": 8000000, "fallMultiple": 3.0, "fallUs": 2000000}}}}"#
    );
    parse_settings(text.as_bytes()).expect("settings")
}

/// A fleet of which the proxies `here` lose their watches at one moment, and the service returns after `outage`.
struct Trial {
    balancers: u32,
    here: Vec<u32>,
    kind: Outage,
    lasts: Micros,
    cost: (Micros, Micros),
    pays_for_failures: bool,
    /// A planted fault: each proxy waits so much longer before it asks again.
    late_by: Micros,
    seed: u64,
}

impl Trial {
    /// How long after the return each proxy had its first answer, in order of the answers.
    fn run(&self) -> Vec<Micros> {
        let mut chance = fastrand::Rng::with_seed(self.seed);
        let back = DOWN + self.lasts;
        let mut service = Service {
            outage: self.kind,
            back,
            cost: self.cost,
            pays_for_failures: self.pays_for_failures,
            busy_until: 0,
            chance: chance.fork(),
        };
        let mut proxies: Vec<_> = self
            .here
            .iter()
            .map(|&me| {
                let settings = settings(me, self.balancers);
                let mut turns = PollSchedule::of(me, self.balancers, settings.safety.max_poll_interval);
                // The watch has been up for a while.
                turns.begun(DOWN - chance.u64(0..20 * SECOND));
                turns.answered();
                let balancer = Balancer::new(settings, chance.u64(..), DOWN - SECOND).expect("settings");
                Proxy { balancer, turns, told: None, calls: 0 }
            })
            .collect();
        let mut due: BinaryHeap<_> = (0..proxies.len())
            .map(|which| Reverse((DOWN, which, Step::Failed(ordered(Failure::Unreached)))))
            .collect();
        while let Some(Reverse((now, which, step))) = due.pop() {
            assert!(now < back + 3_600 * SECOND, "an hour, and proxy {which} has heard nothing");
            let proxy = &mut proxies[which];
            let mut actions = Vec::new();
            match step {
                Step::Failed(failure) => {
                    proxy.turns.failed(plain(failure));
                    proxy.balancer.handle(now, Event::Membership(MembershipUpdate::Failed), &mut actions);
                }
                Step::Timer(token) => proxy.balancer.handle(now, Event::TimerExpired(token), &mut actions),
                Step::Begins => {
                    proxy.turns.begun(now);
                    proxy.calls += 1;
                    let (at, end) = service.call(now);
                    let step = end.map_or_else(|failure| Step::Failed(ordered(failure)), |()| Step::Answered);
                    due.push(Reverse((at, which, step)));
                }
                Step::Answered => proxy.told = Some(now - back),
            }
            for action in actions {
                match action {
                    Action::SetTimer { delay: after, token } => {
                        due.push(Reverse((now + after + self.late_by, which, Step::Timer(token))));
                    }
                    Action::Subscribe => {
                        due.push(Reverse((proxy.turns.at(now, true), which, Step::Begins)));
                    }
                    other => panic!("a fleet without requests does nothing else: {other:?}"),
                }
            }
        }
        let mut told: Vec<_> = proxies.iter().map(|proxy| proxy.told.expect("an answer")).collect();
        told.sort_unstable();
        told
    }
}

/// Moments of return over five rounds, at no multiple of anything.
fn moments() -> impl Iterator<Item = Micros> {
    (0..113).map(|step| step * 223 * MS + 7)
}

const OUTAGES: [Outage; 3] = [Outage::Refuses, Outage::Silent, Outage::ResetsAtReturn];

/// The latest first answer of a fleet over all kinds of outage and moments of return.
fn latest(balancers: u32, here: &[u32], cost: (Micros, Micros)) -> (Micros, String) {
    let worst = OUTAGES
        .into_iter()
        .flat_map(|kind| moments().flat_map(move |lasts| [true, false].map(|pays| (kind, lasts, pays))))
        .map(|(kind, lasts, pays_for_failures)| {
            let trial = Trial {
                balancers,
                here: here.to_vec(),
                kind,
                lasts,
                cost,
                pays_for_failures,
                late_by: 0,
                seed: lasts,
            };
            let told = *trial.run().last().expect("a proxy");
            (told, format!("{kind:?}, {lasts} us, failures cost: {pays_for_failures}"))
        });
    worst.max().expect("trials")
}

fn all(balancers: u32) -> Vec<u32> {
    (0..balancers).collect()
}

#[test]
fn each_proxy_of_a_fleet_that_the_service_can_carry_is_told_in_time() {
    // The calls of all within 6 s: at 160 ms 36 proxies, at 100 ms 57, at 60 ms 94; 300 at 19 ms.
    for (balancers, cost) in [
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
        let (told, when) = latest(balancers, &all(balancers), (cost * MS, cost * MS));
        assert!(told < TOLD, "{balancers} at {cost} ms: {told} us; {when}");
        println!("{balancers} at {cost} ms: {told} us at the latest; {when}");
    }
    for balancers in [1, 5, 26] {
        let (told, when) = latest(balancers, &all(balancers), (60 * MS, 160 * MS));
        assert!(told < TOLD, "{balancers} at 60 to 160 ms: {told} us; {when}");
    }
}

/// Whichever it is: the others have their watches, or are gone.
#[test]
fn each_proxy_of_a_large_fleet_is_told_in_time_where_the_service_has_time_for_it() {
    for (balancers, step) in [(5, 1), (26, 1), (100, 1), (300, 7)] {
        for me in (0..balancers).step_by(step) {
            for kind in OUTAGES {
                for lasts in moments() {
                    let cost = (60 * MS, 160 * MS);
                    let trial = Trial {
                        balancers,
                        here: vec![me],
                        kind,
                        lasts,
                        cost,
                        pays_for_failures: true,
                        late_by: 0,
                        seed: lasts,
                    };
                    let told = trial.run()[0];
                    assert!(told < TOLD, "{me} of {balancers}: {told} us; {kind:?}, {lasts} us");
                }
            }
        }
    }
}

/// Beyond that size not all can be told in time, and calls that fail must not keep the service in debt for ever.
#[test]
fn a_fleet_that_the_service_cannot_carry_hears_all_the_same() {
    for (balancers, cost) in [
        (100, (60, 60)),
        (100, (60, 100)),
        (100, (160, 160)),
        (300, (60, 60)),
        (300, (60, 160)),
        (300, (160, 160)),
    ] {
        for pays_for_failures in [true, false] {
            let cost = (cost.0 * MS, cost.1 * MS);
            let kind = Outage::Refuses;
            let lasts = 8 * SECOND;
            let here = all(balancers);
            let trial = Trial { balancers, here, kind, lasts, cost, pays_for_failures, late_by: 0, seed: 1 };
            let told = trial.run();
            let in_time = told.iter().filter(|&&told| told < TOLD).count() as Micros;
            assert!(in_time >= PATIENCE / cost.1, "{balancers} at {cost:?}: {in_time} in time");
            let work = Micros::from(balancers) * cost.1;
            let last = told.last().expect("a proxy");
            assert!(*last < 10 * work, "{balancers} at {cost:?}, {pays_for_failures}: {last} us");
            println!(
                "{balancers} at {cost:?}, failures cost: {pays_for_failures}: {in_time} in time, the last after {last} us"
            );
        }
    }
}

/// What goes beyond the 6 s is found.
#[test]
fn a_longer_backoff_is_found_out() {
    let late = |late_by| {
        OUTAGES.into_iter().flat_map(|kind| moments().map(move |lasts| (kind, lasts))).any(|(kind, lasts)| {
            let here = vec![95];
            let cost = (60 * MS, 60 * MS);
            let trial = Trial {
                balancers: 100,
                here,
                kind,
                lasts,
                cost,
                pays_for_failures: true,
                late_by,
                seed: lasts,
            };
            trial.run()[0] >= TOLD
        })
    };
    assert!(!late(0) && late(2 * SECOND));
}
