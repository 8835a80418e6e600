//! Input that violates the protocol.

use super::BATCH_HEADER_LENGTH;
use std::fmt;

/// What the protocol expects where something else was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Expected {
    /// More bytes than the record has.
    RecordBytes {
        /// Number of expected bytes.
        count: usize,
        /// Length of the record with its header.
        record_length: usize,
    },
    /// A complete batch header.
    BatchHeader,
    /// More bytes than came behind the batch header.
    BatchBody {
        /// Number of expected bytes.
        length: usize,
    },
    /// Another length in the batch header.
    BatchLength {
        /// Length of the batch behind its header.
        actual: usize,
        /// Length in the header.
        declared: usize,
    },
    /// The end of the batch, since it has as many records as its header declares.
    EndOfBatch,
    /// A known outcome.
    Outcome {
        /// The received code.
        code: u16,
    },
    /// A known scope of a list.
    Scope {
        /// The received code.
        code: u8,
    },
    /// A known readiness.
    Readiness {
        /// The received code.
        code: u8,
    },
    /// An instance before its first event.
    SwitchTo,
    /// An event of a running instance.
    RunningInstance {
        /// The instance, which does not run.
        instance: u16,
    },
    /// A list that came in a `page` record.
    KnownList {
        /// The number of the unknown list.
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
            Self::SwitchTo => write!(f, "a `switch_to` before the first event of an instance"),
            Self::RunningInstance { instance } => {
                write!(f, "an event for a running instance; {instance} does not run")
            }
            Self::KnownList { list } => write!(f, "a list that a `page` has brought; {list} was not"),
        }
    }
}

/// Input that violates the protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProtocolError {
    /// Offset from the first byte of the batch.
    pub offset: usize,
    /// What was expected there.
    pub expected: Expected,
}

impl fmt::Display for ProtocolError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "bad input at byte {} of the batch: expected {}", self.offset, self.expected)
    }
}

impl std::error::Error for ProtocolError {}
