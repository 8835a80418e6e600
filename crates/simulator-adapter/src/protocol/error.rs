//! Errors about input that violates the protocol.

use super::BATCH_HEADER_LENGTH;
use std::fmt;

/// What the protocol requires at a point where something else was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Expected {
    /// A field that lies within the record.
    RecordBytes {
        /// Length of the field, bytes.
        count: usize,
        /// Length of the record with its header, bytes.
        record_length: usize,
    },
    /// A complete batch header.
    BatchHeader,
    /// A complete batch after its header.
    BatchBody {
        /// Length of the batch after its header, bytes, as the header declares it.
        length: usize,
    },
    /// The actual length of the batch in its header.
    BatchLength {
        /// Length of the batch after its header, bytes.
        actual: usize,
        /// Length that the header declares, bytes.
        declared: usize,
    },
    /// The end of the batch, since it already has as many records as its header declares.
    EndOfBatch,
    /// The code of a known outcome.
    Outcome {
        /// The received code.
        code: u16,
    },
    /// The code of a known scope of a list.
    Scope {
        /// The received code.
        code: u8,
    },
    /// The code of a known readiness.
    Readiness {
        /// The received code.
        code: u8,
    },
    /// A record that selects an instance, before the first event of an instance.
    InstanceSelection,
    /// An event for a running instance.
    RunningInstance {
        /// The selected instance, which is not running.
        instance: u16,
    },
    /// The number of a list that was received before.
    KnownList {
        /// The unknown number.
        list: u16,
    },
}

impl fmt::Display for Expected {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::RecordBytes { count, record_length } => {
                write!(f, "{count} more bytes in a record of {record_length} bytes")
            }
            Self::BatchHeader => write!(f, "a batch header of {BATCH_HEADER_LENGTH} bytes"),
            Self::BatchBody { length } => write!(f, "{length} bytes behind the batch header"),
            Self::BatchLength { actual, declared } => write!(f, "a length of {actual}, not {declared}"),
            Self::EndOfBatch => write!(f, "the end of the batch"),
            Self::Outcome { code } => write!(f, "an outcome of 100 or 301 to 307, not {code}"),
            Self::Scope { code } => write!(f, "a scope of 0 to 3, not {code}"),
            Self::Readiness { code } => write!(f, "a readiness of 0 to 2, not {code}"),
            Self::InstanceSelection => write!(f, "a `switch_to` before the first event of an instance"),
            Self::RunningInstance { instance } => {
                write!(f, "an event for a running instance; {instance} does not run")
            }
            Self::KnownList { list } => write!(f, "a list that a `page` has brought; {list} was not"),
        }
    }
}

/// Received input that violates the protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProtocolError {
    /// Offset from the first byte of the batch.
    pub offset: usize,
    /// What the protocol requires there.
    pub expected: Expected,
}

impl fmt::Display for ProtocolError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "bad input at byte {} of the batch: expected {}", self.offset, self.expected)
    }
}

impl std::error::Error for ProtocolError {}
