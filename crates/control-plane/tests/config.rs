//! The configuration file: defaults, and errors that name the file and the key.

use control_plane::config::{Config, RateLimitConfig};
use std::path::Path;

const SOURCE: &str = "[source]\nid = 1\nname = \"s\"\nlisten = \"127.0.0.1:0\"\nsnapshot = \"s.snapshot\"\n";
const RELAY: &str =
    "[relay]\nname = \"r\"\nlisten = \"127.0.0.1:0\"\nsources = [{ id = 1, address = \"127.0.0.1:1\" }]\n";
const AGENT: &str = "[agent]\nname = \"a\"\nlisten = \"127.0.0.1:0\"\nservices = [1]\nsources = [1]\nrelays = [{ name = \"r\", address = \"127.0.0.1:1\" }]\n";

fn parse(text: &str) -> Result<Config, String> {
    Config::parse(text, Path::new("control.toml")).map_err(|e| e.to_string())
}

#[test]
fn deployed_configuration_is_valid_and_has_the_defaults() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/control.toml");
    let config = Config::from_file(&path).expect("valid");
    assert_eq!(config.rate_limit, RateLimitConfig::default());
    let minimal = parse(&format!("{SOURCE}{RELAY}{AGENT}")).expect("valid");
    let (deployed, minimal) =
        ((config.source, config.relay, config.agent), (minimal.source, minimal.relay, minimal.agent));
    let (source, relay, agent) =
        (deployed.0.expect("[source]"), deployed.1.expect("[relay]"), deployed.2.expect("[agent]"));
    let (default_source, default_relay, default_agent) =
        (minimal.0.expect("[source]"), minimal.1.expect("[relay]"), minimal.2.expect("[agent]"));
    assert_eq!(
        (source.snapshot_interval_ms, source.max_connections),
        (default_source.snapshot_interval_ms, default_source.max_connections)
    );
    assert_eq!(
        (relay.max_connections, agent.max_connections),
        (default_relay.max_connections, default_agent.max_connections)
    );
}

#[test]
fn reports_a_missing_section() {
    let path = Path::new("control.toml");
    let config = parse("").expect("valid");
    for (error, expected) in [
        (config.source(path).map(|_| ()), "[source]"),
        (config.relay(path).map(|_| ()), "[relay]"),
        (config.agent(path).map(|_| ()), "[agent]"),
    ] {
        let error = error.expect_err("no section").to_string();
        assert!(error.contains(expected) && error.contains("control.toml"), "{error}");
    }
}

#[test]
fn reports_the_key_of_an_invalid_value() {
    let source = |from: &str, to: &str| SOURCE.replace(from, to);
    let relay = |from: &str, to: &str| RELAY.replace(from, to);
    let agent = |from: &str, to: &str| AGENT.replace(from, to);
    let cases = [
        ("[source".to_owned(), "control.toml"),
        ("[sauce]\n".into(), "`sauce`: unknown field `sauce`, expected one of `source`"),
        (source("id = 1", "id = 70000"), "`source.id`: "),
        (source("id = 1", "idd = 1"), "`source.idd`: unknown field `idd`"),
        (source("name = \"s\"\n", ""), "`source`: missing field `name`"),
        (source("name = \"s\"", "name = \"\""), "`source.name`: is empty"),
        (source("127.0.0.1:0", "localhost"), "`source.listen`: "),
        (source("\"s.snapshot\"", "\"/\""), "`source.snapshot`: `/` names no file"),
        (
            format!("{SOURCE}snapshot_every_ms = 1\n"),
            "`source.snapshot_every_ms`: is 1, must lie in 10..=3600000",
        ),
        (format!("{SOURCE}connections = 0\n"), "`source.connections`: is 0"),
        (relay("\"r\"", "7"), "`relay.name`: "),
        (relay("id = 1, ", ""), "`relay.sources[0]`: missing field `id`"),
        (relay("127.0.0.1:1", "127.0.0.1"), "`relay.sources[0].address`: "),
        (relay("[{ id = 1, address = \"127.0.0.1:1\" }]", "[]"), "`relay.sources`: is empty"),
        (
            relay("}]", "}, { id = 1, address = \"127.0.0.1:2\" }]"),
            "`relay.sources[1].id`: `1` stands there twice",
        ),
        (agent("services = [1]", "services = []"), "`agent.services`: is empty"),
        (agent("services = [1]", "services = [1, -2]"), "`agent.services[1]`: "),
        (agent("sources = [1]\n", ""), "`agent`: missing field `sources`"),
        (agent("name = \"r\"", "name = \"\""), "`agent.relays[0].name`: is empty"),
        (
            agent("}]", "}, { name = \"r\", address = \"127.0.0.1:2\" }]"),
            "`agent.relays[1].name`: `r` stands there twice",
        ),
        (agent("\"a\"", &format!("\"{}\"", "a".repeat(129))), "`agent.name`: has 129 bytes, 128 at most"),
        ("[pace]\nagent_bytes_per_s = 1".into(), "`pace.agent_bytes_per_s`: is 1, must lie in 1000..="),
        ("[pace]\nburst = 1".into(), "`pace.burst`: unknown field `burst`"),
        ("[pace]\nrelay_burst = \"much\"".into(), "`pace.relay_burst`: invalid type: string"),
    ];
    for (text, expected) in cases {
        let error = parse(&text).expect_err(&text);
        assert!(error.contains(expected) && error.starts_with("control.toml: "), "{text}: {error}");
    }
}

#[test]
fn reports_a_missing_file() {
    let error = Config::from_file(Path::new("/nowhere/control.toml")).expect_err("no such file").to_string();
    assert!(error.starts_with("cannot read /nowhere/control.toml: "), "{error}");
}
