//! Batches: a header, the simulator's clock, and records.

use super::fields::Fields;
use super::record::{RECORD_HEADER_LENGTH, Record};
use super::{Expected, ProtocolError};
use balancer::api::Micros;

/// Bytes of a batch's header: the number of its records, and the length of what follows.
pub const BATCH_HEADER_LENGTH: usize = 8;
/// Position of the length in the header.
const LENGTH_POSITION: usize = 4;
/// Bytes of the clock behind the header.
const CLOCK_LENGTH: usize = 8;

/// Length of what follows a batch's header, from the header.
#[must_use]
pub fn batch_length(header: [u8; BATCH_HEADER_LENGTH]) -> usize {
    u32::from_be_bytes([header[4], header[5], header[6], header[7]]) as usize
}

/// Reads the records of one batch in order.
#[derive(Debug)]
pub struct BatchReader<'a> {
    bytes: &'a [u8],
    /// Offset of the next record.
    offset: usize,
    remaining_records: u32,
}

impl<'a> BatchReader<'a> {
    /// Reads the header of a complete batch; `bytes` begins with the header. Returns the reader and the clock.
    ///
    /// # Errors
    /// The batch is too short for its clock, or its length differs from that in the header.
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

    /// Offset of the next record.
    #[must_use]
    pub fn offset(&self) -> usize {
        self.offset
    }

    /// The next record, or `None` behind the last one.
    ///
    /// # Errors
    /// A record is truncated or holds an unknown value, or the number of records differs from that in the header.
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
