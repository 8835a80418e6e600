//! Temporary directories for tests.

use std::fs;
use std::path::PathBuf;

/// The directory of one test, removed when this is dropped.
pub struct TestDirectory(PathBuf);

impl TestDirectory {
    /// Creates the directory. `test` is unique among the tests of one process.
    pub fn new(test: &str) -> Self {
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{test}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a directory");
        Self(path)
    }

    /// The path of a file in the directory.
    pub fn file(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}
