//! Configuration of an instance.
//!
//! Times are in microseconds. Names on the wire and in configuration files differ from the names here; crate
//! `settings` maps them.

use super::Micros;
use std::fmt;

/// Largest number of tenants in the settings: a request refers to its tenant by a 16-bit index.
pub const MAX_TENANTS: usize = 1 << 16;

/// The group of backends that deduplicate a request by its idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// Every backend.
    All,
    /// The backends of one zone.
    Zone,
    /// The backends of one cell.
    Cell,
}

impl DedupScope {
    /// Whether this scope contains fewer backends than `other`.
    #[must_use]
    pub fn is_narrower_than(self, other: Self) -> bool {
        self as u8 > other as u8
    }
}

/// Effect of executing a request more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Further executions have no additional effect.
    Idempotent,
    /// Requests carry an idempotency key, and backends within the scope do not execute one with the same key
    /// twice within the `ttl`.
    Keyed {
        /// The backends that share one record of keys.
        scope: DedupScope,
        /// How long after the first attempt the key is remembered.
        ttl: Micros,
    },
    /// A request must not be executed twice.
    NonIdempotent,
}

impl Idempotency {
    /// Whether any backend may get a request again that may have run: it has no further effect, or is dropped.
    #[must_use]
    pub fn is_retry_safe(self) -> bool {
        matches!(self, Self::Idempotent | Self::Keyed { scope: DedupScope::All, .. })
    }

    /// The rules for a request to which either of two versions of its class may apply (rule 2): the narrower
    /// scope and the shorter `ttl` of both, and no retry after an execution if either forbids it.
    #[must_use]
    pub fn combined_with(self, other: Self) -> Self {
        match (self, other) {
            (Self::NonIdempotent, _) | (_, Self::NonIdempotent) => Self::NonIdempotent,
            (Self::Idempotent, rules) | (rules, Self::Idempotent) => rules,
            (Self::Keyed { scope: first_scope, ttl: first_ttl }, Self::Keyed { scope, ttl }) => {
                let narrower = if first_scope.is_narrower_than(scope) { first_scope } else { scope };
                Self::Keyed { scope: narrower, ttl: first_ttl.min(ttl) }
            }
        }
    }
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Responses within this time have the full priority weight.
    pub latency_objective: Micros,
    /// Multiple of a request's expected work that is added to its latency objective; 0 or more.
    pub objective_work_factor: f64,
    /// Time from its arrival until the client stops waiting.
    pub deadline: Micros,
    /// Value of a response within the latency objective, relative to other classes; 0 or more.
    pub priority_weight: f64,
    /// Fraction of the priority weight, 0 to 1, that a response after the latency objective has.
    pub late_weight_fraction: f64,
    /// Effect of executing a request of this class more than once.
    pub idempotency: Idempotency,
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests per second over all instances; 0 or more.
    pub quota_per_s: f64,
}

/// Indices of values in a load report; `None` for a value that is not reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReportFields {
    /// Number of requests that the backend is processing.
    pub in_flight: Option<usize>,
    /// Number of requests in the backend's queue.
    pub queued: Option<usize>,
    /// Recent mean service time, in milliseconds.
    pub mean_service_ms: Option<usize>,
}

/// Which actions an instance may use, and their bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permissions {
    /// Maximum number of attempts per request, hedged requests and retries included; at least 1.
    pub max_attempts: u16,
    /// Whether a request may have two attempts in flight at once.
    pub hedging: bool,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether health checks may be sent to backends.
    pub health_checks: bool,
    /// Time after which backends close an idle connection.
    pub idle_connection_timeout: Micros,
    /// Maximum number of concurrent attempts on one connection.
    pub streams_per_connection: u32,
    /// Longest `Retry-After` that clients honour; `None` if they ignore it.
    pub max_retry_after: Option<Micros>,
}

/// Parameters of the rules that the operators verify (see [`balancer`](crate::balancer)).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SafetyLimits {
    /// Rule 3 applies to an instance without a watch once a change of the list is older than this.
    pub max_poll_interval: Micros,
    /// Fraction of its full capacity, 0 to 1, that a backend has right after its start.
    pub initial_capacity: f64,
    /// Time from the start of a backend until it has its full capacity.
    pub warm_up_duration: Micros,
    /// A warming backend fails if its load exceeds this multiple of its current capacity for the
    /// `overload_window`; above 0.
    pub overload_factor: f64,
    /// Duration of an overload after which a warming backend fails.
    pub overload_window: Micros,
}

