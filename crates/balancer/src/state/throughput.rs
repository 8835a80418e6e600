//! Peak throughput.

use crate::api::Micros;

/// Minimum time over which a rate is measured; over 1 s, the rate of a small instance varies too much.
const MIN_MEASUREMENT_SECONDS: f64 = 4.0;
/// Factor by which the peak decays with each measurement.
const PEAK_DECAY: f64 = 0.95;

/// Highest rate of served requests so far, decaying.
pub(crate) struct PeakThroughput {
    count: f64,
    measured_since: Micros,
    /// Requests per second.
    pub(crate) peak: f64,
}

impl PeakThroughput {
    pub(crate) fn new(now: Micros) -> Self {
        Self { count: 0.0, measured_since: now, peak: 0.0 }
    }

    /// Counts one served request.
    pub(crate) fn record(&mut self, now: Micros) {
        self.count += 1.0;
        let seconds = (now - self.measured_since) as f64 / 1e6;
        if seconds >= MIN_MEASUREMENT_SECONDS {
            self.peak = (self.count / seconds).max(self.peak * PEAK_DECAY);
            self.count = 0.0;
            self.measured_since = now;
        }
    }
}
