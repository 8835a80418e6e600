//! The state of a process's threads as the kernel reports it. It distinguishes a stopped process from one
//! that waits for a lock.

use std::fs;
use std::path::Path;

/// The fields of a thread's `status` that show why it does not run: its state, its tracer, and its pending,
/// blocked and caught signals.
const STATUS_FIELDS: [&str; 8] =
    ["Name", "State", "TracerPid", "SigQ", "SigPnd", "ShdPnd", "SigBlk", "SigCgt"];

/// The state of the process, one line for each thread.
pub fn describe_threads(process: u32) -> String {
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
    let is_status_field = |line: &&str| STATUS_FIELDS.iter().any(|field| line.starts_with(field));
    let fields: Vec<_> = status.lines().filter(is_status_field).map(|line| line.replace('\t', " ")).collect();
    format!("{}, wchan {}, system call {}", fields.join(", "), read("wchan"), read("syscall").trim())
}