/// Configuration of one instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Index of this instance among the proxies of its tier.
    pub instance_index: u32,
    /// Number of proxies in the tier.
    pub instance_count: u32,
    /// Zone of this instance.
    pub zone: u16,
    /// Number of zones.
    pub zone_count: u16,
    /// Number of machine kinds.
    pub machine_kind_count: u8,
    /// Whether discovery sends its list only after [`Action::Subscribe`](super::Action::Subscribe).
    pub discovery_on_request: bool,
    /// Whether a backend does less work for a key that it has recently served.
    pub key_affinity: bool,
    /// Request classes, at least one; requests refer to them by index.
    pub classes: Vec<Class>,
    /// Tenants, at most [`MAX_TENANTS`]; requests refer to them by index. May be empty.
    pub tenants: Vec<Tenant>,
    /// Weight of a request beyond its tenant's quota, as a fraction (0 to 1) of its class's weight.
    pub over_quota_weight: f64,
    /// Cost of an attempt that crosses zones, as a fraction of the mean weight of a request.
    pub cross_zone_cost: f64,
    /// Cost of a health check, as a fraction of the mean weight of a request.
    pub health_check_cost: f64,
    /// Indices of the values in a load report.
    pub load_report_fields: LoadReportFields,
    /// Whether only responses to health checks carry load reports.
    pub load_report_by_health_check: bool,
    /// Which actions the instance may use.
    pub permissions: Permissions,
    /// Parameters of the rules that the operators verify.
    pub safety: SafetyLimits,
}

/// Why the value of a setting is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsProblem {
    /// It is 0, negative or not a finite number.
    NotPositive,
    /// It is negative or not a finite number.
    Negative,
    /// It is not in 0..=1.
    NotFraction,
    /// It is 0 or an empty list, where at least one is required.
    AtLeastOneRequired,
    /// A deadline is shorter than the latency objective of its class.
    DeadlineBelowObjective,
    /// There are more than [`MAX_TENANTS`] tenants.
    TooManyTenants {
        /// Number of tenants in the settings.
        count: usize,
    },
    /// It is not one of the accepted values.
    UnknownValue {
        /// The value as it was given.
        value: String,
    },
    /// It cannot be parsed; contains the parser's message.
    Malformed(String),
}

impl fmt::Display for SettingsProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotPositive => f.write_str("must be above 0"),
            Self::Negative => f.write_str("must be 0 or more"),
            Self::NotFraction => f.write_str("must lie in 0..=1"),
            Self::AtLeastOneRequired => f.write_str("there must be at least one"),
            Self::DeadlineBelowObjective => f.write_str("must not be under the aim"),
            Self::TooManyTenants { count } => {
                write!(f, "{count} tenants, and at most {MAX_TENANTS} are told apart; leave out some")
            }
            Self::UnknownValue { value } => write!(f, "unknown value `{value}`"),
            Self::Malformed(message) => f.write_str(message),
        }
    }
}

/// A setting with an invalid value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Name of the setting in configuration files.
    pub field: String,
    /// Why its value is invalid.
    pub problem: SettingsProblem,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting `{}`: {}", self.field, self.problem)
    }
}

impl std::error::Error for SettingsError {}

/// Returns an error about `field` unless `is_valid`.
fn check(is_valid: bool, field: &str, problem: SettingsProblem) -> Result<(), SettingsError> {
    if is_valid { Ok(()) } else { Err(SettingsError { field: field.into(), problem }) }
}

fn is_fraction(value: f64) -> bool {
    (0.0..=1.0).contains(&value)
}

fn is_not_negative(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

impl Class {
    fn validate(&self, index: usize) -> Result<(), SettingsError> {
        let field = |name: &str| format!("classes[{index}].{name}");
        check(self.latency_objective > 0, &field("aim"), SettingsProblem::NotPositive)?;
        check(
            self.deadline >= self.latency_objective,
            &field("deadline"),
            SettingsProblem::DeadlineBelowObjective,
        )?;
        check(is_not_negative(self.priority_weight), &field("worth"), SettingsProblem::Negative)?;
        check(is_fraction(self.late_weight_fraction), &field("late_worth"), SettingsProblem::NotFraction)?;
        check(is_not_negative(self.objective_work_factor), &field("aim_stretch"), SettingsProblem::Negative)
    }
}

impl Settings {
    /// Checks that each value is in its range. Errors name settings as configuration files do.
    ///
    /// # Errors
    /// The first setting with an invalid value.
    pub fn validate(&self) -> Result<(), SettingsError> {
        check(self.instance_count > 0, "balancers", SettingsProblem::AtLeastOneRequired)?;
        check(!self.classes.is_empty(), "classes", SettingsProblem::AtLeastOneRequired)?;
        for (index, class) in self.classes.iter().enumerate() {
            class.validate(index)?;
        }
        self.validate_tenants()?;
        check(is_fraction(self.over_quota_weight), "over_share_worth", SettingsProblem::NotFraction)?;
        check(self.permissions.max_attempts > 0, "max_attempts", SettingsProblem::AtLeastOneRequired)?;
        check(is_fraction(self.safety.initial_capacity), "cold_from", SettingsProblem::NotFraction)?;
        let factor = self.safety.overload_factor;
        check(factor.is_finite() && factor > 0.0, "fall_multiple", SettingsProblem::NotPositive)
    }

    fn validate_tenants(&self) -> Result<(), SettingsError> {
        let count = self.tenants.len();
        check(count <= MAX_TENANTS, "tenants", SettingsProblem::TooManyTenants { count })?;
        for (index, tenant) in self.tenants.iter().enumerate() {
            let field = format!("tenants[{index}].allowance_per_s");
            check(is_not_negative(tenant.quota_per_s), &field, SettingsProblem::Negative)?;
        }
        Ok(())
    }
}
