//! The changes of a run with their times, drawn from the seed alone before any process starts. Does no I/O.

use super::population::Population;
use super::script::{ScaleScript, Step};
use control_plane::record::{ServiceId, State};

/// Seconds of a day: the unit of a script's rates.
const DAY_S: f64 = 86_400.0;
/// Bounds between which the draining time, and the time away, of a restarted backend are drawn, seconds.
const DRAINING_S: (f64, f64) = (1.0, 3.0);
const AWAY_S: (f64, f64) = (0.5, 3.0);

/// One change to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlannedChange {
    /// A backend's state changes.
    Backend {
        /// Its number.
        number: usize,
        /// Its new state.
        state: State,
    },
    /// A service's configuration changes.
    Configuration {
        /// The service.
        service: ServiceId,
    },
}

/// All changes, by time: microseconds since the run's first step, without the pauses between steps.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ScalePlan {
    /// Time and change, ascending by time.
    pub changes: Vec<(u64, PlannedChange)>,
}

impl ScalePlan {
    /// Draws a plan. Events are a Poisson process; a later state of a backend may fall into a later step, and is dropped
    /// behind the last one.
    #[must_use]
    pub fn draw(script: &ScaleScript, population: &Population) -> Self {
        let mut rng = fastrand::Rng::with_seed(script.seed ^ 0x0070_6c61_6e00);
        let mut busy_until = vec![0.0; population.backends.len()];
        let mut plan = Self::default();
        let mut begins = 0.0;
        for step in &script.step {
            let ends = begins + step.seconds;
            for (at, number) in
                events(&mut rng, begins, ends, step, script.changes.restarts_a_day, &population.backends)
            {
                if busy_until[number] <= at {
                    let left = at + between(&mut rng, DRAINING_S);
                    busy_until[number] = left + between(&mut rng, AWAY_S);
                    plan.add(at, PlannedChange::Backend { number, state: State::Draining });
                    plan.add(left, PlannedChange::Backend { number, state: State::Gone });
                    plan.add(busy_until[number], PlannedChange::Backend { number, state: State::Active });
                }
            }
            for (at, number) in
                events(&mut rng, begins, ends, step, script.changes.failures_a_day, &population.backends)
            {
                if busy_until[number] <= at {
                    busy_until[number] = at + between(&mut rng, AWAY_S);
                    plan.add(at, PlannedChange::Backend { number, state: State::Gone });
                    plan.add(busy_until[number], PlannedChange::Backend { number, state: State::Active });
                }
            }
            let services = vec![(); population.services()];
            for (at, number) in
                events(&mut rng, begins, ends, step, script.changes.configurations_a_day, &services)
            {
                plan.add(at, PlannedChange::Configuration { service: number as ServiceId });
            }
            begins = ends;
        }
        let end = (begins * 1e6) as u64;
        plan.changes.retain(|&(at, _)| at < end);
        plan.changes.sort_by_key(|&(at, _)| at);
        plan
    }

    fn add(&mut self, at_s: f64, change: PlannedChange) {
        self.changes.push(((at_s * 1e6) as u64, change));
    }
}

fn between(rng: &mut fastrand::Rng, (least, most): (f64, f64)) -> f64 {
    least + rng.f64() * (most - least)
}

/// Times (seconds) and indices of random events, from a rate per day.
fn events<T>(
    rng: &mut fastrand::Rng,
    begins: f64,
    ends: f64,
    step: &Step,
    a_day: f64,
    of: &[T],
) -> Vec<(f64, usize)> {
    let per_s = a_day * step.times / DAY_S;
    let mut all = Vec::new();
    if per_s <= 0.0 || of.is_empty() {
        return all;
    }
    let mut at = begins;
    loop {
        at += -rng.f64().max(1e-12).ln() / per_s;
        if at >= ends {
            return all;
        }
        all.push((at, rng.usize(..of.len())));
    }
}
