//! Replays a recorded input of the simulator and compares the replies byte by byte with golden files.
//!
//! The input contains two instances that serve a few hundred requests with outcomes of every kind. Decisions
//! use no clock and no I/O, so the same input and seed always produce the same replies.

use golden_files::GoldenFiles;
use std::io::Write;
use std::process::{Command, Stdio};
use std::thread;

/// Number of leading bytes in which the replies equal `replies.bin`, which was recorded when each retry cost
/// a full token of the retry budget. No retry before this point depends on that cost.
const UNCHANGED_BYTES: usize = 36_218;

#[test]
fn recorded_input_gets_the_recorded_replies() {
    let golden = GoldenFiles::for_crate(env!("CARGO_MANIFEST_DIR"));
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("the adapter starts");
    let mut input = adapter.stdin.take().expect("stdin is piped");
    let conversation = golden.read("conversation.bin");
    let writer = thread::spawn(move || input.write_all(&conversation));
    let output = adapter.wait_with_output().expect("the adapter exits");
    writer.join().expect("the writer thread does not panic").expect("the adapter reads all input");
    golden.assert_bytes("replies-reduced-retry-price.bin", &output.stdout);
    let earlier_replies = golden.read("replies.bin");
    assert_eq!(output.stdout[..UNCHANGED_BYTES], earlier_replies[..UNCHANGED_BYTES]);
}
