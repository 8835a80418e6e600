//! Starts that fail.

use crate::support::*;
use std::io::Read;

#[test]
fn invalid_configuration_ends_the_start_with_one_line() {
    let bad_address = r#"{"listen":"here","discovery":"127.0.0.1:1","settings":{}}"#;
    for (name, config, expected) in [
        ("no-json", "{", "malformed configuration"),
        ("no-settings", "{}", "settings"),
        ("bad-address", bad_address, "listen"),
    ] {
        let mut child = spawn_proxy(name, config);
        let mut text = String::new();
        child.stderr.take().expect("standard error").read_to_string(&mut text).expect("text");
        assert_eq!(child.wait().expect("it ends").code(), Some(1));
        assert_eq!(text.lines().count(), 1, "{text}");
        assert!(text.contains(expected), "{text}");
    }
}
