//! Sources, relays and agents as processes, an emulated proxy that watches an agent, and clients that send
//! changes or arbitrary bytes. Each process has its own address, which it uses after a restart too, and is
//! killed at the end of its test.

mod change_writer;
mod process;
mod proxy;
mod raw_connection;
mod region;

pub use crate::test_directory::TestDirectory;
pub use change_writer::{ChangeWriter, configuration_change};
pub use process::{Process, run_program};
pub use proxy::{Proxy, request_discovery};
pub use raw_connection::RawConnection;
pub use region::{Region, RelayEndpoint};

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Time limit of each wait. No test depends on shorter times.
pub const TIMEOUT: Duration = Duration::from_secs(60);

/// Polls until `condition` returns a value. Panics after [`TIMEOUT`].
pub fn wait_for<T>(what: &str, mut condition: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        if let Some(found) = condition() {
            return found;
        }
        assert!(Instant::now() < deadline, "timed out waiting for: {what}");
        sleep(Duration::from_millis(10));
    }
}

/// An unused address. The ephemeral ports of clients are on 127.0.0.1, and the addresses of concurrent test
/// processes differ because they contain the process id.
pub fn address() -> SocketAddr {
    static USED: AtomicU16 = AtomicU16::new(0);
    let [high, low, ..] = (std::process::id() as u16).to_be_bytes();
    let used = USED.fetch_add(1, Ordering::Relaxed);
    let ip = Ipv4Addr::new(127, 64 + (used % 128) as u8, high, low);
    SocketAddrV4::new(ip, 7000 + used / 128).into()
}

impl TestDirectory {
    /// Writes a file. Returns its path.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.file(name);
        fs::write(&path, text).expect("a file");
        path
    }
}
