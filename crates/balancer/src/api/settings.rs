//! What an instance is configured with.
//!
//! Times are in microseconds. The names on the wire and in configuration files differ; crate `settings` maps them.

use super::Micros;
use std::fmt;

/// Largest number of tenants in the settings: a request refers to its tenant by a 16-bit index.
pub const MAX_TENANTS: usize = 1 << 16;

/// Which backends recognise a retried request by its idempotency key.
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
    /// Whether it holds fewer backends than another scope.
    #[must_use]
    pub fn is_narrower_than(self, other: Self) -> bool {
        self as u8 > other as u8
    }
}

/// What running a request twice would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A second execution changes nothing.
    Idempotent,
    /// It carries an idempotency key: backends of one scope drop a retry for a while after the first attempt.
    Keyed {
        /// The backends that know of one another's attempts.
        scope: DedupScope,
        /// How long they remember the key.
        ttl: Micros,
    },
    /// It must not run twice.
    NonIdempotent,
}

impl Idempotency {
    /// What holds for a request that may be meant under either of two versions of its class, where neither is the stricter
    /// one in all respects: the narrower scope of the one, and the shorter ttl of the other (rule 2). `None` where one is.
    #[must_use]
    pub fn combined_with(self, other: Self) -> Option<Self> {
        let (Self::Keyed { scope: first_scope, ttl: first_ttl }, Self::Keyed { scope, ttl }) = (self, other)
        else {
            return None;
        };
        if first_scope.is_narrower_than(scope) && first_ttl > ttl {
            return Some(Self::Keyed { scope: first_scope, ttl });
        }
        let is_reverse = scope.is_narrower_than(first_scope) && ttl > first_ttl;
        is_reverse.then_some(Self::Keyed { scope, ttl: first_ttl })
    }
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Responses within this time earn the full priority weight.
    pub latency_objective: Micros,
    /// Part of a request's own work that is added to its latency objective.
    pub objective_work_factor: f64,
    /// How long a client waits in all.
    pub deadline: Micros,
    /// Value of a response in time, relative to other classes.
    pub priority_weight: f64,
    /// Part of the weight, 0 to 1, that is left once the latency objective is missed.
    pub late_weight_fraction: f64,
    /// What running a request of this class twice would do.
    pub idempotency: Idempotency,
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests per second within its quota, summed over all instances.
    pub quota_per_s: f64,
}

/// Positions of the values that are read from a load report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReportFields {
    /// Requests being processed by the backend.
    pub in_flight: Option<usize>,
    /// Requests waiting in its queue.
    pub queued: Option<usize>,
    /// Recent mean service time, milliseconds.
    pub mean_service_ms: Option<usize>,
}

/// What an instance may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permissions {
    /// Attempts per request, hedged requests and retries included.
    pub max_attempts: u16,
    /// Whether a request may have two attempts in flight at once.
    pub hedging: bool,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether backends may be sent health checks.
    pub health_checks: bool,
    /// A backend closes a connection that has been idle for this time.
    pub idle_connection_timeout: Micros,
    /// Attempts that one connection carries at the same time.
    pub streams_per_connection: u32,
    /// Longest `Retry-After` that clients honour; `None` where they honour none.
    pub max_retry_after: Option<Micros>,
}

/// Figures of the rules that the operators check.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SafetyLimits {
    /// An instance without a watch counts as notified of every change that is older than this.
    pub max_poll_interval: Micros,
    /// Fraction of its capacity, 0 to 1, that a backend has right after its start.
    pub initial_capacity: f64,
    /// Time from its start until a backend is warm.
    pub warm_up_duration: Micros,
    /// A warming backend falls over when it gets more than this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... for this long.
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
    /// Whether the list of backends comes only after [`Action::Subscribe`](super::Action::Subscribe).
    pub discovery_on_request: bool,
    /// Whether a backend does less work for a key that it has recently served.
    pub key_affinity: bool,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Weight of a request beyond its tenant's quota, as a fraction (0 to 1) of its class's weight.
    pub over_quota_weight: f64,
    /// Cost of an attempt that crosses zones, as a fraction of a mean request's weight.
    pub cross_zone_cost: f64,
    /// Cost of a health check, in the same unit.
    pub health_check_cost: f64,
    /// Positions of the values in a load report.
    pub load_report: LoadReportFields,
    /// Whether load reports come with the results of health checks alone.
    pub load_report_by_health_check: bool,
    /// What is allowed.
    pub permissions: Permissions,
    /// Figures of the rules.
    pub safety: SafetyLimits,
}

/// What is wrong with a setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsProblem {
    /// It is 0, negative or not a number.
    NotPositive,
    /// It is negative or not a finite number.
    Negative,
    /// It is not in 0..=1.
    NotFraction,
    /// It is 0 or an empty list.
    NoneGiven,
    /// A deadline is shorter than the latency objective of its class.
    DeadlineUnderObjective,
    /// There are more than [`MAX_TENANTS`] tenants.
    TooManyTenants {
        /// Their number.
        count: usize,
    },
    /// It is none of the known values.
    UnknownValue {
        /// The value.
        value: String,
    },
    /// It cannot be parsed; the parser's message.
    Malformed(String),
}

impl fmt::Display for SettingsProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotPositive => f.write_str("must be above 0"),
            Self::Negative => f.write_str("must be 0 or more"),
            Self::NotFraction => f.write_str("must lie in 0..=1"),
            Self::NoneGiven => f.write_str("there must be at least one"),
            Self::DeadlineUnderObjective => f.write_str("must not be under the aim"),
            Self::TooManyTenants { count } => {
                write!(f, "{count} tenants, and at most {MAX_TENANTS} are told apart; leave out some")
            }
            Self::UnknownValue { value } => write!(f, "unknown value `{value}`"),
            Self::Malformed(message) => f.write_str(message),
        }
    }
}

/// A setting that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Which setting, as configuration files name it.
    pub field: String,
    /// What is wrong with it.
    pub problem: SettingsProblem,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting `{}`: {}", self.field, self.problem)
    }
}

impl std::error::Error for SettingsError {}

/// An error at `field` unless its value is valid.
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
            SettingsProblem::DeadlineUnderObjective,
        )?;
        check(is_not_negative(self.priority_weight), &field("worth"), SettingsProblem::Negative)?;
        check(is_fraction(self.late_weight_fraction), &field("late_worth"), SettingsProblem::NotFraction)?;
        check(is_not_negative(self.objective_work_factor), &field("aim_stretch"), SettingsProblem::Negative)
    }
}

impl Settings {
    /// Checks that every value can be used. Errors name settings as configuration files do.
    ///
    /// # Errors
    /// The first setting that is out of its range.
    pub fn validate(&self) -> Result<(), SettingsError> {
        check(self.instance_count > 0, "balancers", SettingsProblem::NoneGiven)?;
        check(!self.classes.is_empty(), "classes", SettingsProblem::NoneGiven)?;
        for (index, class) in self.classes.iter().enumerate() {
            class.validate(index)?;
        }
        self.validate_tenants()?;
        check(is_fraction(self.over_quota_weight), "over_share_worth", SettingsProblem::NotFraction)?;
        check(self.permissions.max_attempts > 0, "max_attempts", SettingsProblem::NoneGiven)?;
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
