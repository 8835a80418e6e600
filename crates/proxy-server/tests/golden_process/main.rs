//! Golden-file tests of the running executable: console responses, stored files, and the bytes that clients
//! and backends receive; and the exit codes of `check`.

#[path = "../support/mod.rs"]
mod support;

use golden_files::GoldenFiles;
use serde_json::{Value, json};
use std::fs;
use std::path::Path;
use std::process::Command;
use support::{
    Backend, Client, Discovery, Proxy, backend_entry, config_with_console, create_empty_folder, ok_response,
    request, send_command,
};

fn golden_files() -> GoldenFiles {
    GoldenFiles::for_crate(env!("CARGO_MANIFEST_DIR"))
}

/// Replaces each number of more than three digits by `N`, as times and ports differ from run to run.
fn mask_long_numbers(text: &str) -> String {
    let mut result = String::new();
    let mut digits = String::new();
    for character in text.chars().chain(['\n']) {
        if character.is_ascii_digit() {
            digits.push(character);
            continue;
        }
        result.push_str(if digits.len() > 3 { "N" } else { &digits });
        digits.clear();
        result.push(character);
    }
    result.pop();
    result
}

fn file_names(directory: &Path) -> Vec<String> {
    let entries = fs::read_dir(directory).expect("the directory is readable");
    let mut names: Vec<String> = entries
        .map(|e| e.expect("the entry is readable").file_name().to_string_lossy().into_owned())
        .collect();
    names.sort();
    names
}

#[test]
fn console_responses_and_stored_files_are_stable() {
    let discovery = Discovery::start();
    let (a, b) = (Backend::start(|_| ok_response("a")), Backend::start(|_| ok_response("b")));
    let directory = create_empty_folder("golden-console");
    let (mut proxy, console) =
        Proxy::start_with_console(&directory, "golden-console", &config_with_console(&discovery, None));
    let mut lines = Vec::new();
    let mut send = |line: &str| {
        lines.push(format!("{line}: {}", send_command(console, &format!("{line}\n")).trim_end()));
    };
    send("readyz");
    discovery.publish_and_wait(
        true,
        &[backend_entry("s-a", a.address, "active", 0), backend_entry("s-b", b.address, "active", 0)],
    );
    for line in [
        "readyz",
        "exclude s-none",
        "include s-none",
        "exclude s-a",
        "exclude s-a",
        "include s-b",
        "include s-a",
        "include s-a",
        "exclude s-b",
        "reload",
        "exclude",
        "readyz now",
    ] {
        send(line);
    }
    golden_files().assert_lines("console.txt", &lines);
    let stored = fs::read_to_string(directory.join("haventrack-n7.bans.json")).expect("the file is readable");
    golden_files().assert_lines("stored-exclusions.txt", &[mask_long_numbers(&stored)]);
    proxy.terminate();
    assert!(proxy.wait_for_exit().success());
    let names = file_names(&directory);
    for name in ["haventrack-n7.bans.json", "haventrack-n7.bans.lock", "haventrack-n7.process-0.lock"] {
        assert!(names.iter().any(|n| n == name), "{name} is missing in {names:?}");
    }
}

/// A new process reads the exclusions that an older version stored, and stores them in the format that the
/// older version reads.
#[test]
fn exclusions_of_an_older_version_apply_to_a_new_process() {
    let discovery = Discovery::start();
    let (a, b) = (Backend::start(|_| ok_response("a")), Backend::start(|_| ok_response("b")));
    let directory = create_empty_folder("golden-older");
    let stored_by_older_version = r#"{"version":1,"bans":{"out":{"s-a":7},"back":{}}}"#;
    fs::write(directory.join("haventrack-n7.bans.json"), stored_by_older_version)
        .expect("the file is written");
    let (proxy, console) =
        Proxy::start_with_console(&directory, "golden-older", &config_with_console(&discovery, None));
    discovery.publish_and_wait(
        true,
        &[backend_entry("s-a", a.address, "active", 0), backend_entry("s-b", b.address, "active", 0)],
    );
    let mut client = proxy.client();
    for n in 0..20 {
        assert_eq!(client.exchange(&request("read", &format!("golden-{n}"), "")).body, b"b");
    }
    assert!(send_command(console, "include s-a\n").starts_with("SUCCESS s-a may serve"));
    let stored = fs::read_to_string(directory.join("haventrack-n7.bans.json")).expect("the file is readable");
    let stored: Value = serde_json::from_str(&stored).expect("the file is JSON");
    assert_eq!(stored["version"], 1);
    assert_eq!(stored["bans"]["out"], json!({}));
    assert!(stored["bans"]["back"]["s-a"].is_u64(), "{stored}");
}

/// The head of a message without its `date` header, and its body.
fn text_without_date(received: &support::HttpMessage) -> String {
    let is_dated = |line: &&str| line.starts_with("date: ");
    let head: Vec<&str> = received.head.split("\r\n").filter(|line| !is_dated(line)).collect();
    format!("{}{}", head.join("\n"), String::from_utf8_lossy(&received.body))
}

#[test]
fn http_bytes_are_stable() {
    let discovery = Discovery::start();
    let mut texts = Vec::new();
    let proxy = Proxy::start_without_discovery_list("golden-bytes", &discovery);
    let get = |path: &str| format!("GET {path} HTTP/1.1\r\nHost: app.svc\r\n\r\n");
    texts.push(text_without_date(&Client::connect(proxy.address).exchange(&get("/up"))));
    let backend = Backend::start(|_| ok_response("served"));
    discovery.publish_and_wait(true, &[backend_entry("s-a", backend.address, "active", 0)]);
    texts.push(text_without_date(&Client::connect(proxy.address).exchange(&get("/up"))));
    texts.push(text_without_date(
        &Client::connect(proxy.address).exchange(&request("submit", "golden", "body")),
    ));
    let received = text_without_date(&backend.next_request());
    let backend_address = backend.address.to_string();
    texts.push(mask_long_numbers(&received.replace(&backend_address, "BACKEND")));
    let invalid_time_left =
        "GET /read HTTP/1.1\r\nX-Correlation-Id: i\r\nX-Service-Class: read\r\nX-Time-Left-Ms: x\r\n\r\n";
    for invalid in [
        &get("/nothing"),
        "NOTHING\r\n\r\n",
        invalid_time_left,
        "GET /read HTTP/1.1\r\nX-Service-Class: none\r\n\r\n",
    ] {
        texts.push(text_without_date(&Client::connect(proxy.address).exchange(invalid)));
    }
    discovery.publish_and_wait(true, &[]);
    texts.push(text_without_date(&Client::connect(proxy.address).exchange(&request("charge", "late", ""))));
    golden_files().assert_lines("http.txt", &texts);
}

/// Scripts check configurations by the exit codes of `check`.
#[test]
fn check_exit_codes_are_stable() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let exit_code = |arguments: &[&str]| {
        let program = env!("CARGO_BIN_EXE_load-balancing-proxy");
        let output =
            Command::new(program).current_dir(&root).args(arguments).output().expect("the program runs");
        output.status.code()
    };
    let valid = ["check", "deploy/sample-config.json", "--extproc", "deploy/extproc.toml"];
    assert_eq!(exit_code(&valid), Some(0));
    assert_eq!(exit_code(&["check", "deploy/none.json"]), Some(1));
}
