//! Golden file of the settings in JSON: every key with a value of its own, and what each of them becomes.

use balancer::api::{DedupScope, Idempotency, Settings};
use golden_files::GoldenFiles;
use settings::parse_settings;
use std::collections::BTreeSet;

fn golden() -> GoldenFiles {
    GoldenFiles::of_crate(env!("CARGO_MANIFEST_DIR"))
}

fn settings() -> Settings {
    parse_settings(&golden().read("settings.json")).expect("good settings")
}

#[test]
fn figures_of_the_instance_come_from_their_keys() {
    let settings = settings();
    assert_eq!((settings.instance_index, settings.instance_count, settings.zone), (3, 11, 1));
    assert_eq!((settings.zone_count, settings.machine_kind_count), (2, 3));
    assert!(settings.discovery_on_request && settings.key_affinity && settings.load_report_by_health_check);
    assert_eq!(settings.over_quota_weight, 0.125);
    assert_eq!((settings.cross_zone_cost, settings.health_check_cost), (0.25, 0.0625));
    let report = settings.load_report;
    assert_eq!((report.mean_service_ms, report.in_flight, report.queued), (Some(0), Some(1), Some(2)));
    assert_eq!(settings.tenants.iter().map(|t| t.quota_per_s).collect::<Vec<_>>(), [12.5, 0.0]);
}

#[test]
fn figures_of_classes_come_from_their_keys() {
    let settings = settings();
    let effects: Vec<Idempotency> = settings.classes.iter().map(|class| class.idempotency).collect();
    let keyed = |group| Idempotency::Keyed { scope: group, ttl: 3_000_001 };
    let groups = [DedupScope::All, DedupScope::Zone, DedupScope::Cell].map(keyed);
    assert_eq!(effects, [&[Idempotency::Idempotent, Idempotency::NonIdempotent], &groups[..]].concat());
    let class = &settings.classes[0];
    assert_eq!(
        (class.latency_objective, class.deadline, class.objective_work_factor),
        (500_001, 900_002, 1.5)
    );
    assert_eq!((class.priority_weight, class.late_weight_fraction), (2.5, 0.75));
}

#[test]
fn permissions_and_rules_come_from_their_keys() {
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

/// Without one of these keys there are no settings; every other key may be left out.
#[test]
fn the_keys_that_may_not_be_left_out_keep_their_names() {
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
