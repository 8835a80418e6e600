//! Runs balancers for the simulator: reads batches from standard input and writes replies to standard output.
#![forbid(unsafe_code)]

use std::io;
use std::process::ExitCode;

/// Size of the input buffer, bytes.
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
