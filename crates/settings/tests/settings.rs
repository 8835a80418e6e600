//! Tests of the parsing of settings, and of errors that name the key.

use balancer::api::*;
use settings::parse_settings;

const SETTINGS: &str = r#"{"balancers": 5, "me": 2, "zone": 1, "failureDomains": ["a", "b"], "kinds": ["x"],
  "membershipMode": "on_request", "surprise": {"more": 1}, "familyInfo": {"warmKeys": true}, "weights": "rough",
  "classes": [{"aimUs": 500000, "deadlineUs": 900000, "effect": "dedup", "group": "cell", "keyTtlUs": 3000000,
               "lateWorth": 0.5, "name": "n", "streamed": false, "worth": 2.0}],
  "tenants": [{"name": "t", "allowancePerS": 12.5, "share": 1.0}], "overShareWorth": 0.1,
  "penalties": {"crossZone": 0.12, "probe": 0.01}, "loadReport": {"fields": ["avg_ms", "active"], "via": "answers"},
  "permissions": {"cancel": true, "maxAttempts": 5, "maxRetryAfterUs": 7, "probes": false, "retryAfter": true,
                  "secondCopies": true},
  "safety": {"askWithinUs": 10000000, "coldFrom": 0.33, "coldUs": 8199999, "fallMultiple": 3.0, "fallUs": 2000000}}"#;

#[test]
fn parses_settings_and_ignores_unknown_keys() {
    let settings = parse_settings(SETTINGS.as_bytes()).expect("valid settings");
    assert!(settings.discovery_on_request && settings.key_affinity);
    assert_eq!(
        (settings.instance_index, settings.instance_count, settings.zone, settings.zone_count),
        (2, 5, 1, 2)
    );
    let keyed = Idempotency::Keyed { scope: DedupScope::Cell, ttl: 3_000_000 };
    assert_eq!(settings.classes[0].idempotency, keyed);
    assert_eq!(
        (
            settings.load_report_fields.in_flight,
            settings.load_report_fields.mean_service_ms,
            settings.load_report_fields.queued
        ),
        (Some(1), Some(0), None)
    );
    assert_eq!(settings.permissions.max_retry_after, Some(7));
    assert_eq!(settings.tenants[0].quota_per_s, 12.5);
}

#[test]
fn names_the_key_of_an_invalid_setting() {
    let replacements = [
        (r#""balancers": 5"#, r#""balancers": 0"#, "balancers"),
        (r#""aimUs": 500000"#, r#""aimUs": 0"#, "classes[0].aim"),
        (r#""effect": "dedup""#, r#""effect": "magic""#, "classes[0].effect"),
        (r#""group": "cell""#, r#""group": "moon""#, "classes[0].group"),
        (r#""coldFrom": 0.33"#, r#""coldFrom": 7"#, "cold_from"),
        (r#""membershipMode": "on_request""#, r#""membershipMode": "guess""#, "membershipMode"),
    ];
    for (valid, invalid, field) in replacements {
        let json = SETTINGS.replace(valid, invalid);
        assert_ne!(json, SETTINGS);
        assert_eq!(parse_settings(json.as_bytes()).expect_err("invalid settings").field, field);
    }
    let missing = parse_settings(SETTINGS.replace("\"safety\"", "\"sagety\"").as_bytes());
    assert!(missing.expect_err("a key is missing").problem.to_string().contains("safety"));
}

/// Guards against a tenant index that wraps around, so that two tenants would use the same quota.
#[test]
fn rejects_more_tenants_than_an_index_can_distinguish() {
    let parsed_tenants = |tenants: usize| {
        let list = vec![r#"{"name": "t", "allowancePerS": 1.0}"#; tenants].join(",");
        let json = SETTINGS.replace(r#"{"name": "t", "allowancePerS": 12.5, "share": 1.0}"#, &list);
        parse_settings(json.as_bytes()).map(|settings| settings.tenants.len())
    };
    assert_eq!(parsed_tenants(MAX_TENANTS), Ok(MAX_TENANTS));
    let error = parsed_tenants(MAX_TENANTS + 1).expect_err("one more than the maximum");
    assert_eq!(error.field, "tenants");
    let problem = error.problem.to_string();
    assert!(problem.contains("65537") && problem.contains("65536"), "{error}");
}
