//! One session with the simulator: reads batches and writes a reply to each.

use crate::host::{BatchError, Host};
use crate::protocol::{BATCH_HEADER_LENGTH, Expected, ProtocolError, batch_length};
use std::fmt;
use std::io::{self, Read, Write};

/// Why a session ended before the end of its input.
#[derive(Debug)]
pub enum SessionError {
    /// A batch could not be applied completely.
    Batch(BatchError),
    /// Reading the input or writing the output failed.
    Io(io::Error),
}

impl fmt::Display for SessionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Batch(error) => error.fmt(f),
            Self::Io(error) => write!(f, "input or output of the simulator's protocol failed: {error}"),
        }
    }
}

impl std::error::Error for SessionError {}

impl From<BatchError> for SessionError {
    fn from(error: BatchError) -> Self {
        Self::Batch(error)
    }
}

impl From<ProtocolError> for SessionError {
    fn from(error: ProtocolError) -> Self {
        Self::Batch(error.into())
    }
}

impl From<io::Error> for SessionError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// Serves the simulator until the end of its input. If an instance fails, its last reply is still written.
///
/// # Errors
/// If the input violates the protocol, an instance fails, or the input or output fails.
pub fn run(input: &mut impl Read, output: &mut impl Write) -> Result<(), SessionError> {
    let mut host = Host::default();
    let mut batch = Vec::new();
    while read_batch(input, &mut batch)? {
        let result = host.apply_batch(&batch);
        if matches!(result, Ok(()) | Err(BatchError::InstanceFailed)) {
            output.write_all(&host.take_reply())?;
            output.flush()?;
        }
        result?;
    }
    Ok(())
}

/// Reads one complete batch into `batch`. Returns `false` at the end of the input.
fn read_batch(input: &mut impl Read, batch: &mut Vec<u8>) -> Result<bool, SessionError> {
    batch.clear();
    input.take(BATCH_HEADER_LENGTH as u64).read_to_end(batch)?;
    if batch.is_empty() {
        return Ok(false);
    }
    let Ok(header) = <[u8; BATCH_HEADER_LENGTH]>::try_from(batch.as_slice()) else {
        return Err(ProtocolError { offset: batch.len(), expected: Expected::BatchHeader }.into());
    };
    let length = batch_length(header);
    input.take(length as u64).read_to_end(batch)?;
    if batch.len() < BATCH_HEADER_LENGTH + length {
        return Err(ProtocolError { offset: batch.len(), expected: Expected::BatchBody { length } }.into());
    }
    Ok(true)
}
