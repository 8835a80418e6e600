//! Tests with a golden file of the settings in JSON, in which each key has a distinct value: the value is
//! expected in the field that the key maps to.

use balancer::api::{DedupScope, Idempotency, Settings};
use golden_files::GoldenFiles;
use settings::parse_settings;
use std::collections::BTreeSet;

fn golden() -> GoldenFiles {
    GoldenFiles::for_crate(env!("CARGO_MANIFEST_DIR"))
}

fn settings() -> Settings {
    parse_settings(&golden().read("settings.json")).expect("valid settings")
}

#[test]
fn instance_settings_are_read_from_their_keys() {
    let settings = settings();
    assert_eq!((settings.instance_index, settings.instance_count, settings.zone), (3, 11, 1));
    assert_eq!((settings.zone_count, settings.machine_kind_count), (2, 3));
    assert!(settings.discovery_on_request && settings.key_affinity && settings.load_report_by_health_check);
    assert_eq!(settings.over_quota_weight, 0.125);
    assert_eq!((settings.cross_zone_cost, settings.health_check_cost), (0.25, 0.0625));
    let report = settings.load_report_fields;
    assert_eq!((report.mean_service_ms, report.in_flight, report.queued), (Some(0), Some(1), Some(2)));
    assert_eq!(settings.tenants.iter().map(|t| t.quota_per_s).collect::<Vec<_>>(), [12.5, 0.0]);
}

#[test]
fn class_settings_are_read_from_their_keys() {
    let settings = settings();
    let idempotencies: Vec<Idempotency> = settings.classes.iter().map(|class| class.idempotency).collect();
    let keyed = |dedup_scope| Idempotency::Keyed { scope: dedup_scope, ttl: 3_000_001 };
    let keyed_in_scopes = [DedupScope::All, DedupScope::Zone, DedupScope::Cell].map(keyed);
    assert_eq!(
        idempotencies,
        [&[Idempotency::Idempotent, Idempotency::NonIdempotent], &keyed_in_scopes[..]].concat()
    );
    let class = &settings.classes[0];
    assert_eq!(
        (class.latency_objective, class.deadline, class.objective_work_factor),
        (500_001, 900_002, 1.5)
    );
    assert_eq!((class.priority_weight, class.late_weight_fraction), (2.5, 0.75));
}

#[test]
fn permissions_and_safety_limits_are_read_from_their_keys() {
    let settings = settings();
    let permissions = settings.permissions;
    assert_eq!((permissions.max_attempts, permissions.streams_per_connection), (5, 2));
    assert!(permissions.hedging && permissions.cancellation && permissions.health_checks);
    assert_eq!(
        (permissions.idle_connection_timeout, permissions.max_retry_after),
        (15_000_003, Some(2_000_004))
    );
    let safety = settings.safety;
    assert_eq!(
        (safety.max_poll_interval, safety.warm_up_duration, safety.overload_window),
        (10_000_005, 8_200_006, 2_000_007)
    );
    assert_eq!((safety.initial_capacity, safety.overload_factor), (0.33, 3.5));
}

/// Guards against renamed keys, and against required keys that become optional or the reverse: the golden
/// file records the result of parsing without each key.
#[test]
fn required_and_optional_keys_are_unchanged() {
    let text = String::from_utf8(golden().read("settings.json")).expect("text");
    let is_key = |word: &&str| text.contains(&format!("\"{word}\":"));
    let keys: BTreeSet<&str> = text.split('"').filter(is_key).collect();
    let mut lines = Vec::new();
    for key in keys {
        let without = text.replacen(&format!("\"{key}\":"), &format!("\"no {key}\":"), 1);
        match parse_settings(without.as_bytes()) {
            Err(error) => lines.push(format!("{key}: {error}")),
            Ok(_) => lines.push(format!("{key}: may be left out")),
        }
    }
    golden().assert_lines("settings-keys.txt", &lines);
}
