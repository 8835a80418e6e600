//! Builds the programs that tests start.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

/// The testbed's program; it starts other programs so that they end with the test.
pub const TESTBED_PROGRAM: &str = env!("CARGO_BIN_EXE_testbed");

/// Builds a program of a package with the profile of this test, so that the test never runs an older build;
/// returns its path.
pub fn build_program(package: &str, name: &str) -> PathBuf {
    let folder = Path::new(TESTBED_PROGRAM).parent().expect("the folder of the programs");
    let mut cargo = Command::new(env!("CARGO"));
    cargo.args(["build", "--quiet", "--locked", "--package", package, "--bin", name]);
    cargo.arg("--target-dir").arg(folder.parent().expect("the target folder"));
    if folder.ends_with("release") {
        cargo.arg("--release");
    }
    assert!(cargo.status().expect("cargo runs").success(), "{name} builds");
    folder.join(name)
}

/// The path of the proxy's program, which is built at the first call.
pub fn proxy_program() -> PathBuf {
    static BUILT: OnceLock<PathBuf> = OnceLock::new();
    BUILT.get_or_init(|| build_program("proxy-server", "load-balancing-proxy")).clone()
}
