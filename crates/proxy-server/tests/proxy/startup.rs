//! Start-up with an invalid configuration.

use crate::support::*;
use std::io::Read;

#[test]
fn invalid_configuration_exits_with_one_line() {
    let bad_address = r#"{"listen":"here","discovery":"127.0.0.1:1","settings":{}}"#;
    for (name, config, expected) in [
        ("no-json", "{", "malformed configuration"),
        ("no-settings", "{}", "settings"),
        ("bad-address", bad_address, "listen"),
    ] {
        let mut child = spawn_proxy(name, config);
        let mut error_output = String::new();
        child
            .stderr
            .take()
            .expect("piped standard error")
            .read_to_string(&mut error_output)
            .expect("read standard error");
        assert_eq!(child.wait().expect("wait for the exit").code(), Some(1));
        assert_eq!(error_output.lines().count(), 1, "{error_output}");
        assert!(error_output.contains(expected), "{error_output}");
    }
}
