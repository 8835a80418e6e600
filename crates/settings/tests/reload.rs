//! Settings that take the place of others: whole, or not at all.

use balancer::api::{Idempotency, Settings};
use proptest::prelude::*;
use serde_json::{Value, json};
use settings::parse_settings;
use settings::reload::{ClassIndices, MAX_CLASSES, ReloadError, has_all_keys, restart_only_keys};

fn class(name: &str, effect: &str, deadline: u64) -> Value {
    let mut class = json!({"name": name, "effect": effect, "aimUs": 100, "deadlineUs": deadline, "worth": 1.0,
                           "lateWorth": 0.5});
    if effect == "dedup" {
        class["group"] = json!("cell");
        class["keyTtlUs"] = json!(3_000);
    }
    class
}

fn file(classes: &[Value]) -> Value {
    json!({"me": 0, "balancers": 2, "zone": 0, "failureDomains": ["a"], "kinds": ["m"], "membershipMode": "pushed",
           "classes": classes, "penalties": {"crossZone": 0.1, "probe": 0.01},
           "permissions": {"maxAttempts": 4, "probes": true, "retryAfter": false},
           "safety": {"coldFrom": 0.3, "coldUs": 8_000, "fallMultiple": 3.0, "fallUs": 2_000}})
}

fn read(file: &Value) -> (Settings, Vec<String>) {
    let settings = parse_settings(file.to_string().as_bytes()).expect("good settings");
    let names = file["classes"].as_array().expect("classes").iter();
    (settings, names.map(|c| c["name"].as_str().expect("a name").to_owned()).collect())
}

fn places(classes: &ClassIndices) -> Vec<(usize, &str)> {
    classes.named().collect()
}

#[test]
fn classes_keep_their_places_while_others_come_and_go() {
    let (old, names) = read(&file(&[class("read", "retryable", 900), class("lift", "dedup", 900)]));
    let mut classes = ClassIndices::new(&names).expect("names");
    // "lift" is dropped, "read" has another deadline, "view" is new, and the order is another.
    let (new, names) = read(&file(&[class("view", "fragile", 900), class("read", "retryable", 700)]));
    let second = classes.renew(&old, &new, &names).expect("good settings");
    assert_eq!(places(&classes), [(2, "view"), (3, "read")]);
    assert_eq!(second.classes[..2], old.classes[..], "open requests find theirs where they were");
    assert_eq!(
        (second.classes[2].idempotency, second.classes[3].deadline),
        (Idempotency::NonIdempotent, 700)
    );
    // The same once more takes no further place; other attempts take none either.
    let mut fewer = file(&[class("read", "retryable", 700), class("view", "fragile", 900)]);
    fewer["permissions"]["maxAttempts"] = json!(1);
    fewer["balancers"] = json!(7);
    let (new, names) = read(&fewer);
    let third = classes.renew(&second, &new, &names).expect("good settings");
    assert_eq!(places(&classes), [(2, "view"), (3, "read")]);
    assert_eq!((third.classes.len(), third.permissions.max_attempts, third.instance_count), (4, 1, 2));
}

#[test]
fn what_cannot_take_the_place_changes_nothing() {
    let (old, names) = read(&file(&[class("read", "retryable", 900)]));
    let mut classes = ClassIndices::new(&names).expect("names");
    let twice = file(&[class("read", "retryable", 800), class("read", "fragile", 800)]);
    let (new, names) = read(&twice);
    assert_eq!(classes.renew(&old, &new, &names), Err(ReloadError::SameName(1, "read".into())));
    let mut no_ttl = file(&[class("read", "retryable", 900), class("lift", "dedup", 900)]);
    no_ttl["classes"][1].as_object_mut().expect("a class").remove("keyTtlUs");
    let (new, names) = read(&no_ttl);
    assert_eq!(classes.renew(&old, &new, &names), Err(ReloadError::NoTtl(1)));
    assert_eq!(places(&classes), [(0, "read")]);
    // Places are used up in the end, and that is said.
    let (mut settings, mut full) = (old, false);
    for turn in 0..MAX_CLASSES as u64 {
        let (new, names) = read(&file(&[class("read", "retryable", 1_000 + turn)]));
        match classes.renew(&settings, &new, &names) {
            Ok(renewed) => settings = renewed,
            Err(error) => {
                assert_eq!((error, settings.classes.len()), (ReloadError::Full, MAX_CLASSES));
                full = true;
            }
        }
    }
    assert!(full);
}

#[test]
fn a_key_that_is_not_there_any_more_is_named() {
    let present = json!({"listen": "x", "known": {"members": [{"id": 1}]}, "limits": {"cores": 1.0},
                         "settings": file(&[class("read", "retryable", 900), class("lift", "dedup", 900)])});
    assert_eq!(has_all_keys(&present, &present), Ok(()));
    let without = |path: &[&str]| {
        let mut new = present.clone();
        let (last, way) = path.split_last().expect("a path");
        let place = way.iter().fold(&mut new, |value, key| match key.parse::<usize>() {
            Ok(place) => &mut value[place],
            Err(_) => &mut value[*key],
        });
        place.as_object_mut().expect("an object").remove(*last);
        has_all_keys(&present, &new)
    };
    let missing = |path: &str| Err(ReloadError::Missing(path.into()));
    assert_eq!(without(&["settings"]), missing("settings"));
    assert_eq!(without(&["known"]), missing("known"));
    assert_eq!(without(&["settings", "penalties", "probe"]), missing("settings.penalties.probe"));
    assert_eq!(without(&["settings", "classes", "1", "lateWorth"]), missing("settings.classes[1].lateWorth"));
    // Only a class with a key has these; that its own need them is checked where they are read.
    assert_eq!(without(&["settings", "classes", "1", "group"]), Ok(()));
    let mut text = present.clone();
    text["settings"]["classes"][0]["deadlineUs"] = json!("900");
    let kind = ReloadError::Kind("settings.classes[0].deadlineUs".into(), "a text", "a number");
    assert_eq!(has_all_keys(&present, &text), Err(kind));
    let mut other = present.clone();
    other["known"] = json!({"members": []});
    other["settings"]["classes"] = json!([class("view", "fragile", 1)]);
    assert_eq!(has_all_keys(&present, &other), Ok(()), "data and the number of classes may differ");
}

