//! Received records, by the names of the protocol.

use super::codes::{inbound_flag, readiness, received, scope};
use super::fields::Fields;
use super::{Expected, ProtocolError};
use balancer::api::{AttemptResult, Backend, Event, Micros, Outcome, Readiness, Request, RequestId};

/// Bytes of a record's header: its code, and the length of what follows.
pub(super) const RECORD_HEADER_LENGTH: usize = 5;
/// Bytes of an entry of a `page` record.
const ENTRY_LENGTH: usize = 22;
/// Position of the first entry in a `page` record.
pub const ENTRIES_POSITION: usize = 11;
/// Position of the list's number in a `membership` record.
pub const SCOPE_LIST_POSITION: usize = 10;

/// What the list of a `membership` record is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Changed entries only.
    Delta,
    /// The complete list.
    Full,
    /// The complete list as last seen.
    Cached,
    /// A call to discovery failed; no entries.
    Failed,
}

/// One record of a batch. Times are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub enum Record<'a> {
    /// The records that follow are for this instance.
    SwitchTo(u16),
    /// An instance starts.
    PowerOn {
        /// Seed of its random numbers.
        seed: u64,
        /// Its settings as JSON.
        settings: &'a [u8],
    },
    /// A list of backends, to be referred to by its number.
    Page {
        /// The number.
        list: u16,
        /// Its entries, for [`parse_entries`].
        entries: &'a [u8],
    },
    /// The list of backends changed.
    Membership {
        /// What the list is.
        scope: Scope,
        /// The number of the list.
        list: u16,
    },
    /// A request arrived.
    Inbound {
        /// Its id.
        request: RequestId,
        /// Its class.
        class: u8,
        /// Its tenant.
        tenant: u16,
        /// Hash of the object that it is about; 0 for none.
        key: u64,
        /// Time until the client gives up.
        timeout: u32,
        /// Expected work on a standard core.
        expected_work: Option<u32>,
        /// Whether the client marked it as a retry.
        is_retry: bool,
    },
    /// The first byte of a streamed response was passed on.
    FirstByte {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u16,
    },
    /// An attempt ended.
    Settled {
        /// The request.
        request: RequestId,
        /// The backend.
        backend: u32,
        /// The attempt.
        attempt: u16,
        /// How it ended.
        outcome: Outcome,
        /// Whether the client has its final response.
        is_answered: bool,
        /// Time since the send.
        elapsed: u32,
        /// The backend's load report; empty if none came.
        load_report: Vec<f32>,
    },
    /// A health check ended.
    Probed {
        /// The backend.
        backend: u32,
        /// How it ended.
        outcome: Outcome,
        /// The backend's load report; empty if none came.
        load_report: Vec<f32>,
    },
    /// The client disconnected, or its final response is overdue.
    Vanished(RequestId),
    /// The instance was killed.
    CrashNow,
    /// A timer expired; its token.
    Wakeup(u32),
    /// A message of another instance; not used.
    Peer,
    /// A record of an unknown code, which is to be ignored.
    Unknown(u8),
}

impl Record<'_> {
    /// The request that an `inbound` record holds.
    #[must_use]
    pub fn request(&self) -> Option<Request> {
        let &Record::Inbound { request, class, tenant, key, timeout, expected_work, is_retry } = self else {
            return None;
        };
        Some(Request {
            id: request,
            class,
            tenant,
            key: (key != 0).then_some(key),
            timeout: Micros::from(timeout),
            expected_work: expected_work.map(Micros::from),
            is_retry,
            is_proxied: true,
        })
    }

    /// The event that the record describes completely; `None` for records that are not events of their own.
    #[must_use]
    pub fn event(&self) -> Option<Event<'_>> {
        Some(match *self {
            Record::Inbound { .. } => Event::Request(self.request()?),
            Record::FirstByte { request, attempt } => Event::ResponseStarted { request, attempt },
            Record::Settled { request, backend, attempt, outcome, is_answered, elapsed, ref load_report } => {
                Event::AttemptFinished(AttemptResult {
                    request,
                    backend,
                    attempt,
                    outcome,
                    is_answered,
                    elapsed: Micros::from(elapsed),
                    load_report,
                })
            }
            Record::Probed { backend, outcome, ref load_report } => {
                Event::HealthCheckFinished { backend, outcome, load_report }
            }
            Record::Vanished(request) => Event::ClientDisconnected(request),
            Record::Wakeup(token) => Event::TimerExpired(token),
            _ => return None,
        })
    }
}

