use super::*;

fn parse(text: &str) -> Result<Settings, SettingsError> {
    Settings::parse(text, Path::new("extproc.toml"))
}

#[test]
fn the_listen_address_is_the_only_required_key() {
    let settings = parse("listen = \"127.0.0.1:9002\"").expect("valid settings");
    assert_eq!((settings.limits, settings.retention), (Bounds::default(), Retention::default()));
}

#[test]
fn errors_name_the_file_and_the_key() {
    for (text, expected) in [
        ("", "listen"),
        ("listen = \"localhost\"", "listen"),
        ("listen = \"127.0.0.1:1\"\nlisen = 2", "lisen"),
        ("listen = \"127.0.0.1:1\"\n[bounds]\nqueue = 0", "`bounds.queue` is 0, must lie in 1..=1048576"),
        ("listen = \"127.0.0.1:1\"\n[bounds]\nremembered = 5", "`bounds.remembered`"),
        ("listen = \"127.0.0.1:1\"\nmemory = 3", "expected struct Memory"),
        ("listen = \"127.0.0.1:1\"\n[memory]\nsafe_ms = 999999999", "`memory.safe_ms`"),
        ("listen = \"127.0.0.1:1\"\n[envoy]\nendpoint_header = \"X-Box\"", "`envoy.endpoint_header`"),
        ("listen = \"127.0.0.1:1\"\n[envoy.headers]\nid = \"x-account\"", "stands in `envoy.headers.id`"),
    ] {
        let error = parse(text).expect_err(text).to_string();
        assert!(error.contains(expected) && error.contains("extproc.toml"), "{text}: {error}");
    }
}
