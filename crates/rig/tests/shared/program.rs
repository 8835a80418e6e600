//! The programs that tests start.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

/// The rig's own program, which starts others so that they end with a test.
pub const KEEPER: &str = env!("CARGO_BIN_EXE_haventrack-rig");

/// The program, built as this test is, so that a test never plays an older one.
pub fn program() -> PathBuf {
    static BUILT: OnceLock<PathBuf> = OnceLock::new();
    let build = || {
        let folder = Path::new(KEEPER).parent().expect("programs lie in a folder");
        let mut cargo = Command::new(env!("CARGO"));
        cargo.args([
            "build",
            "--quiet",
            "--locked",
            "--package",
            "haventrack-program",
            "--bin",
            "haventrack-proxy",
        ]);
        cargo.arg("--target-dir").arg(folder.parent().expect("a target folder"));
        if folder.ends_with("release") {
            cargo.arg("--release");
        }
        assert!(cargo.status().expect("cargo runs").success(), "the program builds");
        folder.join("haventrack-proxy")
    };
    BUILT.get_or_init(build).clone()
}
