//! Sources, relays and agents as processes, a stand-in for the proxy that watches an agent, and clients that write changes
//! or arbitrary bytes. Each process has an address of its own, which it has again after a restart, and ends with its test.

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

/// How long anything may take before the test fails. No result depends on a time below it.
pub const TIMEOUT: Duration = Duration::from_secs(60);

/// Waits until `condition` returns a value.
pub fn wait_for<T>(what: &str, mut condition: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        if let Some(found) = condition() {
            return found;
        }
        assert!(Instant::now() < deadline, "waited in vain for: {what}");
        sleep(Duration::from_millis(10));
    }
}

/// An unused address: connections come from 127.0.0.1, and tests that run at the same time have other process ids.
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
