use super::*;
use settings::parse_settings;

fn settings(classes: &[Idempotency]) -> Settings {
    let text = r#"{"balancers": 1, "me": 0, "zone": 0, "membershipMode": "pushed", "classes": [{"aimUs": 1,
        "deadlineUs": 1, "worth": 1, "effect": "retryable"}], "permissions": {"maxAttempts": 1},
        "safety": {"coldFrom": 0.3, "coldUs": 1, "fallMultiple": 3, "fallUs": 1}}"#;
    let mut settings = parse_settings(text.as_bytes()).expect("settings");
    let like = settings.classes[0].clone();
    settings.classes =
        classes.iter().map(|&effect| Decided { idempotency: effect, ..like.clone() }).collect();
    settings
}

const KEYED: Idempotency = Idempotency::Keyed { scope: DedupScope::All, ttl: 9 };

/// Clients take up new settings 1.2 s later: until then a request may be meant under the narrower of two rules.
#[test]
fn while_clients_may_not_know_yet_the_narrower_of_two_rules_counts() {
    let keyed = |group, ttl| Idempotency::Keyed { scope: group, ttl };
    let (cell, zone) = (keyed(DedupScope::Cell, 9), keyed(DedupScope::Zone, 9));
    let cases = [(cell, zone, 0), (zone, cell, 1), (keyed(DedupScope::Cell, 5), cell, 0), (KEYED, zone, 1)];
    for (before, now, counts) in cases {
        let mut classes = Classes::default();
        classes.hold(0, &settings(&[before]), std::iter::once((0, "lift")));
        classes.hold(100, &settings(&[before, now]), std::iter::once((1, "lift")));
        let place = |at| classes.find(at, "lift", &Method::POST, true).map(|class| class.place);
        assert_eq!(place(100), Ok(counts), "{before:?} {now:?}");
        assert_eq!(place(100 + STILL_SERVED), Ok(1), "{before:?} {now:?}");
    }
}

#[test]
fn a_class_that_was_dropped_or_changed_is_served_as_it_was_for_a_while() {
    let mut classes = Classes::default();
    classes.hold(0, &settings(&[Idempotency::Idempotent, KEYED]), [(0, "read"), (1, "lift")].into_iter());
    let place = |classes: &Classes, now, name: &str, method: Method, key| {
        classes.find(now, name, &method, key).map(|class| class.place)
    };
    assert_eq!(place(&classes, 0, "read", Method::GET, false), Ok(0));
    assert_eq!(place(&classes, 0, "read", Method::POST, false), Err(Misfit::Method));
    assert_eq!(place(&classes, 0, "lift", Method::POST, false), Err(Misfit::NoKey));
    assert_eq!(place(&classes, 0, "none", Method::GET, false), Err(Misfit::Unknown));
    // "read" becomes unsafe at a place of its own, "lift" is dropped, "view" is new.
    let changed =
        settings(&[Idempotency::Idempotent, KEYED, Idempotency::NonIdempotent, Idempotency::Idempotent]);
    classes.hold(100, &changed, [(2, "read"), (3, "view")].into_iter());
    let soon = 100 + STILL_SERVED - 1;
    for now in [100, soon] {
        assert_eq!(place(&classes, now, "read", Method::GET, false), Ok(0), "as it was");
        assert_eq!(place(&classes, now, "read", Method::POST, false), Ok(2), "as it is");
        assert_eq!(place(&classes, now, "lift", Method::POST, true), Ok(1));
        assert_eq!(place(&classes, now, "view", Method::GET, false), Ok(3));
    }
    assert_eq!(place(&classes, soon + 1, "read", Method::GET, false), Err(Misfit::Method));
    assert_eq!(place(&classes, soon + 1, "lift", Method::POST, true), Err(Misfit::Unknown));
    // The same settings once more change nothing, and forget what is over.
    classes.hold(soon + 1, &changed, [(2, "read"), (3, "view")].into_iter());
    assert_eq!(classes.entries.len(), 2);
    assert_eq!(place(&classes, soon + 1, "read", Method::POST, false), Ok(2));
}
