//! System calls of a proxy that fail as a test says, while it runs; see `inject.c`.

use std::env;
use std::fs::{self, File, OpenOptions};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

/// What can be made to fail. The order is that of the words in `inject.c`.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    ShortRead,
    InterruptedRead,
    ShortWrite,
    InterruptedWrite,
    Accept,
    Socket,
    Connect,
    /// Connects fail for causes on this machine alone.
    ConnectLocal,
    Wait,
    Sync,
    FileWrite,
    FileOpen,
    FileRead,
    FileRename,
    /// How far the wall clock is off, in seconds.
    WallSeconds,
    Listen,
}

const WORDS: usize = Fault::Listen as usize + 1;

/// The library, built once for all tests of this process.
fn library() -> &'static Path {
    static LIBRARY: OnceLock<PathBuf> = OnceLock::new();
    LIBRARY.get_or_init(|| {
        let path = env::temp_dir().join(format!("haventrack-inject-{}.so", std::process::id()));
        let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/faults/inject.c");
        let built =
            Command::new("cc").args(["-shared", "-fPIC", "-O1", "-o"]).arg(&path).arg(source).status();
        assert!(built.expect("cc, as for linking").success());
        path
    })
}

/// The faults of one proxy, which a test switches on and off.
pub struct Faults {
    page: File,
    path: PathBuf,
}

impl Faults {
    /// None at first.
    pub fn new(name: &str) -> Self {
        let path = env::temp_dir().join(format!("haventrack-faults-{}-{name}", std::process::id()));
        let mut options = OpenOptions::new();
        let page = options.create(true).truncate(true).read(true).write(true).open(&path).expect("a page");
        page.write_all_at(&[0; WORDS * 4], 0).expect("words");
        Self { page, path }
    }

    /// So many calls in a thousand fail from now on; of [`Fault::WallSeconds`] the seconds.
    pub fn set(&self, fault: Fault, value: i32) {
        self.page.write_all_at(&value.to_ne_bytes(), fault as u64 * 4).expect("a word");
    }

    /// What the environment of the proxy has to hold.
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
