//! The traffic of a script: rate, request classes, and their distribution over proxies and tenants.

use super::Script;
use balancer::api::Micros;
use serde::Deserialize;

/// Client traffic of a scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// Requests per second over all proxies.
    pub per_s: f64,
    /// Fraction of the requests whose attempts external clients make under leases; only in virtual time.
    #[serde(default, rename = "leased")]
    pub leased_fraction: f64,
    /// Fraction of the lease reports that are lost.
    #[serde(default, rename = "lost_reports")]
    pub lost_report_fraction: f64,
    /// Fraction of the leases under which the external client delays sending.
    #[serde(default, rename = "slow_callers")]
    pub delayed_send_fraction: f64,
    /// Number of tenants, each with the same quota; 0: all requests belong to one tenant without a configured
    /// quota.
    #[serde(default)]
    pub tenants: u16,
    /// Fraction of the traffic that comes from the first tenant in any case; the rest is spread evenly over
    /// all tenants.
    #[serde(default, rename = "first_tenant")]
    pub first_tenant_share: f64,
    /// Standard deviation of the logarithm of a proxy's traffic; 0 to 3.
    #[serde(default)]
    pub skew: f64,
    /// Fraction of the proxies that are busy; 0: none.
    #[serde(default, rename = "busy_proxies")]
    pub busy_proxy_fraction: f64,
    /// Fraction of the traffic that arrives at the busy proxies.
    #[serde(default)]
    pub busy_share: f64,
    /// Fraction of the traffic that arrives in the first zone; 0: no zone is preferred.
    #[serde(default, rename = "first_zone")]
    pub first_zone_share: f64,
}

/// A request class.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Its name, which is the first segment of the request path.
    pub name: String,
    /// `safe`, `unsafe`, `keyed-zone` or `keyed-cell`.
    #[serde(rename = "effect")]
    pub idempotency: IdempotencySpec,
    /// How long backends deduplicate retries by idempotency key, seconds.
    #[serde(default = "default_dedup_s", rename = "key_s")]
    pub dedup_s: f64,
    /// Relative share of the traffic; the shares need not add up to 1.
    pub share: f64,
    /// Minimum and maximum work on a core of speed 1, milliseconds.
    pub work_ms: [f64; 2],
    /// Distribution of the work.
    #[serde(default)]
    pub work: WorkSpec,
    /// Latency objective, milliseconds.
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: u64,
    /// Client deadline, milliseconds.
    pub deadline_ms: u64,
    /// Priority weight of a response within the latency objective.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Fraction of the priority weight that a later response earns.
    #[serde(default, rename = "late_worth")]
    pub late_weight_fraction: f64,
}

/// Distribution of the work of a class.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum WorkSpec {
    /// Uniform between the two bounds.
    #[default]
    #[serde(rename = "even")]
    Uniform,
    /// Exponential, with the midpoint of the two bounds as the mean, limited to ten times the mean.
    Exponential,
}

/// Whether a request may be retried, and where retries are deduplicated.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum IdempotencySpec {
    /// Idempotent: any number of attempts may run.
    #[serde(rename = "safe")]
    Idempotent,
    /// Non-idempotent: at most one attempt may run.
    #[serde(rename = "unsafe")]
    NonIdempotent,
    /// Keyed: retries are deduplicated within a zone.
    KeyedZone,
    /// Keyed: retries are deduplicated within a cell.
    KeyedCell,
}

fn default_dedup_s() -> f64 {
    3.0
}

impl Script {
    /// Draws a class at random, in proportion to the shares.
    #[must_use]
    pub fn draw_class(&self, rng: &mut fastrand::Rng) -> usize {
        let mut draw = rng.f64() * self.classes.iter().map(|class| class.share).sum::<f64>();
        let class = self.classes.iter().position(|class| {
            draw -= class.share;
            draw < 0.0
        });
        class.unwrap_or(0)
    }

    /// Mean work of a request, milliseconds on a core of speed 1.
    #[must_use]
    pub fn mean_work_ms(&self) -> f64 {
        let total_share = self.classes.iter().map(|class| class.share).sum::<f64>();
        self.classes
            .iter()
            .map(|class| class.share * (class.work_ms[0] + class.work_ms[1]) / 2.0)
            .sum::<f64>()
            / total_share
    }

    /// The longest client deadline of all classes, microseconds; 0 without classes.
    #[must_use]
    pub fn longest_deadline(&self) -> Micros {
        self.classes.iter().map(|class| class.deadline_ms * 1_000).max().unwrap_or(0)
    }
}
