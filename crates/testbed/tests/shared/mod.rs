//! Helper functions shared by several test files.

use std::fs;
use std::process::Child;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The ids of a process's children.
pub fn children(of: u32) -> Vec<u32> {
    let mut all = Vec::new();
    for task in fs::read_dir(format!("/proc/{of}/task")).into_iter().flatten().flatten() {
        let text = fs::read_to_string(task.path().join("children")).unwrap_or_default();
        all.extend(text.split_whitespace().filter_map(|id| id.parse::<u32>().ok()));
    }
    all
}

/// Whether a process with this id runs the proxy.
pub fn is_proxy_running(id: u32) -> bool {
    let name = fs::read_to_string(format!("/proc/{id}/comm")).unwrap_or_default();
    name.starts_with("load-balancing-")
}

/// Waits until the condition holds; panics with `what` after 30 s, which is ample for a busy machine.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(30);
    while !holds() {
        assert!(Instant::now() < end, "{what}");
        sleep(Duration::from_millis(20));
    }
}

/// A child process that is killed at the end of the test.
pub struct KillOnDrop(pub Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = (self.0.kill(), self.0.wait());
    }
}
