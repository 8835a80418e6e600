//! Fault injection into system calls of a running proxy, by a preloaded library; see `inject.c`.

use std::env;
use std::fs::{self, File, OpenOptions};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

/// The kinds of faults, in the order of the words in `inject.c`.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    ShortRead,
    InterruptedRead,
    ShortWrite,
    InterruptedWrite,
    Accept,
    Socket,
    Connect,
    /// Connects fail for local causes.
    ConnectLocal,
    Wait,
    Sync,
    FileWrite,
    FileOpen,
    FileRead,
    FileRename,
    /// The offset of the wall clock, in seconds.
    WallSeconds,
    Listen,
}

const FAULT_COUNT: usize = Fault::Listen as usize + 1;

/// The library, built once per test process.
fn library() -> &'static Path {
    static LIBRARY: OnceLock<PathBuf> = OnceLock::new();
    LIBRARY.get_or_init(|| {
        let path = env::temp_dir().join(format!("haventrack-inject-{}.so", std::process::id()));
        let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/faults/inject.c");
        let built =
            // Bound at the start, so that the first call of a function looks up nothing.
            Command::new("cc").args(["-shared", "-fPIC", "-O1", "-Wl,-z,now", "-o"]).arg(&path).arg(source).status();
        assert!(built.expect("cc, as for linking").success());
        path
    })
}

/// The faults of one proxy, which a test sets while it runs.
pub struct Faults {
    control_file: File,
    path: PathBuf,
}

impl Faults {
    /// No faults yet.
    pub fn new(name: &str) -> Self {
        let path = env::temp_dir().join(format!("haventrack-faults-{}-{name}", std::process::id()));
        let mut options = OpenOptions::new();
        let control_file =
            options.create(true).truncate(true).read(true).write(true).open(&path).expect("a page");
        control_file.write_all_at(&[0; FAULT_COUNT * 4], 0).expect("words");
        Self { control_file, path }
    }

    /// Sets how many calls in a thousand fail; for [`Fault::WallSeconds`] the offset in seconds.
    pub fn set(&self, fault: Fault, value: i32) {
        self.control_file.write_all_at(&value.to_ne_bytes(), fault as u64 * 4).expect("a word");
    }

    /// The environment variables that the proxy needs.
    pub fn environment(&self, seed: u64) -> Vec<(&'static str, String)> {
        vec![
            ("LD_PRELOAD", library().display().to_string()),
            ("FAULTS", self.path.display().to_string()),
            ("FAULTS_SEED", seed.to_string()),
        ]
    }
}

impl Drop for Faults {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.path);
    }
}
