//! What the threads of a process do, as the kernel reports it: tells a stopped process from one that waits for a lock.

use std::fs;
use std::path::Path;

/// The lines of a thread's `status` that tell why it does not run: state, and signals that are pending, blocked and caught.
const STATUS_FIELDS: [&str; 8] =
    ["Name", "State", "TracerPid", "SigQ", "SigPnd", "ShdPnd", "SigBlk", "SigCgt"];

/// The state of each thread of a process, a line each.
pub fn process_state(process: u32) -> String {
    let Ok(threads) = fs::read_dir(format!("/proc/{process}/task")) else {
        return format!("no process {process}");
    };
    let threads = threads.filter_map(Result::ok);
    let lines = threads.map(|thread| thread_state(&thread.path()));
    lines.collect::<Vec<_>>().join("\n")
}

fn thread_state(thread: &Path) -> String {
    let read = |file: &str| fs::read_to_string(thread.join(file)).unwrap_or_default();
    let status = read("status");
    let is_wanted = |line: &&str| STATUS_FIELDS.iter().any(|field| line.starts_with(field));
    let fields: Vec<_> = status.lines().filter(is_wanted).map(|line| line.replace('\t', " ")).collect();
    format!("{}, wchan {}, system call {}", fields.join(", "), read("wchan"), read("syscall").trim())
}
