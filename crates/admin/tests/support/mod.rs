//! Helpers for tests that use files.

use std::fs;
use std::path::PathBuf;

/// Creates an empty directory for the test with this name.
pub fn empty_directory(test: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("admin-files-{}-{test}", std::process::id()));
    let _ = fs::remove_dir_all(&path);
    fs::create_dir_all(&path).expect("a directory");
    path
}
