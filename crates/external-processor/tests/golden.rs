//! Golden files of the external processor's interfaces: names and numbers of the gRPC protocol, and keys of
//! the settings.

use external_processor::settings::Settings;
use golden_files::GoldenFiles;
use std::fs;
use std::path::Path;

const EVERY_KEY: &str = r#"listen = "127.0.0.1:9002"
reflection = true

[memory]
safe_ms = 1
unsafe_ms = 2

[bounds]
connections = 3
streams = 4
per_caller = 5
leases = 6
remembered = 7
queue = 8
message_bytes = 2048

[envoy]
endpoint_header = "x-endpoint"
metadata_namespace = "lb"

[envoy.headers]
id = "x-id"
class = "x-class"
tenant = "x-tenant"
key = "x-key"
time_left = "x-time-left"
work = "x-work"
repeat = "x-repeat"
"#;

fn golden() -> GoldenFiles {
    GoldenFiles::for_crate(env!("CARGO_MANIFEST_DIR"))
}

/// The descriptors contain the names and numbers of all packages, services, methods, messages and fields.
#[test]
fn grpc_protocol_keeps_its_names_and_numbers() {
    let compiled = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/descriptors.bin");
    golden().assert_bytes("descriptors.bin", &fs::read(compiled).expect("descriptors are readable"));
}

#[test]
fn generated_code_keeps_the_method_paths() {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/generated.rs");
    let source = fs::read_to_string(source).expect("generated code is readable");
    let mut paths: Vec<String> =
        source.split('"').filter(|text| text.starts_with("/haventrack.")).map(str::to_owned).collect();
    paths.sort();
    paths.dedup();
    golden().assert_lines("method-paths.txt", &paths);
}

/// Each section rejects an unknown key, and the error lists all known keys.
#[test]
fn settings_keys_keep_their_names() {
    let path = Path::new("extproc.toml");
    Settings::parse(EVERY_KEY, path).expect("valid settings");
    let sections = ["[memory]", "[bounds]", "[envoy]", "[envoy.headers]"];
    let texts = sections.iter().map(|section| EVERY_KEY.replace(section, &format!("{section}\nunknown = 1")));
    let lines: Vec<String> = std::iter::once(format!("unknown = 1\n{EVERY_KEY}"))
        .chain(texts)
        .map(|text| Settings::parse(&text, path).expect_err("an unknown key").to_string())
        .collect();
    golden().assert_lines("settings-keys.txt", &lines);
}
