//! Ejection of backends whose requests fail, and their readmission.
//!
//! Deviation: the basic algorithm sends to failing backends as to others. Here, they are ejected, and
//! readmitted when a single trial request succeeds.

use super::Balancer;
use crate::api::{Action, Micros};

/// Maximum fraction of the ready backends that may be ejected at the same time.
const MAX_EJECTED_FRACTION: f64 = 0.6;
/// Lower bound of the random factor on the duration of an ejection; its upper bound is 0.5 above it.
const MIN_EJECTION_JITTER: f64 = 0.75;

impl Balancer {
    /// Adds an outcome to the backend's failure score. Its failures enter the baseline only with its next
    /// success, since failures of an unhealthy backend must not raise the baseline for the others.
    pub(super) fn score_outcome(&mut self, backend_index: usize, is_failure: bool, weight: f64) {
        let health = &mut self.fleet.backends[backend_index].health;
        let baseline = self.traffic.failures.baseline();
        if is_failure {
            health.record_failure(baseline, weight);
        } else {
            let failures_before = health.record_success(baseline, weight);
            self.traffic.failures.record_success(failures_before);
        }
    }

    /// Ejects a backend, extends its ejection or readmits it, according to the outcome just recorded.
    pub(super) fn update_ejection(
        &mut self,
        now: Micros,
        backend_index: usize,
        is_failure: bool,
        out: &mut Vec<Action>,
    ) {
        let may_eject = is_failure && self.may_eject_another();
        let jitter = MIN_EJECTION_JITTER + self.rng.f64() / 2.0;
        let backend = &mut self.fleet.backends[backend_index];
        let health = &mut backend.health;
        if health.is_ejected() {
            if !is_failure {
                health.readmit(now);
                out.push(Action::Log(format!("readmitted server {} after a trial", backend.id)));
            } else if health.trial_in_flight {
                health.eject(now, jitter);
                backend.unused_since = now;
            }
        } else if may_eject && health.reached_ejection_score() {
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
