//! Reloads of the configuration.

use crate::list;
use crate::support::*;
use serde_json::{Value, json};
use std::sync::Arc;
use std::thread;

/// A configuration with these classes, as name and effect, and this number of attempts.
fn with_settings(discovery: &Discovery, classes: &[(&str, &str)], attempts: u16) -> Value {
    let mut config = config("n8", discovery);
    let like = config["settings"]["classes"][1].clone();
    let class = |(name, effect): &(&str, &str)| {
        let mut class = like.clone();
        class["name"] = json!(name);
        class["effect"] = json!(effect);
        class
    };
    config["settings"]["classes"] = classes.iter().map(class).collect();
    config["settings"]["permissions"]["maxAttempts"] = json!(attempts);
    config
}

/// A request whose class is its path alone, with or without an idempotency key.
fn request_without_class(class: &str, id: &str, method: &str, key: bool) -> String {
    let key = if key { format!("Idempotency-Key: {id}\r\n") } else { String::new() };
    format!(
        "{method} /{class} HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: {id}\r\nX-Time-Left-Ms: 15000\r\n{key}\
         Content-Length: 0\r\n\r\n"
    )
}

#[test]
fn reload_changes_classes_and_open_requests_keep_theirs() {
    let discovery = Discovery::start();
    // The first request is aborted when the test signals it; later ones are served.
    let (release, released) = std::sync::mpsc::channel::<()>();
    let released = Arc::new(std::sync::Mutex::new(Some(released)));
    let start = || {
        let released = Arc::clone(&released);
        Backend::start(move |_| match released.lock().expect("the receiver").take() {
            Some(released) => {
                BackendAction::WaitThen(released, Box::new(BackendAction::WriteAndClose(Vec::new())))
            }
            None => ok("later"),
        })
    };
    let (a, b) = (start(), start());
    let first = with_settings(&discovery, &[("read", "retryable"), ("lift", "dedup")], 4);
    let mut proxy = Proxy::start_with_config("retune", &first);
    discovery.post(true, &list(&a, &b));
    let mut open = proxy.client();
    open.send(&request_without_class("read", "open", "GET", false));
    while released.lock().expect("the receiver").is_some() {
        thread::yield_now();
    }
    // The new settings allow one attempt; "lift" becomes unsafe, "view" is added, "read" is removed.
    let second = with_settings(&discovery, &[("lift", "fragile"), ("view", "retryable")], 1);
    proxy.reload(&second.to_string());
    proxy.wait_for_log("settings in force: classes lift view; 1 attempts");
    release.send(()).expect("the backend waits");
    let got = open.receive();
    assert!(got.status() == 200 && got.body == b"later", "it was accepted with four attempts: {}", got.head);
    let mut client = proxy.client();
    assert_eq!(client.exchange(&request_without_class("view", "1", "GET", false)).status(), 200);
    assert_eq!(
        client.exchange(&request_without_class("lift", "2", "POST", false)).status(),
        200,
        "no key is required any more"
    );
}

#[test]
fn invalid_configuration_is_logged_and_changes_nothing() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("fine"));
    let good = with_settings(&discovery, &[("read", "retryable"), ("lift", "dedup")], 4);
    let mut proxy = Proxy::start_with_config("broken-file", &good.clone());
    discovery.post(true, &[entry("s-1", backend.address, "active", 0)]);
    // Each of these files would remove "read" if it were applied.
    let next = with_settings(&discovery, &[("view", "retryable"), ("lift", "dedup")], 4);
    let with = |change: &dyn Fn(&mut Value)| {
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
        (with(&|f| remove(f, "settings")), "settings"),
        (with(&|f| remove(f, "discovery")), "discovery"),
        (with(&|f| remove(&mut f["settings"], "classes")), "classes"),
        (with(&|f| remove(&mut f["settings"], "permissions")), "permissions"),
        (with(&|f| remove(&mut f["settings"]["permissions"], "probes")), "settings.permissions.probes"),
        (with(&|f| remove(&mut f["settings"]["classes"][0], "deadlineUs")), "deadlineUs"),
        (with(&|f| remove(&mut f["settings"]["classes"][1], "keyTtlUs")), "settings.classes[1].keyTtlUs"),
        (with(&|f| remove(&mut f["settings"]["classes"][1], "group")), "classes[1].group"),
        (with(&|f| f["settings"]["classes"][0]["deadlineUs"] = json!(0)), "classes[0].deadline"),
        (with(&|f| f["settings"]["classes"][0]["deadlineUs"] = json!(-1)), "settings.classes[0].deadlineUs"),
        (with(&|f| f["settings"]["classes"][0]["aimUs"] = json!("soon")), "settings.classes[0].aimUs"),
        (with(&|f| f["settings"]["classes"][0]["effect"] = json!("magic")), "classes[0].effect"),
        (with(&|f| f["settings"]["permissions"]["maxAttempts"] = json!(0)), "max_attempts"),
        (with(&|f| f["settings"]["permissions"]["maxAttempts"] = json!(70_000)), "permissions.maxAttempts"),
        (with(&|f| f["settings"]["classes"][0]["name"] = json!("lift")), "settings.classes[1].name"),
    ];
    let mut client = proxy.client();
    for (n, (file, named)) in files.iter().enumerate() {
        proxy.reload(file);
        let line = proxy.wait_for_log("reload failed, the previous configuration remains in force");
        assert!(line.contains(named), "{named}: {line}");
        assert_eq!(
            client.exchange(&request_without_class("read", &n.to_string(), "GET", false)).status(),
            200,
            "{named}"
        );
        assert_eq!(
            client.exchange(&request_without_class("view", &n.to_string(), "GET", false)).status(),
            400,
            "{named}"
        );
        client = proxy.client();
    }
    proxy.reload(&complete);
    proxy.wait_for_log("settings in force: classes lift view; 4 attempts");
    assert_eq!(proxy.client().exchange(&request_without_class("view", "last", "GET", false)).status(), 200);
}
