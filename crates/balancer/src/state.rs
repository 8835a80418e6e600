//! State of an instance, with one module for each concern. The decisions based on it are in
//! [`balancer`](crate::balancer).

mod backend;
mod executions;
mod failure_rate;
mod fleet;
mod health;
mod idle_time_limit;
mod latency;
mod limits;
mod rejection_rate;
mod request;
mod retry_budget;
mod sample_window;
mod throughput;
mod token_bucket;

pub(crate) use backend::{BackendState, ReportedFactor, WarmUpBudget};
pub(crate) use executions::{Execution, Executions};
pub(crate) use failure_rate::FailureRate;
pub(crate) use fleet::{Fleet, LARGE_FLEET};
pub(crate) use health::Health;
pub(crate) use idle_time_limit::{IdleTimeLimit, MIN_SUSPECT_IDLE_TIME};
pub(crate) use latency::{AVERAGE_WEIGHT, LatencyEstimate, LatencyTable};
pub(crate) use limits::{KindLimit, SlotBudget};
pub(crate) use rejection_rate::RejectionRate;
pub(crate) use request::{Attempt, AttemptState, OpenRequest, Requests, RetryScope};
pub(crate) use retry_budget::RetryBudget;
pub(crate) use sample_window::SampleWindow;
pub(crate) use throughput::PeakThroughput;
pub(crate) use token_bucket::TokenBucket;

use crate::api::Micros;

/// Statistics of the traffic of an instance.
pub(crate) struct TrafficStatistics {
    pub(crate) latencies: LatencyTable,
    pub(crate) throughput: PeakThroughput,
    pub(crate) failures: FailureRate,
    pub(crate) rejections: RejectionRate,
}

/// Duration of one second.
pub(crate) const SECOND: Micros = 1_000_000;
/// Fractional part of the golden ratio. The fractional parts of its multiples are evenly distributed over
/// 0..1 for any number of instances.
pub(crate) const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_894_9;
