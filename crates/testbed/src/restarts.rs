//! Readiness of restarted proxy processes, measured from outside by their `/up`. Pure.

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
    /// Whether at least 90 % were ready in time.
    #[must_use]
    pub fn is_soon(&self) -> bool {
        self.in_time * 10 >= self.restarted * 9
    }
}

/// Measures readiness; `None` if no process was restarted. `seen` is in the order of time.
#[must_use]
pub fn measure(seen: &[(Micros, Observation)]) -> Option<Restarts> {
    let mut starting: FxHashMap<usize, Micros> = FxHashMap::default();
    let (mut out, mut times) = (Restarts::default(), Vec::new());
    for &(at, what) in seen {
        match what {
            Observation::ProxyRestarted { proxy } => {
                out.restarted += 1;
                starting.insert(proxy, at);
            }
            Observation::ProxyReady { proxy } => {
                times.extend(starting.remove(&proxy).map(|since| at - since));
            }
            Observation::ProxyKilled { proxy } => {
                let gone = starting.remove(&proxy).is_some_and(|since| at - since < READY_TIMEOUT);
                out.restarted -= u64::from(gone);
            }
            _ => {}
        }
    }
    times.sort_unstable();
    out.in_time = times.iter().filter(|&&time| time <= READY_TIMEOUT).count() as u64;
    let seconds = |place: usize| times.get(place).map_or(0.0, |&time| time as f64 / 1e6);
    (out.median_s, out.worst_s) = (seconds(times.len() / 2), seconds(times.len().saturating_sub(1)));
    (out.restarted > 0).then_some(out)
}
