//! Test support: compares bytes with the golden files that a crate commits under `tests/golden`.
//!
//! Existing golden files are never overwritten. To record a new one, or after an intended change of a format,
//! remove the file and run the test with `RECORD_GOLDEN=1`.

use std::env;
use std::fs;
use std::path::{Path, PathBuf};

/// Environment variable that makes tests write missing golden files.
const RECORD_VARIABLE: &str = "RECORD_GOLDEN";
const HEX_DIGITS: &[u8; 16] = b"0123456789abcdef";

/// The golden files of one crate.
#[derive(Clone, Debug)]
pub struct GoldenFiles {
    directory: PathBuf,
}

impl GoldenFiles {
    /// The golden files of the crate with this manifest directory (`env!("CARGO_MANIFEST_DIR")`).
    #[must_use]
    pub fn for_crate(manifest_dir: &str) -> Self {
        Self { directory: Path::new(manifest_dir).join("tests").join("golden") }
    }

    /// Path of the golden file with this name, whether it exists or not.
    #[must_use]
    pub fn path(&self, name: &str) -> PathBuf {
        self.directory.join(name)
    }

    /// Reads a golden file.
    ///
    /// # Panics
    /// If the file cannot be read.
    #[must_use]
    pub fn read(&self, name: &str) -> Vec<u8> {
        let path = self.path(name);
        fs::read(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
    }

    /// Asserts that `actual` equals the golden file byte for byte. Writes the file if it is missing and
    /// recording is enabled.
    ///
    /// # Panics
    /// If the bytes differ, the file is missing and recording is disabled, or the file cannot be read or
    /// written.
    pub fn assert_bytes(&self, name: &str, actual: &[u8]) {
        let path = self.path(name);
        if !path.exists() && env::var_os(RECORD_VARIABLE).is_some() {
            fs::create_dir_all(&self.directory).expect("create the directory of golden files");
            fs::write(&path, actual).expect("write the golden file");
        }
        let expected = self.read(name);
        assert!(
            expected == actual,
            "{name} differs from the golden file\nexpected:\n{}\nactual:\n{}",
            String::from_utf8_lossy(&expected),
            String::from_utf8_lossy(actual)
        );
    }

    /// Asserts that lines of text, each followed by a line feed, equal the golden file.
    ///
    /// # Panics
    /// Under the conditions of [`GoldenFiles::assert_bytes`].
    pub fn assert_lines(&self, name: &str, lines: &[String]) {
        let text = lines.join("\n") + "\n";
        self.assert_bytes(name, text.as_bytes());
    }
}

/// Formats bytes as lower-case hexadecimal digits, two per byte, without separators.
#[must_use]
pub fn hex(bytes: &[u8]) -> String {
    let mut digits = String::with_capacity(2 * bytes.len());
    for byte in bytes {
        digits.push(char::from(HEX_DIGITS[usize::from(byte >> 4)]));
        digits.push(char::from(HEX_DIGITS[usize::from(byte & 0x0f)]));
    }
    digits
}
