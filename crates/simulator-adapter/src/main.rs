//! Runs balancers for the simulator: batches on standard input, replies on standard output.
#![forbid(unsafe_code)]

use std::io;
use std::process::ExitCode;

/// Bytes of the input buffer.
const INPUT_BUFFER_LENGTH: usize = 1 << 16;

fn main() -> ExitCode {
    let mut input = io::BufReader::with_capacity(INPUT_BUFFER_LENGTH, io::stdin().lock());
    match simulator_adapter::run(&mut input, &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
