//! Batches of received records. A batch consists of a header, the simulator's clock and the records.

use super::fields::Fields;
use super::record::{RECORD_HEADER_LENGTH, Record};
use super::{Expected, ProtocolError};
use balancer::api::Micros;

/// Length of a batch header, bytes. It contains the number of records, and the length of the rest of the
/// batch.
pub const BATCH_HEADER_LENGTH: usize = 8;
/// Position of the length field in the header.
const LENGTH_POSITION: usize = 4;
/// Length of the clock, which follows the header, bytes.
const CLOCK_LENGTH: usize = 8;

/// Returns the length of the rest of a batch from its header, bytes.
#[must_use]
pub fn batch_length(header: [u8; BATCH_HEADER_LENGTH]) -> usize {
    u32::from_be_bytes([header[4], header[5], header[6], header[7]]) as usize
}

/// Parses the records of one batch in order.
#[derive(Debug)]
pub struct BatchReader<'a> {
    bytes: &'a [u8],
    /// Offset of the next record in the batch.
    offset: usize,
    remaining_records: u32,
}

impl<'a> BatchReader<'a> {
    /// Parses the header of a complete batch; `bytes` begins with the header. Returns the reader and the
    /// clock, microseconds.
    ///
    /// # Errors
    /// If the batch is too short for the clock, or its length differs from the one in the header.
    pub fn new(bytes: &'a [u8]) -> Result<(Self, Micros), ProtocolError> {
        let header = Fields { bytes, offset: 0 };
        let remaining_records = header.u32(0)?;
        let declared = header.u32(LENGTH_POSITION)? as usize;
        let clock = header.u64(BATCH_HEADER_LENGTH)?;
        let actual = bytes.len() - BATCH_HEADER_LENGTH;
        if declared != actual {
            return Err(header.error(LENGTH_POSITION, Expected::BatchLength { actual, declared }));
        }
        let offset = BATCH_HEADER_LENGTH + CLOCK_LENGTH;
        Ok((Self { bytes, offset, remaining_records }, clock))
    }

    /// Offset of the next record from the first byte of the batch.
    #[must_use]
    pub fn offset(&self) -> usize {
        self.offset
    }

    /// Parses the next record. Returns `None` after the last one.
    ///
    /// # Errors
    /// If a record is truncated or contains an unknown value, or the number of records differs from the one
    /// in the header.
    pub fn next_record(&mut self) -> Result<Option<Record<'a>>, ProtocolError> {
        let rest = Fields { bytes: &self.bytes[self.offset..], offset: self.offset };
        if self.remaining_records == 0 {
            return if rest.bytes.is_empty() { Ok(None) } else { Err(rest.error(0, Expected::EndOfBatch)) };
        }
        let length = RECORD_HEADER_LENGTH.saturating_add(rest.u32(1)? as usize);
        let fields = Fields { bytes: rest.slice(0, length)?, offset: self.offset };
        self.offset += length;
        self.remaining_records -= 1;
        Record::parse(&fields).map(Some)
    }
}
