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
    /// Fraction of the requests whose attempts external clients make under leases (only in virtual time).
    #[serde(default)]
    pub leased: f64,
    /// Fraction of the lease reports that are lost.
    #[serde(default)]
    pub lost_reports: f64,
    /// Fraction of the lease holders that delay sending.
    #[serde(default)]
    pub slow_callers: f64,
    /// Number of tenants, each with the same quota.
    #[serde(default)]
    pub tenants: u16,
    /// Fraction of the traffic that the first tenant sends; all tenants share the rest.
    #[serde(default)]
    pub first_tenant: f64,
    /// Standard deviation of the logarithm of a proxy's traffic; 0 to 3.
    #[serde(default)]
    pub skew: f64,
    /// Fraction of the proxies that are busy; 0: none.
    #[serde(default)]
    pub busy_proxies: f64,
    /// Fraction of the traffic that arrives at the busy proxies.
    #[serde(default)]
    pub busy_share: f64,
    /// Fraction of the traffic that arrives in the first zone; 0: no zone is preferred.
    #[serde(default)]
    pub first_zone: f64,
}

/// A request class.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Its name, the first part of the path.
    pub name: String,
    /// `safe`, `unsafe`, `keyed-zone` or `keyed-cell`.
    #[serde(rename = "effect")]
    pub idempotency: IdempotencySpec,
    /// How long backends deduplicate retries by key, seconds.
    #[serde(default = "default_dedup_s", rename = "key_s")]
    pub dedup_s: f64,
    /// Relative share of the traffic; the shares need not add up to 1.
    pub share: f64,
    /// Smallest and largest work on one core, milliseconds.
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
    /// Fraction of the weight that a later response earns.
    #[serde(default, rename = "late_worth")]
    pub late_weight_fraction: f64,
}

/// Distribution of the work of a class.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum WorkSpec {
    /// Uniform between the two bounds.
    #[default]
    Even,
    /// Exponential, with the midpoint of the two bounds as its mean, limited to ten times the mean.
    Exponential,
}

/// Whether a request may be retried, and where retries are deduplicated.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum IdempotencySpec {
    /// Any number of attempts.
    Safe,
    /// At most one attempt may run.
    Unsafe,
    /// Retries are deduplicated within a zone.
    KeyedZone,
    /// Retries are deduplicated within a cell.
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

    /// The longest client deadline of all classes, microseconds.
    #[must_use]
    pub fn longest_deadline(&self) -> Micros {
        self.classes.iter().map(|class| class.deadline_ms * 1_000).max().unwrap_or(0)
    }
}
