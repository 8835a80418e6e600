//! What an instance has learned, in the form in which it is handed to the process that replaces it.

use super::{BackendId, Micros};

/// The concurrency limit of one backend, as one instance has learned it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LearnedLimit {
    /// The backend.
    pub backend: BackendId,
    /// When its process started: the limit does not apply to another incarnation.
    pub started_at: Option<Micros>,
    /// The limit, in requests.
    pub limit: f64,
    /// Whether the limit is that of its kind of machine, not yet its own.
    pub is_shared: bool,
}

/// The limit of one kind of machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LearnedKindLimit {
    /// The limit, in requests.
    pub limit: f64,
    /// Whether it still grows by doubling.
    pub is_doubling: bool,
}

/// Latencies of one class on one kind of machine, microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LearnedLatency {
    /// Number of samples.
    pub samples: u32,
    /// Mean latency.
    pub mean: f64,
    /// Latency without queueing; `None` while too few samples came.
    pub baseline: Option<f64>,
}

/// What an instance has learned.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedState {
    /// Limits of single backends.
    pub backends: Vec<LearnedLimit>,
    /// Limits of the kinds of machines, by kind.
    pub machine_kinds: Vec<LearnedKindLimit>,
    /// Latencies, by class and then by kind of machine.
    pub latencies: Vec<LearnedLatency>,
    /// Highest rate of served requests, per second.
    pub peak_rate: f64,
    /// Fraction of the requests, 0 to 1, that is rejected for lack of capacity.
    pub rejected_fraction: f64,
}
