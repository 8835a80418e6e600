//! Access to the fields of one record.

use super::codes::outcome;
use super::{Expected, ProtocolError};
use balancer::api::Outcome;

/// Length of one value of a load report, bytes.
const REPORT_VALUE_LENGTH: usize = 4;

/// The bytes of one record or list entry, whose fields are read by position.
pub(super) struct Fields<'a> {
    pub(super) bytes: &'a [u8],
    /// Offset of the first byte, to which errors add the position.
    pub(super) offset: usize,
}

impl<'a> Fields<'a> {
    pub(super) fn slice(&self, position: usize, length: usize) -> Result<&'a [u8], ProtocolError> {
        let expected = Expected::RecordBytes { count: length, record_length: self.bytes.len() };
        let error = self.error(position, expected);
        self.bytes.get(position..position.saturating_add(length)).ok_or(error)
    }

    pub(super) fn u8(&self, position: usize) -> Result<u8, ProtocolError> {
        Ok(self.slice(position, 1)?[0])
    }

    pub(super) fn u16(&self, position: usize) -> Result<u16, ProtocolError> {
        self.array(position).map(u16::from_be_bytes)
    }

    pub(super) fn u32(&self, position: usize) -> Result<u32, ProtocolError> {
        self.array(position).map(u32::from_be_bytes)
    }

    pub(super) fn u64(&self, position: usize) -> Result<u64, ProtocolError> {
        self.array(position).map(u64::from_be_bytes)
    }

    fn array<const N: usize>(&self, position: usize) -> Result<[u8; N], ProtocolError> {
        let bytes = self.slice(position, N)?;
        Ok(bytes.try_into().expect("slice() returns the requested length"))
    }

    /// Parses a load report: one byte with the number of values, then the values.
    pub(super) fn load_report(&self, position: usize) -> Result<Vec<f32>, ProtocolError> {
        let length = usize::from(self.u8(position)?) * REPORT_VALUE_LENGTH;
        let values = self.slice(position + 1, length)?.chunks_exact(REPORT_VALUE_LENGTH);
        Ok(values.map(|value| f32::from_be_bytes([value[0], value[1], value[2], value[3]])).collect())
    }

    pub(super) fn outcome(&self, position: usize) -> Result<Outcome, ProtocolError> {
        Ok(match self.u16(position)? {
            outcome::OK => Outcome::Ok,
            outcome::ERROR => Outcome::Error,
            outcome::REJECTED => Outcome::Rejected,
            outcome::TIMEOUT => Outcome::Timeout,
            outcome::CONNECT_FAILED => Outcome::ConnectFailed,
            outcome::RESET => Outcome::Reset,
            outcome::CANCELLED => Outcome::Cancelled,
            outcome::NOT_SENT => Outcome::NotSent,
            code => return Err(self.error(position, Expected::Outcome { code })),
        })
    }

    pub(super) fn error(&self, position: usize, expected: Expected) -> ProtocolError {
        ProtocolError { offset: self.offset + position, expected }
    }
}
