//! How soon processes that were started anew were ready, as their `/up` told whoever asked from outside. Pure.

use crate::invariant_checker::Observation;
use balancer::api::Micros;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

/// A process that was started anew is meant to be ready within this time.
pub const READY_TIMEOUT: Micros = 10_000_000;

/// How soon processes that were started anew were ready.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Restarts {
    /// Processes that were started anew, less those that were killed again before they had their time.
    pub restarted: u64,
    /// Those that were ready within [`READY_TIMEOUT`] of their start.
    pub in_time: u64,
    /// Median time from the start until `/up` said 200, seconds, over those that got there.
    pub median_s: f64,
    /// The longest of these times.
    pub worst_s: f64,
}

impl Restarts {
    /// Whether nine in ten were ready in time.
    #[must_use]
    pub fn is_soon(&self) -> bool {
        self.in_time * 10 >= self.restarted * 9
    }
}

/// Counts them; `None` where none was started anew. `seen` is in the order of time.
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