impl<'a> Record<'a> {
    /// Positions are those of the protocol.
    pub(super) fn parse(fields: &Fields<'a>) -> Result<Self, ProtocolError> {
        Ok(match fields.u8(0)? {
            received::PAGE => Self::Page {
                list: fields.u16(5)?,
                entries: fields
                    .slice(ENTRIES_POSITION, (fields.u32(7)? as usize).saturating_mul(ENTRY_LENGTH))?,
            },
            received::PROBED => Self::Probed {
                outcome: fields.outcome(5)?,
                backend: fields.u32(11)?,
                load_report: fields.load_report(15)?,
            },
            received::SWITCH_TO => Self::SwitchTo(fields.u16(5)?),
            received::FIRST_BYTE => Self::FirstByte { request: fields.u32(5)?, attempt: fields.u16(13)? },
            received::SETTLED => Self::Settled {
                request: fields.u32(5)?,
                backend: fields.u32(9)?,
                is_answered: fields.u8(13)? != 0,
                outcome: fields.outcome(14)?,
                attempt: fields.u16(16)?,
                elapsed: fields.u32(18)?,
                load_report: fields.load_report(22)?,
            },
            received::CRASH_NOW => Self::CrashNow,
            received::WAKEUP => Self::Wakeup(fields.u32(5)?),
            received::MEMBERSHIP => {
                Self::Membership { scope: parse_scope(fields, 5)?, list: fields.u16(SCOPE_LIST_POSITION)? }
            }
            received::VANISHED => Self::Vanished(fields.u32(5)?),
            received::POWER_ON => {
                Self::PowerOn { seed: fields.u64(5)?, settings: fields.slice(17, fields.u32(13)? as usize)? }
            }
            received::PEER => Self::Peer,
            received::INBOUND => Self::parse_inbound(fields)?,
            code => Self::Unknown(code),
        })
    }

    fn parse_inbound(fields: &Fields<'a>) -> Result<Self, ProtocolError> {
        let flags = fields.u8(28)?;
        Ok(Self::Inbound {
            request: fields.u32(5)?,
            class: fields.u8(9)?,
            tenant: fields.u16(10)?,
            key: fields.u64(12)?,
            timeout: fields.u32(20)?,
            expected_work: (flags & inbound_flag::HAS_WORK != 0).then_some(fields.u32(24)?),
            is_retry: flags & inbound_flag::IS_RETRY != 0,
        })
    }
}

fn parse_scope(fields: &Fields<'_>, position: usize) -> Result<Scope, ProtocolError> {
    match fields.u8(position)? {
        scope::DELTA => Ok(Scope::Delta),
        scope::FULL => Ok(Scope::Full),
        scope::CACHED => Ok(Scope::Cached),
        scope::FAILED => Ok(Scope::Failed),
        code => Err(fields.error(position, Expected::Scope { code })),
    }
}

/// The entries of a `page` record.
///
/// # Errors
/// An entry holds an unknown readiness; the offset counts from the first entry.
pub fn parse_entries(entries: &[u8]) -> Result<Vec<Backend>, ProtocolError> {
    let parse = |(index, bytes)| parse_entry(&Fields { bytes, offset: index * ENTRY_LENGTH });
    entries.chunks_exact(ENTRY_LENGTH).enumerate().map(parse).collect()
}

fn parse_entry(fields: &Fields<'_>) -> Result<Backend, ProtocolError> {
    Ok(Backend {
        id: fields.u32(0)?,
        zone: fields.u16(4)?,
        machine_kind: fields.u8(6)?,
        cell: fields.u16(7)?,
        readiness: match fields.u8(9)? {
            readiness::GONE => Readiness::Removed,
            readiness::READY => Readiness::Ready,
            readiness::DRAINING => Readiness::Draining,
            code => return Err(fields.error(9, Expected::Readiness { code })),
        },
        started_at: Some(fields.u64(14)?).filter(|&started_at| started_at != 0),
    })
}
