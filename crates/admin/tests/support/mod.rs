//! Support for tests that use files.

use std::fs;
use std::path::PathBuf;

/// An empty folder for one test.
pub fn empty_folder(test: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("admin-files-{}-{test}", std::process::id()));
    let _ = fs::remove_dir_all(&path);
    fs::create_dir_all(&path).expect("a folder");
    path
}
