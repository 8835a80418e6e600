//! What changes when, over all steps of a run: drawn from the seed alone, before anything is started. Pure.

use super::population::Population;
use super::script::{ScaleScript, Step};
use control_plane::record::{ServiceId, State};

/// Seconds of a day, over which a script's rates are meant.
const DAY_S: f64 = 86_400.0;
/// A restarted backend is leaving so long, and has left so long, seconds: drawn between the two.
const LEAVING_S: (f64, f64) = (1.0, 3.0);
const LEFT_S: (f64, f64) = (0.5, 3.0);

/// One change that is to be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlannedChange {
    /// A backend's state changes.
    Backend {
        /// Which.
        number: usize,
        /// To what.
        state: State,
    },
    /// A service's configuration changes.
    Configuration {
        /// Whose.
        service: ServiceId,
    },
}

/// All changes, by time: microseconds since the run's first step, without the pauses between steps.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ScalePlan {
    /// When and what.
    pub changes: Vec<(u64, PlannedChange)>,
}

impl ScalePlan {
    /// Draws it. Events come one by one at random (Poisson); what follows of one may fall into a later step, and what
    /// would fall behind the last one does not come.
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
                    let left = at + between(&mut rng, LEAVING_S);
                    busy_until[number] = left + between(&mut rng, LEFT_S);
                    plan.add(at, PlannedChange::Backend { number, state: State::Draining });
                    plan.add(left, PlannedChange::Backend { number, state: State::Gone });
                    plan.add(busy_until[number], PlannedChange::Backend { number, state: State::Active });
                }
            }
            for (at, number) in
                events(&mut rng, begins, ends, step, script.changes.failures_a_day, &population.backends)
            {
                if busy_until[number] <= at {
                    busy_until[number] = at + between(&mut rng, LEFT_S);
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

/// When something happens to which of many, by a rate of a day.
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
