//! Fault injection into the system calls of a running proxy through a preloaded library; see `inject.c`.

use std::env;
use std::fs::{self, File, OpenOptions};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

/// The kinds of faults. Their order is that of the values in the control file; see the enumeration in
/// `inject.c`.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    ShortRead,
    InterruptedRead,
    ShortWrite,
    InterruptedWrite,
    Accept,
    Socket,
    Connect,
    /// Connects fail with local errors, such as no free port.
    ConnectLocal,
    Wait,
    Sync,
    FileWrite,
    FileOpen,
    FileRead,
    FileRename,
    /// Not a failure rate: the offset of the wall clock, in seconds.
    WallSeconds,
    Listen,
}

const FAULT_COUNT: usize = Fault::Listen as usize + 1;

/// The path of the library, which is built once per test process.
fn library() -> &'static Path {
    static LIBRARY: OnceLock<PathBuf> = OnceLock::new();
    LIBRARY.get_or_init(|| {
        let path = env::temp_dir().join(format!("haventrack-inject-{}.so", std::process::id()));
        let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/faults/inject.c");
        let built =
            // `-z now` resolves symbols at load time: a lookup at the first call could take a lock in a
            // signal handler.
            Command::new("cc").args(["-shared", "-fPIC", "-O1", "-Wl,-z,now", "-o"]).arg(&path).arg(source).status();
        assert!(built.expect("the C compiler `cc` runs").success());
        path
    })
}

/// The faults of one proxy, which a test sets while the proxy runs.
pub struct Faults {
    control_file: File,
    path: PathBuf,
}

impl Faults {
    /// Creates the control file without faults; `name` has to be unique among the tests.
    pub fn new(name: &str) -> Self {
        let path = env::temp_dir().join(format!("haventrack-faults-{}-{name}", std::process::id()));
        let mut options = OpenOptions::new();
        let control_file = options
            .create(true)
            .truncate(true)
            .read(true)
            .write(true)
            .open(&path)
            .expect("the control file is created");
        control_file.write_all_at(&[0; FAULT_COUNT * 4], 0).expect("the control file is initialized");
        Self { control_file, path }
    }

    /// Sets how many of a thousand calls fail; for [`Fault::WallSeconds`], the offset of the clock in
    /// seconds.
    pub fn set(&self, fault: Fault, value: i32) {
        self.control_file.write_all_at(&value.to_ne_bytes(), fault as u64 * 4).expect("the fault is set");
    }

    /// The environment variables with which the proxy loads the library; `seed` is for its random numbers.
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
