//! Failure score and ejections of one backend.

use super::SECOND;
use crate::api::Micros;

/// Fraction of its requests that an unhealthy backend is assumed to fail.
///
/// Ejection is based on a sequential test (Page's CUSUM): each outcome adds its log-likelihood ratio, of an
/// unhealthy backend over a healthy one, to the failure score. A failure adds much where attempts hardly ever
/// fail, and little where connections break on all backends.
const UNHEALTHY_FAILURE_FRACTION: f64 = 0.6;
/// Failure score at which a backend is ejected. It is reached with the third consecutive failure, or the
/// second consecutive timeout, if one attempt in fifty fails on healthy backends.
const EJECTION_SCORE: f64 = 8.0;
/// Time without an ejection after which the number of consecutive ejections decreases by one.
const EJECTION_DECAY_INTERVAL: Micros = 30 * SECOND;
/// Duration of the first ejection, before jitter. It doubles with each consecutive ejection, up to
/// `MAX_EJECTION_DOUBLINGS` times.
const BASE_EJECTION_DURATION: Micros = SECOND;
/// Maximum number of times that the duration of an ejection doubles.
const MAX_EJECTION_DOUBLINGS: u32 = 4;
/// Maximum by which the number of consecutive ejections decreases between two ejections.
const MAX_DECAYED_EJECTIONS: Micros = 64;

/// Health of one backend.
#[derive(Default)]
pub(crate) struct Health {
    /// Evidence that the backend is unhealthy, 0 or more.
    failure_score: f64,
    failures_since_success: usize,
    /// Start of the process, or end of the last ejection.
    in_service_since: Micros,
    /// End of the ejection; after it, the backend may get a trial request. `None` while not ejected.
    pub(crate) ejected_until: Option<Micros>,
    consecutive_ejections: u32,
    /// Whether the trial request is in flight, which tests whether the ejected backend has recovered.
    pub(crate) trial_in_flight: bool,
}

impl Health {
    /// Resets the state for a new process of the backend. A trial request that was sent to the previous
    /// process remains in flight.
    pub(crate) fn reset(&mut self, now: Micros) {
        let trial_in_flight = self.trial_in_flight;
        *self = Self { in_service_since: now, trial_in_flight, ..Self::default() };
    }

    pub(crate) fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    pub(crate) fn reached_ejection_score(&self) -> bool {
        self.failure_score >= EJECTION_SCORE
    }

    /// Records a failure. `baseline` is the fraction of failures of healthy backends, `weight` a factor on
    /// the evidence.
    pub(crate) fn record_failure(&mut self, baseline: f64, weight: f64) {
        self.add_evidence(UNHEALTHY_FAILURE_FRACTION / baseline, weight);
        self.failures_since_success += 1;
    }

    /// Records a success; returns the number of failures since the previous one.
    pub(crate) fn record_success(&mut self, baseline: f64, weight: f64) -> usize {
        self.add_evidence((1.0 - UNHEALTHY_FAILURE_FRACTION) / (1.0 - baseline), weight);
        std::mem::take(&mut self.failures_since_success)
    }

    fn add_evidence(&mut self, likelihood_ratio: f64, weight: f64) {
        self.failure_score = (self.failure_score + likelihood_ratio.ln() * weight).max(0.0);
    }

    /// Ejects the backend, or extends its ejection after a failed trial. `jitter`: factor on the duration.
    pub(crate) fn eject(&mut self, now: Micros, jitter: f64) {
        if !self.is_ejected() {
            let decayed = (now - self.in_service_since) / EJECTION_DECAY_INTERVAL;
            let decayed = decayed.min(MAX_DECAYED_EJECTIONS) as u32;
            self.consecutive_ejections = self.consecutive_ejections.saturating_sub(decayed);
        }
        let doublings = self.consecutive_ejections.min(MAX_EJECTION_DOUBLINGS);
        let duration = (BASE_EJECTION_DURATION << doublings) as f64 * jitter;
        self.ejected_until = Some(now + duration as Micros);
        self.trial_in_flight = false;
        self.failures_since_success = 0;
        self.consecutive_ejections += 1;
    }

    /// Ends the ejection after a successful trial. The failure score restarts at half the ejection score.
    pub(crate) fn readmit(&mut self, now: Micros) {
        self.ejected_until = None;
        self.trial_in_flight = false;
        self.failure_score = EJECTION_SCORE / 2.0;
        self.in_service_since = now;
    }
}
