//! The JSON form of the settings: each field has its name in [`balancer::api`] and is renamed to the
//! protocol's key. Times are in microseconds.
//!
//! The names of the types and the order of the fields are visible in error messages.

use balancer::api::Micros;
use serde::Deserialize;

#[derive(Deserialize)]
pub(crate) struct RawClass {
    #[serde(rename = "aimUs")]
    pub(crate) latency_objective: Micros,
    #[serde(rename = "aimStretch", default)]
    pub(crate) objective_work_factor: f64,
    #[serde(rename = "deadlineUs")]
    pub(crate) deadline: Micros,
    #[serde(rename = "worth")]
    pub(crate) priority_weight: f64,
    #[serde(rename = "lateWorth", default)]
    pub(crate) late_weight_fraction: f64,
    #[serde(rename = "effect")]
    pub(crate) idempotency: String,
    #[serde(rename = "group", default)]
    pub(crate) dedup_scope: String,
    #[serde(rename = "keyTtlUs", default)]
    pub(crate) key_ttl: Micros,
}

#[derive(Deserialize)]
pub(crate) struct RawTenant {
    #[serde(rename = "allowancePerS", default)]
    pub(crate) quota_per_s: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct RawPenalties {
    #[serde(rename = "crossZone")]
    pub(crate) cross_zone_cost: f64,
    #[serde(rename = "probe")]
    pub(crate) health_check_cost: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct RawReport {
    /// Names of the values of a load report, in the order in which they are sent.
    pub(crate) fields: Vec<String>,
    /// What delivers load reports; `probe`: the responses to health checks.
    #[serde(rename = "via")]
    pub(crate) source: String,
}

#[derive(Deserialize)]
pub(crate) struct RawPermissions {
    #[serde(rename = "maxAttempts")]
    pub(crate) max_attempts: u16,
    #[serde(rename = "secondCopies", default)]
    pub(crate) hedging: bool,
    #[serde(rename = "cancel", default)]
    pub(crate) cancellation: bool,
    #[serde(rename = "probes", default)]
    pub(crate) health_checks: bool,
    #[serde(rename = "connIdleUs", default)]
    pub(crate) idle_connection_timeout: Micros,
    #[serde(rename = "multiplex", default = "default_streams_per_connection")]
    pub(crate) streams_per_connection: u32,
    #[serde(rename = "retryAfter", default)]
    pub(crate) honours_retry_after: bool,
    #[serde(rename = "maxRetryAfterUs", default)]
    pub(crate) max_retry_after: Micros,
}

#[derive(Deserialize)]
pub(crate) struct RawSafety {
    #[serde(rename = "askWithinUs", default)]
    pub(crate) max_poll_interval: Micros,
    #[serde(rename = "coldFrom")]
    pub(crate) initial_capacity: f64,
    #[serde(rename = "coldUs")]
    pub(crate) warm_up_duration: Micros,
    #[serde(rename = "fallMultiple")]
    pub(crate) overload_factor: f64,
    #[serde(rename = "fallUs")]
    pub(crate) overload_window: Micros,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct RawFamily {
    #[serde(rename = "warmKeys")]
    pub(crate) key_affinity: bool,
}

#[derive(Deserialize)]
pub(crate) struct RawSettings {
    #[serde(rename = "me")]
    pub(crate) instance_index: u32,
    #[serde(rename = "balancers")]
    pub(crate) instance_count: u32,
    pub(crate) zone: u16,
    #[serde(rename = "failureDomains", default)]
    pub(crate) zones: Vec<String>,
    #[serde(rename = "kinds", default)]
    pub(crate) machine_kinds: Vec<String>,
    #[serde(rename = "membershipMode")]
    pub(crate) membership_mode: String,
    #[serde(rename = "familyInfo", default)]
    pub(crate) family: RawFamily,
    pub(crate) classes: Vec<RawClass>,
    #[serde(default)]
    pub(crate) tenants: Vec<RawTenant>,
    #[serde(rename = "overShareWorth", default)]
    pub(crate) over_quota_weight: f64,
    #[serde(default)]
    pub(crate) penalties: RawPenalties,
    #[serde(rename = "loadReport", default)]
    pub(crate) load_report: RawReport,
    pub(crate) permissions: RawPermissions,
    pub(crate) safety: RawSafety,
}

fn default_streams_per_connection() -> u32 {
    1
}
