//! State of an instance, by concern. The decisions that use it are in [`balancer`](crate::balancer).

mod backend;
mod failure_rate;
mod fleet;
mod health;
mod idle_trust;
mod latency;
mod limits;
mod rejection_rate;
mod request;
mod retry_budget;
mod sample_window;
mod throughput;
mod token_bucket;

pub(crate) use backend::{BackendState, ReportedFactor, WarmUpBudget};
pub(crate) use failure_rate::FailureRate;
pub(crate) use fleet::{Fleet, LARGE_FLEET};
pub(crate) use health::Health;
pub(crate) use idle_trust::{IdleTrust, MIN_BLAMED_IDLE_TIME};
pub(crate) use latency::{AVERAGE_WEIGHT, LatencyEstimate, LatencyTable};
pub(crate) use limits::{KindLimit, SlotBudget};
pub(crate) use rejection_rate::RejectionRate;
pub(crate) use request::{Attempt, AttemptState, OpenRequest, Requests, RetryScope};
pub(crate) use retry_budget::RetryBudget;
pub(crate) use sample_window::SampleWindow;
pub(crate) use throughput::PeakThroughput;
pub(crate) use token_bucket::TokenBucket;

use crate::api::Micros;

/// Moving averages of the traffic of an instance.
pub(crate) struct TrafficStatistics {
    pub(crate) latencies: LatencyTable,
    pub(crate) throughput: PeakThroughput,
    pub(crate) failures: FailureRate,
    pub(crate) rejections: RejectionRate,
}

/// One second.
pub(crate) const SECOND: Micros = 1_000_000;
/// The fractional part of the golden ratio: its multiples spread the instances evenly over 0..1, however many
/// there are.
pub(crate) const GOLDEN_RATIO: f64 = 0.618_033_988_749_894_9;
