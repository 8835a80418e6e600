use super::*;
use balancer::api::{Class, DedupScope, Settings};
use request_engine::class_registry::PREVIOUS_CLASS_GRACE_PERIOD;
use settings::parse_settings;
use settings::reload::ClassIndices;

const KEYED: Idempotency = Idempotency::Keyed { scope: DedupScope::All, ttl: 9 };

fn settings(classes: &[Idempotency]) -> Settings {
    let text = r#"{"balancers": 1, "me": 0, "zone": 0, "membershipMode": "pushed", "classes": [{"aimUs": 1,
        "deadlineUs": 1, "worth": 1, "effect": "retryable"}], "permissions": {"maxAttempts": 1},
        "safety": {"coldFrom": 0.3, "coldUs": 1, "fallMultiple": 3, "fallUs": 1}}"#;
    let mut settings = parse_settings(text.as_bytes()).expect("settings");
    let template = settings.classes[0].clone();
    settings.classes = classes.iter().map(|&idempotency| Class { idempotency, ..template.clone() }).collect();
    settings
}

/// Clients apply new settings 1.2 s later than the proxy. Until then a request may have been sent under
/// either version of its class.
#[test]
fn applies_the_stricter_version_within_the_grace_period() {
    let keyed = |scope, ttl| Idempotency::Keyed { scope, ttl };
    let (cell, zone) = (keyed(DedupScope::Cell, 9), keyed(DedupScope::Zone, 9));
    let cases = [(cell, zone, 0), (zone, cell, 1), (keyed(DedupScope::Cell, 5), cell, 0), (KEYED, zone, 1)];
    for (previous, current, expected) in cases {
        let mut classes = ClassRegistry::default();
        classes.update(0, &settings(&[previous]), std::iter::once((0, "lift")));
        classes.update(100, &settings(&[previous, current]), std::iter::once((1, "lift")));
        let index = |at| find_class(&classes, at, "lift", &Method::POST, true).map(|class| class.index);
        assert_eq!(index(100), Ok(expected), "{previous:?} {current:?}");
        assert_eq!(index(100 + PREVIOUS_CLASS_GRACE_PERIOD), Ok(1), "{previous:?} {current:?}");
    }
}

#[test]
fn serves_a_removed_or_changed_class_within_the_grace_period() {
    let mut classes = ClassRegistry::default();
    classes.update(0, &settings(&[Idempotency::Idempotent, KEYED]), [(0, "read"), (1, "lift")].into_iter());
    let index = |classes: &ClassRegistry, now, name: &str, method: Method, has_key| {
        find_class(classes, now, name, &method, has_key).map(|class| class.index)
    };
    assert_eq!(index(&classes, 0, "read", Method::GET, false), Ok(0));
    assert_eq!(index(&classes, 0, "read", Method::POST, false), Err(ClassMismatch::MethodNotAllowed));
    assert_eq!(index(&classes, 0, "lift", Method::POST, false), Err(ClassMismatch::MissingKey));
    assert_eq!(index(&classes, 0, "none", Method::GET, false), Err(ClassMismatch::UnknownClass));
    // "read" becomes non-idempotent and gets another index, "lift" is removed, "view" is added.
    let changed =
        settings(&[Idempotency::Idempotent, KEYED, Idempotency::NonIdempotent, Idempotency::Idempotent]);
    classes.update(100, &changed, [(2, "read"), (3, "view")].into_iter());
    let grace_end = 100 + PREVIOUS_CLASS_GRACE_PERIOD - 1;
    for now in [100, grace_end] {
        assert_eq!(index(&classes, now, "read", Method::GET, false), Ok(0), "the previous version");
        assert_eq!(index(&classes, now, "read", Method::POST, false), Ok(2), "the current version");
        assert_eq!(index(&classes, now, "lift", Method::POST, true), Ok(1));
        assert_eq!(index(&classes, now, "view", Method::GET, false), Ok(3));
    }
    let after = grace_end + 1;
    assert_eq!(index(&classes, after, "read", Method::GET, false), Err(ClassMismatch::MethodNotAllowed));
    assert_eq!(index(&classes, after, "lift", Method::POST, true), Err(ClassMismatch::UnknownClass));
    // Applying the same settings once more changes nothing and drops expired versions.
    classes.update(after, &changed, [(2, "read"), (3, "view")].into_iter());
    assert_eq!(classes.len(), 2);
    assert_eq!(index(&classes, after, "read", Method::POST, false), Ok(2));
}

/// Guards against a duplicate effect: a retry stays within the narrower scope of the two versions, but
/// continues for the longer time, although backends that use the other version have already dropped the key.
#[test]
fn applies_the_narrower_scope_and_the_shorter_ttl_of_two_versions() {
    let keyed = |scope, ttl| Idempotency::Keyed { scope, ttl };
    let wide_and_short = keyed(DedupScope::Zone, 5);
    let narrow_and_long = keyed(DedupScope::Cell, 9);
    for (previous, current) in [(wide_and_short, narrow_and_long), (narrow_and_long, wide_and_short)] {
        let names = ["lift".to_owned()];
        let mut indices = ClassIndices::new(&names).expect("names");
        let first = settings(&[previous]);
        let mut classes = ClassRegistry::default();
        classes.update(0, &first, indices.named());
        let second = indices.reload(&first, &settings(&[current]), &names).expect("good settings");
        classes.update(100, &second, indices.named());
        let applied = |classes: &ClassRegistry, at| {
            find_class(classes, at, "lift", &Method::POST, true).expect("a class").idempotency
        };
        let grace_end = 100 + PREVIOUS_CLASS_GRACE_PERIOD;
        assert_eq!(applied(&classes, 100), keyed(DedupScope::Cell, 5), "{previous:?} {current:?}");
        assert_eq!(applied(&classes, grace_end), current, "{previous:?} {current:?}");
        // The same settings, which a second reload signal applies once more, change nothing.
        let third = indices.reload(&second, &settings(&[current]), &names).expect("good settings");
        classes.update(200, &third, indices.named());
        assert_eq!(third.classes, second.classes);
        assert_eq!(applied(&classes, grace_end - 1), keyed(DedupScope::Cell, 5), "{previous:?} {current:?}");
    }
}
