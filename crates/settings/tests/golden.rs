//! Golden file of the settings in JSON: every key with a value of its own, and what each of them becomes.

use balancer::api::{DedupGroup, Effect, Settings};
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
    assert_eq!((settings.me, settings.balancers, settings.zone), (3, 11, 1));
    assert_eq!((settings.zones, settings.kinds), (2, 3));
    assert!(settings.discovery_on_request && settings.warm_keys && settings.report_by_probe);
    assert_eq!(settings.over_share_worth, 0.125);
    assert_eq!((settings.cross_zone_price, settings.probe_price), (0.25, 0.0625));
    let report = settings.report;
    assert_eq!((report.avg_ms, report.active, report.waiting), (Some(0), Some(1), Some(2)));
    assert_eq!(settings.tenants.iter().map(|t| t.allowance_per_s).collect::<Vec<_>>(), [12.5, 0.0]);
}

#[test]
fn figures_of_classes_come_from_their_keys() {
    let settings = settings();
    let effects: Vec<Effect> = settings.classes.iter().map(|class| class.effect).collect();
    let keyed = |group| Effect::Keyed { group, ttl: 3_000_001 };
    let groups = [DedupGroup::All, DedupGroup::Zone, DedupGroup::Cell].map(keyed);
    assert_eq!(effects, [&[Effect::Safe, Effect::Unsafe], &groups[..]].concat());
    let class = &settings.classes[0];
    assert_eq!((class.aim, class.deadline, class.aim_stretch), (500_001, 900_002, 1.5));
    assert_eq!((class.worth, class.late_worth), (2.5, 0.75));
}

#[test]
fn permissions_and_rules_come_from_their_keys() {
    let settings = settings();
    let permissions = settings.permissions;
    assert_eq!((permissions.max_attempts, permissions.multiplex), (5, 2));
    assert!(permissions.second_copies && permissions.cancel && permissions.probes);
    assert_eq!((permissions.conn_idle, permissions.retry_after), (15_000_003, Some(2_000_004)));
    let safety = settings.safety;
    assert_eq!((safety.ask_within, safety.cold_time, safety.fall_time), (10_000_005, 8_200_006, 2_000_007));
    assert_eq!((safety.cold_from, safety.fall_multiple), (0.33, 3.5));
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
