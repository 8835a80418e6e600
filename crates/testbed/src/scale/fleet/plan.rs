//! The changes of a run with their times, drawn from the script and its seed before any process starts. Does
//! no I/O.

use super::population::Population;
use super::script::{ScaleScript, Step};
use control_plane::record::{RecordState, ServiceId};

/// Seconds per day; a script's rates are per day.
const DAY_S: f64 = 86_400.0;
/// Bounds of a restarted backend's draining time, seconds.
const DRAINING_S: (f64, f64) = (1.0, 3.0);
/// Bounds of the time from a backend's removal until it is active again, seconds.
const REMOVED_S: (f64, f64) = (0.5, 3.0);

/// One change to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlannedChange {
    /// A backend's state changes.
    Backend {
        /// The backend's number.
        number: usize,
        /// The new state.
        state: RecordState,
    },
    /// A service's configuration changes.
    Configuration {
        /// The service whose configuration is rewritten.
        service: ServiceId,
    },
}

/// All changes of a run. Times are in microseconds since the start of the first step, without the pauses
/// between steps.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ScalePlan {
    /// Time and change, ascending by time.
    pub changes: Vec<(u64, PlannedChange)>,
}

impl ScalePlan {
    /// Draws a plan. Events are a Poisson process. The following states of a backend may fall into a later
    /// step; they are dropped after the last step.
    #[must_use]
    pub fn draw(script: &ScaleScript, population: &Population) -> Self {
        let mut rng = fastrand::Rng::with_seed(script.seed ^ 0x0070_6c61_6e00);
        let mut busy_until = vec![0.0; population.backends.len()];
        let mut plan = Self::default();
        let mut start_s = 0.0;
        for step in &script.steps {
            let end_s = start_s + step.seconds;
            for (at, number) in
                events(&mut rng, start_s, end_s, step, script.changes.restarts_per_day, &population.backends)
            {
                if busy_until[number] <= at {
                    let gone_at = at + uniform(&mut rng, DRAINING_S);
                    busy_until[number] = gone_at + uniform(&mut rng, REMOVED_S);
                    plan.add(at, PlannedChange::Backend { number, state: RecordState::Draining });
                    plan.add(gone_at, PlannedChange::Backend { number, state: RecordState::Gone });
                    plan.add(
                        busy_until[number],
                        PlannedChange::Backend { number, state: RecordState::Active },
                    );
                }
            }
            for (at, number) in
                events(&mut rng, start_s, end_s, step, script.changes.failures_per_day, &population.backends)
            {
                if busy_until[number] <= at {
                    busy_until[number] = at + uniform(&mut rng, REMOVED_S);
                    plan.add(at, PlannedChange::Backend { number, state: RecordState::Gone });
                    plan.add(
                        busy_until[number],
                        PlannedChange::Backend { number, state: RecordState::Active },
                    );
                }
            }
            let services = vec![(); population.services()];
            for (at, number) in
                events(&mut rng, start_s, end_s, step, script.changes.configurations_per_day, &services)
            {
                plan.add(at, PlannedChange::Configuration { service: number as ServiceId });
            }
            start_s = end_s;
        }
        let end = (start_s * 1e6) as u64;
        plan.changes.retain(|&(at, _)| at < end);
        plan.changes.sort_by_key(|&(at, _)| at);
        plan
    }

    fn add(&mut self, at_s: f64, change: PlannedChange) {
        self.changes.push(((at_s * 1e6) as u64, change));
    }
}

fn uniform(rng: &mut fastrand::Rng, (min, max): (f64, f64)) -> f64 {
    min + rng.f64() * (max - min)
}

/// Draws the times (seconds) of random events with this rate per day, and an index into `targets` for each.
fn events<T>(
    rng: &mut fastrand::Rng,
    start_s: f64,
    end_s: f64,
    step: &Step,
    rate_per_day: f64,
    targets: &[T],
) -> Vec<(f64, usize)> {
    let per_s = rate_per_day * step.rate_factor / DAY_S;
    let mut all = Vec::new();
    if per_s <= 0.0 || targets.is_empty() {
        return all;
    }
    let mut at = start_s;
    loop {
        at += -rng.f64().max(1e-12).ln() / per_s;
        if at >= end_s {
            return all;
        }
        all.push((at, rng.usize(..targets.len())));
    }
}
