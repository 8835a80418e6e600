//! Tests of reloads: new settings are applied completely or not at all.

use balancer::api::{Idempotency, Settings};
use proptest::prelude::*;
use serde_json::{Value, json};
use settings::parse_settings;
use settings::reload::{ClassIndices, MAX_CLASSES, ReloadError, check_required_keys, restart_only_keys};

fn class(name: &str, effect: &str, deadline: u64) -> Value {
    let mut class = json!({"name": name, "effect": effect, "aimUs": 100, "deadlineUs": deadline, "worth": 1.0,
                           "lateWorth": 0.5});
    if effect == "dedup" {
        class["group"] = json!("cell");
        class["keyTtlUs"] = json!(3_000);
    }
    class
}

fn settings_json(classes: &[Value]) -> Value {
    json!({"me": 0, "balancers": 2, "zone": 0, "failureDomains": ["a"], "kinds": ["m"], "membershipMode": "pushed",
           "classes": classes, "penalties": {"crossZone": 0.1, "probe": 0.01},
           "permissions": {"maxAttempts": 4, "probes": true, "retryAfter": false},
           "safety": {"coldFrom": 0.3, "coldUs": 8_000, "fallMultiple": 3.0, "fallUs": 2_000}})
}

/// Parses settings; returns them with the names of their classes.
fn parse(json: &Value) -> (Settings, Vec<String>) {
    let settings = parse_settings(json.to_string().as_bytes()).expect("valid settings");
    let names = json["classes"].as_array().expect("classes").iter();
    (settings, names.map(|class| class["name"].as_str().expect("a name").to_owned()).collect())
}

fn named(classes: &ClassIndices) -> Vec<(usize, &str)> {
    classes.named().collect()
}

#[test]
fn classes_keep_their_indices_while_others_are_added_and_removed() {
    let (old, names) = parse(&settings_json(&[class("read", "retryable", 900), class("lift", "dedup", 900)]));
    let mut classes = ClassIndices::new(&names).expect("names");
    // "lift" is removed, "read" has another deadline, "view" is new, and the order differs.
    let (new, names) =
        parse(&settings_json(&[class("view", "fragile", 900), class("read", "retryable", 700)]));
    let second = classes.reload(&old, &new, &names).expect("valid settings");
    assert_eq!(named(&classes), [(2, "view"), (3, "read")]);
    assert_eq!(second.classes[..2], old.classes[..], "open requests find their classes at the same indices");
    assert_eq!(
        (second.classes[2].idempotency, second.classes[3].deadline),
        (Idempotency::NonIdempotent, 700)
    );
    // Neither a reload of the same classes nor another number of attempts uses a new index.
    let mut fewer = settings_json(&[class("read", "retryable", 700), class("view", "fragile", 900)]);
    fewer["permissions"]["maxAttempts"] = json!(1);
    fewer["balancers"] = json!(7);
    let (new, names) = parse(&fewer);
    let third = classes.reload(&second, &new, &names).expect("valid settings");
    assert_eq!(named(&classes), [(2, "view"), (3, "read")]);
    assert_eq!((third.classes.len(), third.permissions.max_attempts, third.instance_count), (4, 1, 2));
}

#[test]
fn rejected_settings_change_nothing() {
    let (old, names) = parse(&settings_json(&[class("read", "retryable", 900)]));
    let mut classes = ClassIndices::new(&names).expect("names");
    let duplicate = settings_json(&[class("read", "retryable", 800), class("read", "fragile", 800)]);
    let (new, names) = parse(&duplicate);
    assert_eq!(
        classes.reload(&old, &new, &names),
        Err(ReloadError::DuplicateName { index: 1, name: "read".into() })
    );
    let mut no_ttl = settings_json(&[class("read", "retryable", 900), class("lift", "dedup", 900)]);
    no_ttl["classes"][1].as_object_mut().expect("a class").remove("keyTtlUs");
    let (new, names) = parse(&no_ttl);
    assert_eq!(classes.reload(&old, &new, &names), Err(ReloadError::MissingTtl { index: 1 }));
    assert_eq!(named(&classes), [(0, "read")]);
    // Each reload with a changed class uses one index, until all are used.
    let (mut settings, mut is_full) = (old, false);
    for reload in 0..MAX_CLASSES as u64 {
        let (new, names) = parse(&settings_json(&[class("read", "retryable", 1_000 + reload)]));
        match classes.reload(&settings, &new, &names) {
            Ok(merged) => settings = merged,
            Err(error) => {
                assert_eq!((error, settings.classes.len()), (ReloadError::TooManyClasses, MAX_CLASSES));
                is_full = true;
            }
        }
    }
    assert!(is_full);
}

#[test]
fn names_a_missing_key_or_a_wrong_type() {
    let current = json!({"listen": "x", "known": {"members": [{"id": 1}]}, "limits": {"cores": 1.0},
                         "settings": settings_json(&[class("read", "retryable", 900), class("lift", "dedup", 900)])});
    assert_eq!(check_required_keys(&current, &current), Ok(()));
    let without = |path: &[&str]| {
        let mut new = current.clone();
        let (last, parents) = path.split_last().expect("a path");
        let parent = parents.iter().fold(&mut new, |value, key| match key.parse::<usize>() {
            Ok(index) => &mut value[index],
            Err(_) => &mut value[*key],
        });
        parent.as_object_mut().expect("an object").remove(*last);
        check_required_keys(&current, &new)
    };
    let missing = |path: &str| Err(ReloadError::MissingKey { path: path.into() });
    assert_eq!(without(&["settings"]), missing("settings"));
    assert_eq!(without(&["known"]), missing("known"));
    assert_eq!(without(&["settings", "penalties", "probe"]), missing("settings.penalties.probe"));
    assert_eq!(without(&["settings", "classes", "1", "lateWorth"]), missing("settings.classes[1].lateWorth"));
    // Only a keyed class has a `group`; parsing checks that it has one.
    assert_eq!(without(&["settings", "classes", "1", "group"]), Ok(()));
    let mut text = current.clone();
    text["settings"]["classes"][0]["deadlineUs"] = json!("900");
    let wrong_type = ReloadError::WrongType {
        path: "settings.classes[0].deadlineUs".into(),
        actual: "a string",
        expected: "a number",
    };
    assert_eq!(check_required_keys(&current, &text), Err(wrong_type));
    let mut other = current.clone();
    other["known"] = json!({"members": []});
    other["settings"]["classes"] = json!([class("view", "fragile", 1)]);
    assert_eq!(check_required_keys(&current, &other), Ok(()), "data and the number of classes may differ");
}

