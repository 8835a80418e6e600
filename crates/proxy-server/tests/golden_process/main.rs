//! Golden files of the running executable: the console's responses, the files that it stores, and the bytes that clients and
//! backends receive; and the exit codes of `check`.

#[path = "../support/mod.rs"]
mod support;

use golden_files::GoldenFiles;
use serde_json::{Value, json};
use std::fs;
use std::path::Path;
use std::process::Command;
use support::{
    Backend, Client, Discovery, Proxy, config_with_console, empty_folder, entry, ok, request, send_command,
};

fn golden() -> GoldenFiles {
    GoldenFiles::of_crate(env!("CARGO_MANIFEST_DIR"))
}

/// Replaces each number of more than three digits by `N`: times and ports differ from run to run.
fn without_times(text: &str) -> String {
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
    let entries = fs::read_dir(directory).expect("the directory");
    let mut names: Vec<String> =
        entries.map(|e| e.expect("an entry").file_name().to_string_lossy().into_owned()).collect();
    names.sort();
    names
}

#[test]
fn console_responses_and_stored_files_are_stable() {
    let discovery = Discovery::start();
    let (a, b) = (Backend::start(|_| ok("a")), Backend::start(|_| ok("b")));
    let directory = empty_folder("golden-console");
    let (mut proxy, console) =
        Proxy::start_with_console(&directory, "golden-console", &config_with_console(&discovery, None));
    let mut lines = Vec::new();
    let mut ask = |line: &str| {
        lines.push(format!("{line}: {}", send_command(console, &format!("{line}\n")).trim_end()));
    };
    ask("readyz");
    discovery.post(true, &[entry("s-a", a.address, "active", 0), entry("s-b", b.address, "active", 0)]);
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
        ask(line);
    }
    golden().assert_lines("console.txt", &lines);
    let stored = fs::read_to_string(directory.join("haventrack-n7.bans.json")).expect("the file");
    golden().assert_lines("stored-exclusions.txt", &[without_times(&stored)]);
    proxy.terminate();
    assert!(proxy.wait().success());
    let names = file_names(&directory);
    for name in ["haventrack-n7.bans.json", "haventrack-n7.bans.lock", "haventrack-n7.process-0.lock"] {
        assert!(names.iter().any(|n| n == name), "{name} is missing in {names:?}");
    }
}

/// A new process reads what one of an older version stored, and the older one reads what it stores.
#[test]
fn exclusions_of_an_older_version_apply_to_a_new_process() {
    let discovery = Discovery::start();
    let (a, b) = (Backend::start(|_| ok("a")), Backend::start(|_| ok("b")));
    let directory = empty_folder("golden-older");
    let older = r#"{"version":1,"bans":{"out":{"s-a":7},"back":{}}}"#;
    fs::write(directory.join("haventrack-n7.bans.json"), older).expect("written");
    let (proxy, console) =
        Proxy::start_with_console(&directory, "golden-older", &config_with_console(&discovery, None));
    discovery.post(true, &[entry("s-a", a.address, "active", 0), entry("s-b", b.address, "active", 0)]);
    let mut client = proxy.client();
    for n in 0..20 {
        assert_eq!(client.exchange(&request("read", &format!("golden-{n}"), "")).body, b"b");
    }
    assert!(send_command(console, "include s-a\n").starts_with("SUCCESS s-a may serve"));
    let stored = fs::read_to_string(directory.join("haventrack-n7.bans.json")).expect("the file");
    let stored: Value = serde_json::from_str(&stored).expect("JSON");
    assert_eq!(stored["version"], 1);
    assert_eq!(stored["bans"]["out"], json!({}));
    assert!(stored["bans"]["back"]["s-a"].is_u64(), "{stored}");
}

/// The head of a message without its date, and its body.
fn described(received: &support::HttpMessage) -> String {
    let is_dated = |line: &&str| line.starts_with("date: ");
    let head: Vec<&str> = received.head.split("\r\n").filter(|line| !is_dated(line)).collect();
    format!("{}{}", head.join("\n"), String::from_utf8_lossy(&received.body))
}

#[test]
fn http_bytes_are_stable() {
    let discovery = Discovery::start();
    let mut texts = Vec::new();
    let proxy = Proxy::start_without_list("golden-bytes", &discovery);
    let get = |path: &str| format!("GET {path} HTTP/1.1\r\nHost: app.svc\r\n\r\n");
    texts.push(described(&Client::connect(proxy.address).exchange(&get("/up"))));
    let backend = Backend::start(|_| ok("served"));
    discovery.post(true, &[entry("s-a", backend.address, "active", 0)]);
    texts.push(described(&Client::connect(proxy.address).exchange(&get("/up"))));
    texts.push(described(&Client::connect(proxy.address).exchange(&request("submit", "golden", "body"))));
    let received = described(&backend.next_request());
    let host_is_an_address = backend.address.to_string();
    texts.push(without_times(&received.replace(&host_is_an_address, "BACKEND")));
    let no_time =
        "GET /read HTTP/1.1\r\nX-Correlation-Id: i\r\nX-Service-Class: read\r\nX-Time-Left-Ms: x\r\n\r\n";
    for bad in
        [&get("/nothing"), "NOTHING\r\n\r\n", no_time, "GET /read HTTP/1.1\r\nX-Service-Class: none\r\n\r\n"]
    {
        texts.push(described(&Client::connect(proxy.address).exchange(bad)));
    }
    discovery.post(true, &[]);
    texts.push(described(&Client::connect(proxy.address).exchange(&request("charge", "late", ""))));
    golden().assert_lines("http.txt", &texts);
}

/// Scripts use the exit codes to check a configuration.
#[test]
fn check_exit_codes_are_stable() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let exit_code = |arguments: &[&str]| {
        let program = env!("CARGO_BIN_EXE_load-balancing-proxy");
        let output = Command::new(program).current_dir(&root).args(arguments).output().expect("it runs");
        output.status.code()
    };
    let good = ["check", "deploy/sample-config.json", "--extproc", "deploy/extproc.toml"];
    assert_eq!(exit_code(&good), Some(0));
    assert_eq!(exit_code(&["check", "deploy/none.json"]), Some(1));
}
