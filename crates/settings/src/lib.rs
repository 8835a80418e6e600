//! The settings of the decisions in JSON, as the simulator sends them and a configuration holds them.

pub mod renewal;

use balancer::api::{
    Class, DedupGroup, Effect, Micros, Permissions, ReportFields, Safety, Settings, SettingsError, Tenant,
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
        "retryable" => Effect::Safe,
        "fragile" => Effect::Unsafe,
        "dedup" => {
            let group = match raw.group.as_str() {
                "all" => DedupGroup::All,
                "zone" => DedupGroup::Zone,
                "cell" => DedupGroup::Cell,
                other => return Err(unknown(&format!("classes[{index}].group"), other)),
            };
            Effect::Keyed { group, ttl: raw.key_ttl_us }
        }
        other => return Err(unknown(&format!("classes[{index}].effect"), other)),
    };
    Ok(Class {
        aim: raw.aim_us,
        aim_stretch: raw.aim_stretch,
        deadline: raw.deadline_us,
        worth: raw.worth,
        late_worth: raw.late_worth,
        effect,
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
        me: raw.me,
        balancers: raw.balancers,
        zone: raw.zone,
        zones: raw.failure_domains.len().max(1) as u16,
        kinds: raw.kinds.len().clamp(1, 255) as u8,
        discovery_on_request: match raw.membership_mode.as_str() {
            "pushed" => false,
            "on_request" => true,
            other => return Err(unknown("membershipMode", other)),
        },
        warm_keys: raw.family_info.warm_keys,
        classes,
        tenants: raw.tenants.iter().map(|t| Tenant { allowance_per_s: t.allowance_per_s }).collect(),
        over_share_worth: raw.over_share_worth,
        cross_zone_price: raw.penalties.cross_zone,
        probe_price: raw.penalties.probe,
        report: ReportFields {
            active: position("active"),
            waiting: position("waiting"),
            avg_ms: position("avg_ms"),
        },
        report_by_probe: raw.load_report.via == "probe",
        permissions: Permissions {
            max_attempts: raw.permissions.max_attempts,
            second_copies: raw.permissions.second_copies,
            cancel: raw.permissions.cancel,
            probes: raw.permissions.probes,
            conn_idle: raw.permissions.conn_idle_us,
            multiplex: raw.permissions.multiplex,
            retry_after: raw.permissions.retry_after.then_some(raw.permissions.max_retry_after_us),
        },
        safety: Safety {
            ask_within: raw.safety.ask_within_us,
            cold_from: raw.safety.cold_from,
            cold_time: raw.safety.cold_us,
            fall_multiple: raw.safety.fall_multiple,
            fall_time: raw.safety.fall_us,
        },
    };
    settings.validate()?;
    Ok(settings)
}
