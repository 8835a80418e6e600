//! Binary frames in and out. No decision is taken here.

use balancer::api::{Action, Backend, Micros, Outcome, Readiness, Request, RequestId};
use std::fmt;

/// Bytes of a batch's header.
pub const BATCH_HEADER: usize = 8;
const RECORD_HEADER: usize = 5;
const ENTRY: usize = 22;

/// Input that does not follow the wire: where in the batch, and what was expected there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireError {
    /// Offset from the first byte of the batch.
    pub offset: usize,
    /// What was expected.
    pub expected: String,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "bad input at byte {} of the batch: expected {}", self.offset, self.expected)
    }
}

impl std::error::Error for WireError {}

/// How a membership record is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Changed entries only.
    Delta,
    /// The complete list.
    Full,
    /// The complete list as last held.
    Cached,
    /// A call failed; no entries.
    Failed,
}

/// One record of a batch.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub enum Record<'a> {
    SwitchTo(u16),
    PowerOn {
        seed: u64,
        settings: &'a [u8],
    },
    Page {
        list: u16,
        entries: &'a [u8],
    },
    Membership {
        scope: Scope,
        list: u16,
    },
    Inbound {
        request: RequestId,
        class: u8,
        tenant: u16,
        key: u64,
        patience: u32,
        work: Option<u32>,
        repeat: bool,
    },
    FirstByte {
        request: RequestId,
        attempt: u16,
    },
    Settled {
        request: RequestId,
        backend: u32,
        attempt: u16,
        outcome: Outcome,
        closed: bool,
        elapsed: u32,
        report: Vec<f32>,
    },
    Probed {
        backend: u32,
        outcome: Outcome,
        report: Vec<f32>,
    },
    Vanished(RequestId),
    CrashNow,
    Wakeup(u32),
    Peer,
    Unknown(u8),
}

impl Record<'_> {
    /// The request in the module's terms, where this record brings one.
    #[must_use]
    pub fn request(&self) -> Option<Request> {
        let &Record::Inbound { request: id, class, tenant, key, patience, work, repeat } = self else {
            return None;
        };
        Some(Request {
            id,
            class,
            tenant,
            key: (key != 0).then_some(key),
            timeout: Micros::from(patience),
            expected_work: work.map(Micros::from),
            is_retry: repeat,
            is_proxied: true,
        })
    }
}

/// Reads the records of one batch in order.
#[derive(Debug)]
pub struct BatchReader<'a> {
    bytes: &'a [u8],
    at: usize,
    left: u32,
}

/// One record's fields.
struct Fields<'a> {
    bytes: &'a [u8],
    /// Offset of the record in the batch.
    start: usize,
}

impl<'a> Fields<'a> {
    fn slice(&self, at: usize, len: usize) -> Result<&'a [u8], WireError> {
        self.bytes.get(at..at.saturating_add(len)).ok_or_else(|| WireError {
            offset: self.start + at,
            expected: format!("{len} more bytes in a record of {} bytes", self.bytes.len()),
        })
    }
    fn array<const N: usize>(&self, at: usize) -> Result<[u8; N], WireError> {
        self.slice(at, N).map(|s| s.try_into().expect("slice() returns the length asked for"))
    }
    fn u8(&self, at: usize) -> Result<u8, WireError> {
        Ok(self.array::<1>(at)?[0])
    }
    fn u16(&self, at: usize) -> Result<u16, WireError> {
        self.array(at).map(u16::from_be_bytes)
    }
    fn u32(&self, at: usize) -> Result<u32, WireError> {
        self.array(at).map(u32::from_be_bytes)
    }
    fn u64(&self, at: usize) -> Result<u64, WireError> {
        self.array(at).map(u64::from_be_bytes)
    }
    fn report(&self, at: usize) -> Result<Vec<f32>, WireError> {
        let values = self.slice(at + 1, usize::from(self.u8(at)?) * 4)?;
        Ok(values.chunks_exact(4).map(|c| f32::from_be_bytes([c[0], c[1], c[2], c[3]])).collect())
    }
    fn outcome(&self, at: usize) -> Result<Outcome, WireError> {
        Ok(match self.u16(at)? {
            100 => Outcome::Ok,
            301 => Outcome::Error,
            302 => Outcome::Rejected,
            303 => Outcome::Timeout,
            304 => Outcome::ConnectFailed,
            305 => Outcome::Reset,
            306 => Outcome::Cancelled,
            307 => Outcome::NotSent,
            other => return self.wrong(at, &format!("an outcome of 100 or 301 to 307, not {other}")),
        })
    }
    fn wrong<T>(&self, at: usize, expected: &str) -> Result<T, WireError> {
        Err(WireError { offset: self.start + at, expected: expected.into() })
    }
}

