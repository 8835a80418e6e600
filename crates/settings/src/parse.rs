//! Parses settings and maps them to the terms of [`balancer::api`].

use crate::raw::{RawClass, RawPermissions, RawReport, RawSafety, RawSettings};
use balancer::api::{
    Class, DedupScope, Idempotency, LoadReportFields, Permissions, SafetyLimits, Settings, SettingsError,
    SettingsProblem, Tenant,
};

/// Maximum number of machine kinds: the balancer stores their number and indices in one byte.
const MAX_MACHINE_KINDS: usize = 255;

/// Parses and validates settings in JSON. Unknown keys are ignored.
///
/// # Errors
/// The first key that is missing, has the wrong type, or has a value out of its range.
pub fn parse_settings(json: &[u8]) -> Result<Settings, SettingsError> {
    let mut json = serde_json::Deserializer::from_slice(json);
    let raw: RawSettings = serde_path_to_error::deserialize(&mut json).map_err(|error| {
        let field = match error.path().to_string() {
            path if path == "." => "settings".to_owned(),
            path => format!("settings.{path}"),
        };
        SettingsError { field, problem: SettingsProblem::Malformed(error.inner().to_string()) }
    })?;
    let settings = raw.into_settings()?;
    settings.validate()?;
    Ok(settings)
}

fn unknown_value(field: &str, value: &str) -> SettingsError {
    SettingsError { field: field.into(), problem: SettingsProblem::UnknownValue { value: value.into() } }
}

impl RawSettings {
    fn into_settings(self) -> Result<Settings, SettingsError> {
        let classes = self.classes.iter().enumerate().map(|(index, class)| class.to_class(index));
        let classes = classes.collect::<Result<_, _>>()?;
        Ok(Settings {
            instance_index: self.instance_index,
            instance_count: self.instance_count,
            zone: self.zone,
            zone_count: self.zones.len().max(1) as u16,
            machine_kind_count: self.machine_kinds.len().clamp(1, MAX_MACHINE_KINDS) as u8,
            discovery_on_request: is_discovery_on_request(&self.membership_mode)?,
            key_affinity: self.family.key_affinity,
            classes,
            tenants: self.tenants.iter().map(|raw| Tenant { quota_per_s: raw.quota_per_s }).collect(),
            over_quota_weight: self.over_quota_weight,
            cross_zone_cost: self.penalties.cross_zone_cost,
            health_check_cost: self.penalties.health_check_cost,
            load_report_fields: self.load_report.to_fields(),
            load_report_by_health_check: self.load_report.source == "probe",
            permissions: self.permissions.into(),
            safety: self.safety.into(),
        })
    }
}

fn is_discovery_on_request(membership_mode: &str) -> Result<bool, SettingsError> {
    match membership_mode {
        "pushed" => Ok(false),
        "on_request" => Ok(true),
        other => Err(unknown_value("membershipMode", other)),
    }
}

impl RawClass {
    /// `index` is the position of the class in the settings and is used in errors only.
    fn to_class(&self, index: usize) -> Result<Class, SettingsError> {
        Ok(Class {
            latency_objective: self.latency_objective,
            objective_work_factor: self.objective_work_factor,
            deadline: self.deadline,
            priority_weight: self.priority_weight,
            late_weight_fraction: self.late_weight_fraction,
            idempotency: self.to_idempotency(index)?,
        })
    }

    fn to_idempotency(&self, index: usize) -> Result<Idempotency, SettingsError> {
        match self.idempotency.as_str() {
            "retryable" => Ok(Idempotency::Idempotent),
            "fragile" => Ok(Idempotency::NonIdempotent),
            "dedup" => Ok(Idempotency::Keyed { scope: self.to_dedup_scope(index)?, ttl: self.key_ttl }),
            other => Err(unknown_value(&format!("classes[{index}].effect"), other)),
        }
    }

    fn to_dedup_scope(&self, index: usize) -> Result<DedupScope, SettingsError> {
        match self.dedup_scope.as_str() {
            "all" => Ok(DedupScope::All),
            "zone" => Ok(DedupScope::Zone),
            "cell" => Ok(DedupScope::Cell),
            other => Err(unknown_value(&format!("classes[{index}].group"), other)),
        }
    }
}

impl RawReport {
    fn to_fields(&self) -> LoadReportFields {
        let position = |name: &str| self.fields.iter().position(|field| field == name);
        LoadReportFields {
            in_flight: position("active"),
            queued: position("waiting"),
            mean_service_ms: position("avg_ms"),
        }
    }
}

impl From<RawPermissions> for Permissions {
    fn from(raw: RawPermissions) -> Self {
        Self {
            max_attempts: raw.max_attempts,
            hedging: raw.hedging,
            cancellation: raw.cancellation,
            health_checks: raw.health_checks,
            idle_connection_timeout: raw.idle_connection_timeout,
            streams_per_connection: raw.streams_per_connection,
            max_retry_after: raw.honours_retry_after.then_some(raw.max_retry_after),
        }
    }
}

impl From<RawSafety> for SafetyLimits {
    fn from(raw: RawSafety) -> Self {
        Self {
            max_poll_interval: raw.max_poll_interval,
            initial_capacity: raw.initial_capacity,
            warm_up_duration: raw.warm_up_duration,
            overload_factor: raw.overload_factor,
            overload_window: raw.overload_window,
        }
    }
}
