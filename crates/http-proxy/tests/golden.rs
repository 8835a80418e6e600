//! Golden files of the proxy's configuration in JSON. The input has each key with a distinct value; the
//! golden files contain the values that the configuration has after parsing.

use golden_files::GoldenFiles;
use http_proxy::config::Config;
use serde_json::Value;

fn golden() -> GoldenFiles {
    GoldenFiles::for_crate(env!("CARGO_MANIFEST_DIR"))
}

fn parse(text: &[u8]) -> Config {
    let environment = |name: &str| match name {
        "EDGE_NAME" => Some("from-environment".to_owned()),
        "EDGE_LISTEN" => Some("127.0.0.1:1".to_owned()),
        "EDGE_DISCOVERY" => Some("127.0.0.1:2".to_owned()),
        "EDGE_CONSOLE" => Some("127.0.0.1:3".to_owned()),
        _ => None,
    };
    Config::parse(text, environment).expect("a good configuration")
}

fn describe(config: &Config) -> String {
    let names = &config.names;
    format!(
        "{} {} {} {:?} {:#x} {} {:?} {:?} {:?} {:?} {:?} {} {} {} {}",
        config.name,
        config.listen,
        config.discovery,
        config.console,
        config.seed,
        config.known_backends,
        names.classes,
        names.tenants,
        names.zones,
        names.machine_kinds,
        names.report_fields,
        config.connect_timeout,
        config.max_client_connections,
        config.max_backend_connections,
        config.large_body_budget_bytes
    )
}

#[test]
fn every_key_of_the_configuration_keeps_its_name_and_meaning() {
    let text = golden().read("config.json");
    golden().assert_lines("config.txt", &[describe(&parse(&text))]);
}

/// Environment variables supply the keys that the file omits.
#[test]
fn environment_variables_keep_their_names() {
    let mut value: Value = serde_json::from_slice(&golden().read("config.json")).expect("JSON");
    let object = value.as_object_mut().expect("an object");
    for key in ["name", "listen", "discovery", "console", "limits", "known"] {
        object.remove(key).expect("the key is there");
    }
    golden().assert_lines("environment.txt", &[describe(&parse(value.to_string().as_bytes()))]);
}
