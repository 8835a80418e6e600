//! Ejection of backends whose requests fail, and their readmission.

use super::Balancer;
use crate::api::{Action, Micros};

/// Fraction of the ready backends that may be ejected at once.
const MAX_EJECTED_FRACTION: f64 = 0.6;
/// The ejection time is multiplied by a random factor between this and 0.5 more.
const MIN_EJECTION_JITTER: f64 = 0.75;

impl Balancer {
    /// Adds an outcome to the backend's failure score. Its failures count as usual only once it has succeeded
    /// again: those of a sick backend must not excuse the others.
    pub(super) fn score_outcome(&mut self, index: usize, is_failure: bool, weight: f64) {
        let health = &mut self.fleet.backends[index].health;
        let usual = self.traffic.failures.usual();
        if is_failure {
            health.record_failure(usual, weight);
        } else {
            let failures_before = health.record_success(usual, weight);
            self.traffic.failures.record_success(failures_before);
        }
    }

    /// Departure: a backend whose requests fail is ejected, and readmitted when a single trial request
    /// succeeds.
    pub(super) fn update_ejection(
        &mut self,
        now: Micros,
        index: usize,
        is_failure: bool,
        out: &mut Vec<Action>,
    ) {
        let may_eject = is_failure && self.may_eject_another();
        let jitter = MIN_EJECTION_JITTER + self.rng.f64() / 2.0;
        let backend = &mut self.fleet.backends[index];
        let health = &mut backend.health;
        if health.is_ejected() {
            if !is_failure {
                health.readmit(now);
                out.push(Action::Log(format!("readmitted server {} after a trial", backend.id)));
            } else if health.trial_in_flight {
                health.eject(now, jitter);
                backend.unused_since = now;
            }
        } else if may_eject && health.is_suspect() {
            health.eject(now, jitter);
            backend.unused_since = now;
            self.fleet.ejections += 1;
            out.push(Action::Log(format!("ejected server {}: its requests fail", backend.id)));
        }
    }

    fn may_eject_another(&self) -> bool {
        let ejected = self.fleet.ready_backends().filter(|backend| backend.health.is_ejected()).count();
        ejected < (self.fleet.ready.len() as f64 * MAX_EJECTED_FRACTION) as usize
    }
}
