//! Time to readiness of restarted proxy processes, measured from outside by polling `/up`. Pure.

use crate::invariant_checker::Observation;
use balancer::api::Micros;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

/// Time within which a restarted process should be ready, microseconds.
pub const READY_TIMEOUT: Micros = 10_000_000;

/// Time to readiness of restarted processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Restarts {
    /// Restarted processes, without those that were killed again within [`READY_TIMEOUT`].
    pub restarted: u64,
    /// Processes that were ready within [`READY_TIMEOUT`] of their start.
    pub in_time: u64,
    /// Median time from the start until `/up` answered 200, seconds, over the processes that became ready.
    pub median_s: f64,
    /// The longest of these times, seconds.
    pub worst_s: f64,
}

impl Restarts {
    /// Whether at least 90 % of the restarted processes were ready in time.
    #[must_use]
    pub fn is_sufficient(&self) -> bool {
        self.in_time * 10 >= self.restarted * 9
    }
}

/// Measures the time to readiness; `None` if no process was restarted. The observations are ordered by time.
#[must_use]
pub fn measure(observations: &[(Micros, Observation)]) -> Option<Restarts> {
    let mut starting: FxHashMap<usize, Micros> = FxHashMap::default();
    let (mut restarts, mut times) = (Restarts::default(), Vec::new());
    for &(at, observation) in observations {
        match observation {
            Observation::ProxyRestarted { proxy } => {
                restarts.restarted += 1;
                starting.insert(proxy, at);
            }
            Observation::ProxyReady { proxy } => {
                times.extend(starting.remove(&proxy).map(|since| at - since));
            }
            Observation::ProxyKilled { proxy } => {
                let killed_while_starting =
                    starting.remove(&proxy).is_some_and(|since| at - since < READY_TIMEOUT);
                restarts.restarted -= u64::from(killed_while_starting);
            }
            _ => {}
        }
    }
    times.sort_unstable();
    restarts.in_time = times.iter().filter(|&&time| time <= READY_TIMEOUT).count() as u64;
    let seconds = |index: usize| times.get(index).map_or(0.0, |&time| time as f64 / 1e6);
    (restarts.median_s, restarts.worst_s) =
        (seconds(times.len() / 2), seconds(times.len().saturating_sub(1)));
    (restarts.restarted > 0).then_some(restarts)
}
