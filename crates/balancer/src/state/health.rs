//! Health of one backend: its failure score and its ejections.

use super::SECOND;
use crate::api::Micros;

/// Fraction of its requests that a sick backend fails.
///
/// Departure: a backend is ejected by a sequential test (Page's CUSUM): each outcome adds the logarithm of
/// how much likelier it is from a sick backend than from a usual one. A failure counts much where hardly any
/// attempt fails, and little where connections break everywhere.
const SICK_FAILURE_FRACTION: f64 = 0.6;
/// Failure score at which a backend is ejected: the third consecutive failure where one in fifty is usual, or
/// the second one that timed out.
const EJECTION_SCORE: f64 = 8.0;
/// A backend that has not been ejected for this long counts one consecutive ejection less.
const EJECTION_MEMORY: Micros = 30 * SECOND;
/// First ejection time; each consecutive one is twice as long, up to `MAX_EJECTION_DOUBLINGS` times.
const BASE_EJECTION_TIME: Micros = SECOND;
const MAX_EJECTION_DOUBLINGS: u32 = 4;
/// More intervals without an ejection than this make no difference.
const MAX_FORGOTTEN_EJECTIONS: Micros = 64;

/// Health of one backend.
#[derive(Default)]
pub(crate) struct Health {
    /// Evidence that the backend is sick, 0 or more.
    failure_score: f64,
    /// Failures since its last success.
    failures_since_success: usize,
    /// Since when it has not been ejected.
    in_service_since: Micros,
    pub(crate) ejected_until: Option<Micros>,
    consecutive_ejections: u32,
    /// Whether a single request is in flight to find out whether the ejected backend has recovered.
    pub(crate) trial_in_flight: bool,
}

impl Health {
    /// That of a process that has just started; the trial of the process before it, if any, is still in
    /// flight.
    pub(crate) fn reset(&mut self, now: Micros) {
        let trial_in_flight = self.trial_in_flight;
        *self = Self { in_service_since: now, trial_in_flight, ..Self::default() };
    }

    pub(crate) fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Whether the score is high enough for an ejection.
    pub(crate) fn is_suspect(&self) -> bool {
        self.failure_score >= EJECTION_SCORE
    }

    /// Records a failure where `usual` is the usual fraction of failures; `weight` is above 1 for a slow one.
    pub(crate) fn record_failure(&mut self, usual: f64, weight: f64) {
        self.add_evidence(SICK_FAILURE_FRACTION / usual, weight);
        self.failures_since_success += 1;
    }

    /// Records a success; returns the number of failures since the one before.
    pub(crate) fn record_success(&mut self, usual: f64, weight: f64) -> usize {
        self.add_evidence((1.0 - SICK_FAILURE_FRACTION) / (1.0 - usual), weight);
        std::mem::take(&mut self.failures_since_success)
    }

    fn add_evidence(&mut self, likelihood_ratio: f64, weight: f64) {
        self.failure_score = (self.failure_score + likelihood_ratio.ln() * weight).max(0.0);
    }

    /// Ejects the backend, or extends its ejection after a failed trial; `jitter` is a factor on the time.
    pub(crate) fn eject(&mut self, now: Micros, jitter: f64) {
        if !self.is_ejected() {
            let forgotten = (now - self.in_service_since) / EJECTION_MEMORY;
            let forgotten = forgotten.min(MAX_FORGOTTEN_EJECTIONS) as u32;
            self.consecutive_ejections = self.consecutive_ejections.saturating_sub(forgotten);
        }
        let doublings = self.consecutive_ejections.min(MAX_EJECTION_DOUBLINGS);
        let time = (BASE_EJECTION_TIME << doublings) as f64 * jitter;
        self.ejected_until = Some(now + time as Micros);
        self.trial_in_flight = false;
        self.failures_since_success = 0;
        self.consecutive_ejections += 1;
    }

    /// Ends the ejection after a successful trial. The backend starts with half the evidence for the next
    /// one.
    pub(crate) fn readmit(&mut self, now: Micros) {
        self.ejected_until = None;
        self.trial_in_flight = false;
        self.failure_score = EJECTION_SCORE / 2.0;
        self.in_service_since = now;
    }
}