/// Judged by how it grows: twenty times the tenants take some twenty times as long. Where every new entry looks through
/// all present ones it is four hundred times.
#[test]
fn a_long_list_is_compared_in_one_pass() {
    let compared = |tenants: usize| {
        let list: Vec<Value> =
            (0..tenants).map(|n| json!({"name": n.to_string(), "allowancePerS": 1.0})).collect();
        let present = json!({"settings": {"tenants": list}});
        let spent = |_| {
            let began = std::time::Instant::now();
            assert_eq!(has_all_keys(&present, &present), Ok(()));
            began.elapsed()
        };
        (0..5).map(spent).min().expect("five times")
    };
    let (few, many) = (compared(200), compared(4_000));
    assert!(many < few * 100, "200 tenants take {few:?} and 4,000 take {many:?}");
}

#[test]
fn what_is_wrong_in_a_file_is_told_by_its_path() {
    let told = |change: fn(&mut Value)| {
        let mut file = file(&[class("read", "retryable", 900), class("lift", "dedup", 900)]);
        change(&mut file);
        parse_settings(file.to_string().as_bytes()).expect_err("a broken file").to_string()
    };
    type Change = fn(&mut Value);
    let cases: [(Change, &str); 6] = [
        (|f| f["classes"][1]["deadlineUs"] = json!(0), "classes[1].deadline"),
        (|f| f["classes"][1]["deadlineUs"] = json!(-5), "classes[1].deadlineUs"),
        (|f| f["classes"][0]["worth"] = json!("much"), "classes[0].worth"),
        (|f| f["permissions"]["maxAttempts"] = json!(0), "max_attempts"),
        (|f| f["permissions"]["maxAttempts"] = json!(1.5), "permissions.maxAttempts"),
        (|f| f["classes"] = json!([]), "classes"),
    ];
    for (change, path) in cases {
        let error = told(change);
        assert!(error.contains(path), "{error}");
    }
}

proptest! {
    /// Whatever part of a file is there, it is never taken for a whole one.
    #[test]
    fn a_cut_file_is_never_taken(part in 0.0_f64..1.0) {
        let text = file(&[class("read", "retryable", 900), class("lift", "dedup", 900)]).to_string();
        let cut = (text.len() as f64 * part) as usize;
        prop_assert!(parse_settings(&text.as_bytes()[..cut]).is_err());
    }

    /// Any row of renewals leaves each class that holds at a place with its own settings, and no place with others.
    #[test]
    fn a_place_never_changes_its_class(rows in proptest::collection::vec(
        proptest::collection::btree_map("[a-d]", (0_usize..3, 1_u64..4), 1..4), 1..12)
    ) {
        let effects = ["retryable", "dedup", "fragile"];
        let files: Vec<_> = rows.iter().map(|row| {
            let classes = row.iter().map(|(name, (effect, deadline))| class(name, effects[*effect], deadline * 100));
            read(&file(&classes.collect::<Vec<_>>()))
        }).collect();
        let mut classes = ClassIndices::new(&files[0].1).expect("names");
        let mut settings = files[0].0.clone();
        for (new, names) in &files[1..] {
            let renewed = classes.renew(&settings, new, names).expect("good settings");
            prop_assert_eq!(&renewed.classes[..settings.classes.len()], &settings.classes[..]);
            prop_assert_eq!(classes.named().count(), names.len());
            for (place, name) in classes.named() {
                let told = names.iter().position(|n| n == name).expect("a name that holds");
                prop_assert_eq!(&renewed.classes[place], &new.classes[told]);
            }
            settings = renewed;
        }
    }
}

#[test]
fn what_only_a_restart_changes_is_named_and_nothing_else() {
    let whole =
        |settings: Value| json!({"name": "n", "listen": "127.0.0.1:1", "seed": 1, "settings": settings});
    let start = whole(file(&[class("read", "retryable", 200)]));
    assert!(restart_only_keys(&start, &start).is_empty());
    let mut other = whole(file(&[class("view", "fragile", 900)]));
    other["seed"] = json!(2);
    other["settings"]["permissions"]["maxAttempts"] = json!(1);
    assert!(restart_only_keys(&start, &other).is_empty(), "classes and permissions change while it runs");
    other["limits"] = json!({"sockets": 9});
    other["settings"]["tenants"] = json!([{"name": "t"}]);
    other["settings"]["membershipMode"] = json!("on_request");
    let named = ["limits", "settings.membershipMode", "settings.tenants"];
    assert_eq!(restart_only_keys(&start, &other), named);
}