/// Guards against a comparison of each new entry with all current ones: with twenty times the tenants it
/// would take four hundred times as long instead of about twenty times.
#[test]
fn compares_a_long_list_in_linear_time() {
    let comparison_time = |tenants: usize| {
        let list: Vec<Value> =
            (0..tenants).map(|n| json!({"name": n.to_string(), "allowancePerS": 1.0})).collect();
        let current = json!({"settings": {"tenants": list}});
        let measure = |_| {
            let start = std::time::Instant::now();
            assert_eq!(check_required_keys(&current, &current), Ok(()));
            start.elapsed()
        };
        (0..5).map(measure).min().expect("five measurements")
    };
    let (few, many) = (comparison_time(200), comparison_time(4_000));
    assert!(many < few * 100, "200 tenants take {few:?} and 4,000 take {many:?}");
}

/// A change that makes settings invalid.
type Change = fn(&mut Value);

#[test]
fn names_an_invalid_value_by_its_path() {
    let error_after = |change: Change| {
        let mut json = settings_json(&[class("read", "retryable", 900), class("lift", "dedup", 900)]);
        change(&mut json);
        parse_settings(json.to_string().as_bytes()).expect_err("invalid settings").to_string()
    };
    let cases: [(Change, &str); 6] = [
        (|json| json["classes"][1]["deadlineUs"] = json!(0), "classes[1].deadline"),
        (|json| json["classes"][1]["deadlineUs"] = json!(-5), "classes[1].deadlineUs"),
        (|json| json["classes"][0]["worth"] = json!("much"), "classes[0].worth"),
        (|json| json["permissions"]["maxAttempts"] = json!(0), "max_attempts"),
        (|json| json["permissions"]["maxAttempts"] = json!(1.5), "permissions.maxAttempts"),
        (|json| json["classes"] = json!([]), "classes"),
    ];
    for (change, path) in cases {
        let error = error_after(change);
        assert!(error.contains(path), "{error}");
    }
}

proptest! {
    /// Guards against a truncated file that is accepted as a complete one.
    #[test]
    fn rejects_truncated_settings(part in 0.0_f64..1.0) {
        let text = settings_json(&[class("read", "retryable", 900), class("lift", "dedup", 900)]).to_string();
        let length = (text.len() as f64 * part) as usize;
        prop_assert!(parse_settings(&text.as_bytes()[..length]).is_err());
    }

    /// After any sequence of reloads each current class has an index with its own settings, and no earlier
    /// index has changed.
    #[test]
    fn class_indices_are_stable_over_reloads(class_sets in proptest::collection::vec(
        proptest::collection::btree_map("[a-d]", (0_usize..3, 1_u64..4), 1..4), 1..12)
    ) {
        let effects = ["retryable", "dedup", "fragile"];
        let reloads: Vec<_> = class_sets.iter().map(|class_set| {
            let classes = class_set.iter().map(|(name, (effect, deadline))| class(name, effects[*effect], deadline * 100));
            parse(&settings_json(&classes.collect::<Vec<_>>()))
        }).collect();
        let mut classes = ClassIndices::new(&reloads[0].1).expect("names");
        let mut settings = reloads[0].0.clone();
        for (new, names) in &reloads[1..] {
            let merged = classes.reload(&settings, new, names).expect("valid settings");
            prop_assert_eq!(&merged.classes[..settings.classes.len()], &settings.classes[..]);
            prop_assert_eq!(classes.named().count(), names.len());
            for (index, name) in classes.named() {
                let index_in_file = names.iter().position(|n| n == name).expect("a current class");
                prop_assert_eq!(&merged.classes[index], &new.classes[index_in_file]);
            }
            settings = merged;
        }
    }
}

#[test]
fn names_exactly_the_changed_keys_that_require_a_restart() {
    let configuration =
        |settings: Value| json!({"name": "n", "listen": "127.0.0.1:1", "seed": 1, "settings": settings});
    let start = configuration(settings_json(&[class("read", "retryable", 200)]));
    assert!(restart_only_keys(&start, &start).is_empty());
    let mut changed = configuration(settings_json(&[class("view", "fragile", 900)]));
    changed["seed"] = json!(2);
    changed["settings"]["permissions"]["maxAttempts"] = json!(1);
    assert!(restart_only_keys(&start, &changed).is_empty(), "classes and permissions are reloaded");
    changed["limits"] = json!({"sockets": 9});
    changed["settings"]["tenants"] = json!([{"name": "t"}]);
    changed["settings"]["membershipMode"] = json!("on_request");
    let expected = ["limits", "settings.membershipMode", "settings.tenants"];
    assert_eq!(restart_only_keys(&start, &changed), expected);
}