/// Length of what follows a batch's header, from the header.
#[must_use]
pub fn batch_length(header: [u8; BATCH_HEADER]) -> usize {
    u32::from_be_bytes([header[4], header[5], header[6], header[7]]) as usize
}

impl<'a> BatchReader<'a> {
    /// Reads the header of a whole batch, `bytes` beginning with the header. Gives the reader and the clock.
    ///
    /// # Errors
    /// Where the batch is too short for its clock or its length is not what the header says.
    pub fn new(bytes: &'a [u8]) -> Result<(Self, Micros), WireError> {
        let header = Fields { bytes, start: 0 };
        let (left, length) = (header.u32(0)?, header.u32(4)? as usize);
        let clock = header.u64(BATCH_HEADER)?;
        if length != bytes.len() - BATCH_HEADER {
            return header.wrong(4, &format!("a length of {}, not {length}", bytes.len() - BATCH_HEADER));
        }
        Ok((Self { bytes, at: BATCH_HEADER + 8, left }, clock))
    }

    /// Offset of the next record.
    #[must_use]
    pub fn offset(&self) -> usize {
        self.at
    }

    /// The next record, or `None` behind the last.
    ///
    /// # Errors
    /// Where a record is cut short, holds a value that the wire does not know, or the count is off.
    pub fn next_record(&mut self) -> Result<Option<Record<'a>>, WireError> {
        let rest = Fields { bytes: &self.bytes[self.at..], start: self.at };
        if self.left == 0 {
            return if rest.bytes.is_empty() { Ok(None) } else { rest.wrong(0, "the end of the batch") };
        }
        let length = RECORD_HEADER.saturating_add(rest.u32(1)? as usize);
        let f = Fields { bytes: rest.slice(0, length)?, start: self.at };
        self.at += length;
        self.left -= 1;
        parse(&f).map(Some)
    }
}

fn parse<'a>(f: &Fields<'a>) -> Result<Record<'a>, WireError> {
    Ok(match f.u8(0)? {
        0 => Record::Page {
            list: f.u16(5)?,
            entries: f.slice(11, (f.u32(7)? as usize).saturating_mul(ENTRY))?,
        },
        1 => Record::Probed { outcome: f.outcome(5)?, backend: f.u32(11)?, report: f.report(15)? },
        2 => Record::SwitchTo(f.u16(5)?),
        3 => Record::FirstByte { request: f.u32(5)?, attempt: f.u16(13)? },
        4 => Record::Settled {
            request: f.u32(5)?,
            backend: f.u32(9)?,
            closed: f.u8(13)? != 0,
            outcome: f.outcome(14)?,
            attempt: f.u16(16)?,
            elapsed: f.u32(18)?,
            report: f.report(22)?,
        },
        5 => Record::CrashNow,
        6 => Record::Wakeup(f.u32(5)?),
        7 => Record::Membership {
            scope: match f.u8(5)? {
                0 => Scope::Delta,
                1 => Scope::Full,
                2 => Scope::Cached,
                3 => Scope::Failed,
                other => return f.wrong(5, &format!("a scope of 0 to 3, not {other}")),
            },
            list: f.u16(10)?,
        },
        8 => Record::Vanished(f.u32(5)?),
        9 => Record::PowerOn { seed: f.u64(5)?, settings: f.slice(17, f.u32(13)? as usize)? },
        10 => Record::Peer,
        11 => {
            let bits = f.u8(28)?;
            Record::Inbound {
                request: f.u32(5)?,
                class: f.u8(9)?,
                tenant: f.u16(10)?,
                key: f.u64(12)?,
                patience: f.u32(20)?,
                work: (bits & 1 != 0).then_some(f.u32(24)?),
                repeat: bits & 2 != 0,
            }
        }
        other => Record::Unknown(other),
    })
}

