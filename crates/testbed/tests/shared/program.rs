//! The programs that tests start.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

/// The rig's own program, which starts others so that they end with a test.
pub const KEEPER: &str = env!("CARGO_BIN_EXE_testbed");

/// A program of this package, built as this test is, so that a test never plays an older one.
pub fn built(package: &str, name: &str) -> PathBuf {
    let folder = Path::new(KEEPER).parent().expect("programs lie in a folder");
    let mut cargo = Command::new(env!("CARGO"));
    cargo.args(["build", "--quiet", "--locked", "--package", package, "--bin", name]);
    cargo.arg("--target-dir").arg(folder.parent().expect("a target folder"));
    if folder.ends_with("release") {
        cargo.arg("--release");
    }
    assert!(cargo.status().expect("cargo runs").success(), "{name} builds");
    folder.join(name)
}

/// The proxy's program.
pub fn program() -> PathBuf {
    static BUILT: OnceLock<PathBuf> = OnceLock::new();
    BUILT.get_or_init(|| built("proxy-server", "load-balancing-proxy")).clone()
}
