//! The settings of the decisions in JSON, as the simulator sends them and a configuration holds them.

pub mod reload;

use balancer::api::{
    Class, DedupScope, Idempotency, LoadReportFields, Micros, Permissions, SafetyLimits, Settings,
    SettingsError, Tenant,
};
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawClass {
    aim_us: Micros,
    #[serde(default)]
    aim_stretch: f64,
    deadline_us: Micros,
    worth: f64,
    #[serde(default)]
    late_worth: f64,
    effect: String,
    #[serde(default)]
    group: String,
    #[serde(default)]
    key_ttl_us: Micros,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawTenant {
    #[serde(default)]
    allowance_per_s: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct RawPenalties {
    cross_zone: f64,
    probe: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawReport {
    fields: Vec<String>,
    via: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawPermissions {
    max_attempts: u16,
    #[serde(default)]
    second_copies: bool,
    #[serde(default)]
    cancel: bool,
    #[serde(default)]
    probes: bool,
    #[serde(default)]
    conn_idle_us: Micros,
    #[serde(default = "one")]
    multiplex: u32,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    max_retry_after_us: Micros,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawSafety {
    #[serde(default)]
    ask_within_us: Micros,
    cold_from: f64,
    cold_us: Micros,
    fall_multiple: f64,
    fall_us: Micros,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct RawFamily {
    warm_keys: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawSettings {
    me: u32,
    balancers: u32,
    zone: u16,
    #[serde(default)]
    failure_domains: Vec<String>,
    #[serde(default)]
    kinds: Vec<String>,
    membership_mode: String,
    #[serde(default)]
    family_info: RawFamily,
    classes: Vec<RawClass>,
    #[serde(default)]
    tenants: Vec<RawTenant>,
    #[serde(default)]
    over_share_worth: f64,
    #[serde(default)]
    penalties: RawPenalties,
    #[serde(default)]
    load_report: RawReport,
    permissions: RawPermissions,
    safety: RawSafety,
}

fn one() -> u32 {
    1
}

fn unknown(field: &str, value: &str) -> SettingsError {
    SettingsError { field: field.into(), problem: format!("unknown value `{value}`") }
}

fn class(index: usize, raw: &RawClass) -> Result<Class, SettingsError> {
    let effect = match raw.effect.as_str() {
        "retryable" => Idempotency::Idempotent,
        "fragile" => Idempotency::NonIdempotent,
        "dedup" => {
            let group = match raw.group.as_str() {
                "all" => DedupScope::All,
                "zone" => DedupScope::Zone,
                "cell" => DedupScope::Cell,
                other => return Err(unknown(&format!("classes[{index}].group"), other)),
            };
            Idempotency::Keyed { scope: group, ttl: raw.key_ttl_us }
        }
        other => return Err(unknown(&format!("classes[{index}].effect"), other)),
    };
    Ok(Class {
        latency_objective: raw.aim_us,
        objective_work_factor: raw.aim_stretch,
        deadline: raw.deadline_us,
        priority_weight: raw.worth,
        late_weight_fraction: raw.late_worth,
        idempotency: effect,
    })
}

/// Reads the settings from JSON text. Unknown keys are passed over.
///
/// # Errors
/// Names the key that is missing or makes no sense.
pub fn parse_settings(json: &[u8]) -> Result<Settings, SettingsError> {
    let mut json = serde_json::Deserializer::from_slice(json);
    let raw: RawSettings = serde_path_to_error::deserialize(&mut json).map_err(|e| {
        let field = match e.path().to_string() {
            path if path == "." => "settings".to_owned(),
            path => format!("settings.{path}"),
        };
        SettingsError { field, problem: e.inner().to_string() }
    })?;
    let position = |name: &str| raw.load_report.fields.iter().position(|f| f == name);
    let classes = raw.classes.iter().enumerate().map(|(i, c)| class(i, c)).collect::<Result<_, _>>()?;
    let settings = Settings {
        instance_index: raw.me,
        instance_count: raw.balancers,
        zone: raw.zone,
        zone_count: raw.failure_domains.len().max(1) as u16,
        machine_kind_count: raw.kinds.len().clamp(1, 255) as u8,
        discovery_on_request: match raw.membership_mode.as_str() {
            "pushed" => false,
            "on_request" => true,
            other => return Err(unknown("membershipMode", other)),
        },
        key_affinity: raw.family_info.warm_keys,
        classes,
        tenants: raw.tenants.iter().map(|t| Tenant { quota_per_s: t.allowance_per_s }).collect(),
        over_quota_weight: raw.over_share_worth,
        cross_zone_cost: raw.penalties.cross_zone,
        health_check_cost: raw.penalties.probe,
        load_report: LoadReportFields {
            in_flight: position("active"),
            queued: position("waiting"),
            mean_service_ms: position("avg_ms"),
        },
        load_report_by_health_check: raw.load_report.via == "probe",
        permissions: Permissions {
            max_attempts: raw.permissions.max_attempts,
            hedging: raw.permissions.second_copies,
            cancellation: raw.permissions.cancel,
            health_checks: raw.permissions.probes,
            idle_connection_timeout: raw.permissions.conn_idle_us,
            streams_per_connection: raw.permissions.multiplex,
            max_retry_after: raw.permissions.retry_after.then_some(raw.permissions.max_retry_after_us),
        },
        safety: SafetyLimits {
            max_poll_interval: raw.safety.ask_within_us,
            initial_capacity: raw.safety.cold_from,
            warm_up_duration: raw.safety.cold_us,
            overload_factor: raw.safety.fall_multiple,
            overload_window: raw.safety.fall_us,
        },
    };
    settings.validate()?;
    Ok(settings)
}