/// The entries of a page.
///
/// # Errors
/// Where an entry holds an unknown readiness; the offset counts from the first entry.
pub fn parse_entries(entries: &[u8]) -> Result<Vec<Backend>, WireError> {
    let parse = |(i, bytes): (usize, &[u8])| {
        let f = Fields { bytes, start: i * ENTRY };
        Ok(Backend {
            id: f.u32(0)?,
            zone: f.u16(4)?,
            machine_kind: f.u8(6)?,
            cell: f.u16(7)?,
            readiness: match f.u8(9)? {
                0 => Readiness::Removed,
                1 => Readiness::Ready,
                2 => Readiness::Draining,
                other => return f.wrong(9, &format!("a readiness of 0 to 2, not {other}")),
            },
            started_at: Some(f.u64(14)?).filter(|&t| t != 0),
        })
    };
    entries.chunks_exact(ENTRY).enumerate().map(parse).collect()
}

/// Writes one reply.
#[derive(Debug)]
pub struct ReplyWriter {
    bytes: Vec<u8>,
    source: Option<u16>,
}

impl Default for ReplyWriter {
    fn default() -> Self {
        Self { bytes: vec![0; 4], source: None }
    }
}

impl ReplyWriter {
    fn record(&mut self, code: u8, fields: &[&[u8]]) {
        let length: usize = fields.iter().map(|f| f.len()).sum();
        self.bytes.push(code);
        self.bytes.extend_from_slice(&(length as u32).to_be_bytes());
        fields.iter().for_each(|f| self.bytes.extend_from_slice(f));
    }

    fn text(&mut self, code: u8, text: &str) {
        let text = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
        self.record(code, &[&(text.len() as u16).to_be_bytes(), text]);
    }

    fn source(&mut self, instance: u16) {
        if self.source != Some(instance) {
            self.source = Some(instance);
            self.record(76, &[&instance.to_be_bytes()]);
        }
    }

    /// Adds an action of an instance.
    pub fn action(&mut self, instance: u16, action: &Action) {
        let micros = |t: Micros| u32::try_from(t).unwrap_or(u32::MAX).to_be_bytes();
        self.source(instance);
        match action {
            Action::Send { request, backend, give_up_at, .. } => {
                self.record(64, &[&request.to_be_bytes(), &give_up_at.to_be_bytes(), &backend.to_be_bytes()]);
            }
            Action::Reject { request, retry_after } => {
                self.record(65, &[&request.to_be_bytes(), &micros(*retry_after)]);
            }
            Action::Fail { request } => self.record(66, &[&request.to_be_bytes()]),
            Action::Cancel { request, attempt } => {
                self.record(67, &[&request.to_be_bytes(), &attempt.to_be_bytes()]);
            }
            Action::SetTimer { delay: after, token } => {
                self.record(68, &[&micros(*after), &token.to_be_bytes()]);
            }
            Action::CheckHealth(backend) => self.record(69, &[&backend.to_be_bytes()]),
            Action::CloseIdleConnections(backend) => self.record(70, &[&backend.to_be_bytes()]),
            Action::Log(text) => self.text(72, text),
            Action::Subscribe => self.record(74, &[&[1]]),
        }
    }

    /// Says that an instance's decision code has failed.
    pub fn fatal(&mut self, instance: u16, text: &str) {
        self.source(instance);
        self.text(73, text);
    }

    /// The reply's bytes. The writer is then ready for the next reply.
    pub fn finish(&mut self) -> Vec<u8> {
        let length = (self.bytes.len() - 4) as u32;
        self.bytes[..4].copy_from_slice(&length.to_be_bytes());
        std::mem::take(self).bytes
    }
}
