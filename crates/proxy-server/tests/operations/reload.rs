//! Reloads of the configuration: valid ones take effect, invalid ones are logged and change nothing.

use crate::list_entries;
use crate::support::*;
use serde_json::{Value, json};
use std::sync::Arc;
use std::thread;

/// A configuration with these classes, given as name and effect, and this maximum number of attempts.
fn config_with_settings(discovery: &Discovery, classes: &[(&str, &str)], max_attempts: u16) -> Value {
    let mut config = proxy_config("n8", discovery);
    let template = config["settings"]["classes"][1].clone();
    let class = |(name, effect): &(&str, &str)| {
        let mut class = template.clone();
        class["name"] = json!(name);
        class["effect"] = json!(effect);
        class
    };
    config["settings"]["classes"] = classes.iter().map(class).collect();
    config["settings"]["permissions"]["maxAttempts"] = json!(max_attempts);
    config
}

/// A request that names its class only by its path, with or without an idempotency key.
fn request_without_class(class: &str, id: &str, method: &str, is_keyed: bool) -> String {
    let key = if is_keyed { format!("Idempotency-Key: {id}\r\n") } else { String::new() };
    format!(
        "{method} /{class} HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: {id}\r\nX-Time-Left-Ms: 15000\r\n{key}\
         Content-Length: 0\r\n\r\n"
    )
}

#[test]
fn reload_changes_classes_but_not_those_of_requests_in_flight() {
    let discovery = Discovery::start();
    // The backend closes the connection of the first request on the test's signal, and serves later ones.
    let (release, released) = std::sync::mpsc::channel::<()>();
    let released = Arc::new(std::sync::Mutex::new(Some(released)));
    let start = || {
        let released = Arc::clone(&released);
        Backend::start(move |_| match released.lock().expect("the receiver is not poisoned").take() {
            Some(released) => {
                BackendAction::WaitForSignalThen(released, Box::new(BackendAction::WriteAndClose(Vec::new())))
            }
            None => ok_response("later"),
        })
    };
    let (a, b) = (start(), start());
    let first = config_with_settings(&discovery, &[("read", "retryable"), ("lift", "dedup")], 4);
    let mut proxy = Proxy::start_with_config("reload-classes", &first);
    discovery.publish_and_wait(true, &list_entries(&a, &b));
    let mut in_flight = proxy.client();
    in_flight.send(&request_without_class("read", "open", "GET", false));
    while released.lock().expect("the receiver is not poisoned").is_some() {
        thread::yield_now();
    }
    // The new settings allow one attempt; "lift" becomes non-idempotent, "view" is added, "read" is removed.
    let second = config_with_settings(&discovery, &[("lift", "fragile"), ("view", "retryable")], 1);
    proxy.reload(&second.to_string());
    proxy.wait_for_log("settings in force: classes lift view; 1 attempts");
    release.send(()).expect("the backend waits");
    let response = in_flight.receive();
    assert!(
        response.status() == 200 && response.body == b"later",
        "a request admitted with four attempts was not retried: {}",
        response.head
    );
    let mut client = proxy.client();
    assert_eq!(client.exchange(&request_without_class("view", "1", "GET", false)).status(), 200);
    assert_eq!(
        client.exchange(&request_without_class("lift", "2", "POST", false)).status(),
        200,
        "a non-idempotent request needs no idempotency key"
    );
}

#[test]
fn invalid_configuration_is_logged_and_changes_nothing() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok_response("fine"));
    let valid = config_with_settings(&discovery, &[("read", "retryable"), ("lift", "dedup")], 4);
    let mut proxy = Proxy::start_with_config("broken-file", &valid.clone());
    discovery.publish_and_wait(true, &[backend_entry("s-1", backend.address, "active", 0)]);
    // Each of these files, if it were applied, would remove "read".
    let next = config_with_settings(&discovery, &[("view", "retryable"), ("lift", "dedup")], 4);
    let changed = |change: &dyn Fn(&mut Value)| {
        let mut file = next.clone();
        change(&mut file);
        file.to_string()
    };
    let complete = next.to_string();
    let remove = |file: &mut Value, key: &str| drop(file.as_object_mut().expect("an object").remove(key));
    let files: Vec<(String, &str)> = vec![
        (String::new(), "EOF"),
        (complete[..complete.len() / 2].to_owned(), "EOF"),
        (complete[..complete.len() - 1].to_owned(), "EOF"),
        ("[]".into(), "invalid"),
        (changed(&|f| remove(f, "settings")), "settings"),
        (changed(&|f| remove(f, "discovery")), "discovery"),
        (changed(&|f| remove(&mut f["settings"], "classes")), "classes"),
        (changed(&|f| remove(&mut f["settings"], "permissions")), "permissions"),
        (changed(&|f| remove(&mut f["settings"]["permissions"], "probes")), "settings.permissions.probes"),
        (changed(&|f| remove(&mut f["settings"]["classes"][0], "deadlineUs")), "deadlineUs"),
        (changed(&|f| remove(&mut f["settings"]["classes"][1], "keyTtlUs")), "settings.classes[1].keyTtlUs"),
        (changed(&|f| remove(&mut f["settings"]["classes"][1], "group")), "classes[1].group"),
        (changed(&|f| f["settings"]["classes"][0]["deadlineUs"] = json!(0)), "classes[0].deadline"),
        (
            changed(&|f| f["settings"]["classes"][0]["deadlineUs"] = json!(-1)),
            "settings.classes[0].deadlineUs",
        ),
        (changed(&|f| f["settings"]["classes"][0]["aimUs"] = json!("soon")), "settings.classes[0].aimUs"),
        (changed(&|f| f["settings"]["classes"][0]["effect"] = json!("magic")), "classes[0].effect"),
        (changed(&|f| f["settings"]["permissions"]["maxAttempts"] = json!(0)), "max_attempts"),
        (
            changed(&|f| f["settings"]["permissions"]["maxAttempts"] = json!(70_000)),
            "permissions.maxAttempts",
        ),
        (changed(&|f| f["settings"]["classes"][0]["name"] = json!("lift")), "settings.classes[1].name"),
    ];
    let mut client = proxy.client();
    for (n, (file, expected)) in files.iter().enumerate() {
        proxy.reload(file);
        let line = proxy.wait_for_log("reload failed, the previous configuration remains in force");
        assert!(line.contains(expected), "{expected}: {line}");
        assert_eq!(
            client.exchange(&request_without_class("read", &n.to_string(), "GET", false)).status(),
            200,
            "{expected}"
        );
        assert_eq!(
            client.exchange(&request_without_class("view", &n.to_string(), "GET", false)).status(),
            400,
            "{expected}"
        );
        client = proxy.client();
    }
    proxy.reload(&complete);
    proxy.wait_for_log("settings in force: classes lift view; 4 attempts");
    assert_eq!(proxy.client().exchange(&request_without_class("view", "last", "GET", false)).status(), 200);
}
