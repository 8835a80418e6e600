//! Learned state of an instance, in the form in which it is passed to the process that replaces it.

use super::{BackendId, Micros};

/// The concurrency limit that one instance has learned for one backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LearnedLimit {
    /// The backend.
    pub backend: BackendId,
    /// When its process started, as discovery lists it. The limit applies only to this incarnation.
    pub started_at: Option<Micros>,
    /// Requests in flight from this instance.
    pub limit: f64,
    /// Whether the limit is derived from that of the machine kind, since this backend has no own samples yet.
    pub uses_kind_limit: bool,
}

/// The concurrency limit of one machine kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LearnedKindLimit {
    /// Requests in flight per backend of the kind, summed over all instances.
    pub limit: f64,
    /// Whether it still doubles at each increase, as no back-off has occurred yet.
    pub is_doubling: bool,
}

/// Latencies of one class on one machine kind, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LearnedLatency {
    /// Number of samples.
    pub samples: u32,
    /// Moving average of the latency.
    pub mean_us: f64,
    /// Latency without queueing; `None` while there are too few samples.
    pub baseline_us: Option<f64>,
}

/// Everything that an instance has learned from its traffic.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedState {
    /// Limits of single backends.
    pub backends: Vec<LearnedLimit>,
    /// Limits of the machine kinds, by kind.
    pub machine_kinds: Vec<LearnedKindLimit>,
    /// Latencies, by class and then by machine kind.
    pub latencies: Vec<LearnedLatency>,
    /// Highest recent rate of served requests, per second.
    pub peak_requests_per_s: f64,
    /// Fraction of the requests, 0 to 1, that is rejected for lack of capacity.
    pub rejected_fraction: f64,
}
