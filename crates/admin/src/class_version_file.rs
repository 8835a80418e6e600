//! The versions of request classes that a process has replaced lately, for its successor: clients may still know
//! them. One file, which is replaced atomically.
//!
//! It is only needed for seconds: a file that is absent, damaged or of another version is not used.

use crate::exclusions::Micros;
use crate::file_names::file_name_part;
use crate::machine_time::MachineTime;
use serde::{Deserialize, Serialize};
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The version of the file's format; files of other versions are not used.
const FORMAT_VERSION: u32 = 1;
/// The maximum number of bytes that are read.
const MAX_FILE_BYTES: u64 = 1 << 18;

/// The backends that drop a repeated request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoredScope {
    /// All backends.
    All,
    /// The backends of a zone.
    Zone,
    /// The backends of a cell.
    Cell,
}

/// The effect of executing a request more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoredIdempotency {
    /// None.
    Idempotent,
    /// Backends of the scope drop repeats for this time, in microseconds.
    Keyed(StoredScope, Micros),
    /// It must not be executed twice.
    NonIdempotent,
}

/// A version of a request class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredClassVersion {
    /// The name of the class.
    pub name: String,
    /// The effect of its requests.
    pub idempotency: StoredIdempotency,
    /// Its response deadline, in microseconds.
    pub deadline: Micros,
    /// When it was replaced, in microseconds; `None` while it is in force. Machine time in the file, process time
    /// elsewhere.
    pub replaced_at: Option<Micros>,
}

#[derive(Serialize, Deserialize)]
struct VersionsDocument {
    version: u32,
    classes: Vec<StoredClassVersion>,
}

/// Why the file was not used.
#[derive(Debug, Error)]
pub enum ClassVersionError {
    /// A file system call failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The content is not JSON, or lacks the fields of the format.
    #[error("the file is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The file has this format version, which is not supported.
    #[error("the file has format version {0}, expected {FORMAT_VERSION}")]
    Version(u32),
}

/// The file of one proxy, shared by its processes.
#[derive(Clone, Debug)]
pub struct ClassVersionFile {
    path: PathBuf,
    machine_time: MachineTime,
}

impl ClassVersionFile {
    /// Creates the accessor of the file of the proxy `name` in `directory`, without any I/O.
    #[must_use]
    pub fn new(directory: &Path, name: &str, machine_time: MachineTime) -> Self {
        let path = directory.join(format!("haventrack-{}.classes.json", file_name_part(name)));
        Self { path, machine_time }
    }

    /// Writes the versions that are in force or may apply.
    ///
    /// # Errors
    /// If the write fails; the previous file remains.
    pub fn write(&self, mut classes: Vec<StoredClassVersion>) -> Result<(), ClassVersionError> {
        for class in &mut classes {
            class.replaced_at = class.replaced_at.map(|at| self.machine_time.to_machine_time(at));
        }
        let text = serde_json::to_vec(&VersionsDocument { version: FORMAT_VERSION, classes })?;
        // Two processes may write at the same time, so each one uses its own temporary file.
        let new_path = self.path.with_extension(format!("new-{}", std::process::id()));
        File::create(&new_path)?.write_all(&text)?;
        Ok(fs::rename(&new_path, &self.path)?)
    }

    /// Reads the versions that another process of this proxy has written; none if there is no file.
    ///
    /// # Errors
    /// If the file cannot be read, or is not one of this format.
    pub fn read(&self) -> Result<Vec<StoredClassVersion>, ClassVersionError> {
        let mut text = Vec::new();
        match File::open(&self.path) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
            opened => opened?.take(MAX_FILE_BYTES).read_to_end(&mut text)?,
        };
        let document: VersionsDocument = serde_json::from_slice(&text)?;
        if document.version != FORMAT_VERSION {
            return Err(ClassVersionError::Version(document.version));
        }
        let mut classes = document.classes;
        for class in &mut classes {
            class.replaced_at = class.replaced_at.map(|at| self.machine_time.to_process_time(at));
        }
        Ok(classes)
    }
}
