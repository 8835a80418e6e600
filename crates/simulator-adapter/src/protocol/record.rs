//! Received records.

use super::codes::{readiness, received, request_flag, scope};
use super::fields::Fields;
use super::{Expected, ProtocolError};
use balancer::api::{AttemptResult, Backend, Event, Micros, Outcome, Readiness, Request, RequestId};

/// Length of a record header, bytes. It contains the record's code and the length of the rest of the record.
pub(super) const RECORD_HEADER_LENGTH: usize = 5;
/// Length of one backend's entry in a [`Record::BackendList`], bytes.
const LIST_ENTRY_LENGTH: usize = 22;
/// Position of the first entry in a [`Record::BackendList`].
pub const LIST_ENTRIES_POSITION: usize = 11;
/// Position of the list's number in a [`Record::MembershipChanged`].
pub const MEMBERSHIP_LIST_POSITION: usize = 10;

/// What the list of a [`Record::MembershipChanged`] contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Only the backends that changed.
    Delta,
    /// All backends.
    Full,
    /// All backends as last seen, from a cache.
    Cached,
    /// No list: a call to discovery failed.
    Failed,
}

/// One received record.
#[derive(Clone, Debug, PartialEq)]
pub enum Record<'a> {
    /// The records that follow are for this instance.
    SelectInstance(u16),
    /// The selected instance starts.
    InstanceStarted {
        /// Seed of the instance's random numbers.
        seed: u64,
        /// The instance's settings as JSON.
        settings: &'a [u8],
    },
    /// A list of backends, to which later records refer by its number.
    BackendList {
        /// The number of the list; replaces an earlier list of the same number.
        list: u16,
        /// The entries, encoded as [`parse_backends`] expects.
        entries: &'a [u8],
    },
    /// The instance receives a list of backends, or discovery failed.
    MembershipChanged {
        /// What the list contains.
        scope: Scope,
        /// The number of the list.
        list: u16,
    },
    /// A request arrived.
    RequestArrived {
        /// Identifies the request in later records and actions.
        request: RequestId,
        /// Index of the request class in the settings.
        class: u8,
        /// Index of the tenant in the settings.
        tenant: u16,
        /// Affinity key: hash of the object that the request concerns; 0 for none.
        affinity_key: u64,
        /// Time until the client gives up, microseconds.
        timeout_us: u32,
        /// Expected work on a standard core, microseconds.
        expected_work_us: Option<u32>,
        /// Whether the client marked the request as a retry.
        is_retry: bool,
    },
    /// The first byte of a streamed response was forwarded to the client.
    ResponseStarted {
        /// The request that is answered.
        request: RequestId,
        /// Number of the attempt.
        attempt: u16,
    },
    /// An attempt ended.
    AttemptFinished {
        /// The request of the attempt.
        request: RequestId,
        /// The backend to which the attempt was sent.
        backend: u32,
        /// Number of the attempt.
        attempt: u16,
        /// How the attempt ended.
        outcome: Outcome,
        /// Whether the client has received its final response.
        is_answered: bool,
        /// Time since the attempt was sent, microseconds.
        elapsed_us: u32,
        /// The backend's load report; empty without one.
        load_report: Vec<f32>,
    },
    /// A health check ended.
    HealthCheckFinished {
        /// The checked backend.
        backend: u32,
        /// How the health check ended.
        outcome: Outcome,
        /// The backend's load report; empty without one.
        load_report: Vec<f32>,
    },
    /// The client disconnected, or its final response is overdue.
    ClientDisconnected(RequestId),
    /// The selected instance was killed and loses its state.
    InstanceKilled,
    /// The timer with this token expired.
    TimerExpired(u32),
    /// A message from another instance; not used.
    PeerMessage,
    /// A record with this unknown code, which is ignored.
    Unknown(u8),
}

impl Record<'_> {
    /// The request in a [`Record::RequestArrived`]; `None` for other records.
    #[must_use]
    pub fn request(&self) -> Option<Request> {
        let &Record::RequestArrived {
            request,
            class,
            tenant,
            affinity_key,
            timeout_us,
            expected_work_us,
            is_retry,
        } = self
        else {
            return None;
        };
        Some(Request {
            id: request,
            class,
            idempotency: None,
            tenant,
            key: (affinity_key != 0).then_some(affinity_key),
            timeout: Micros::from(timeout_us),
            expected_work: expected_work_us.map(Micros::from),
            is_retry,
            is_proxied: true,
            identity: None,
        })
    }

    /// Converts to a balancer event. Returns `None` for records that are no events or need more context to
    /// become one.
    #[must_use]
    pub fn event(&self) -> Option<Event<'_>> {
        Some(match *self {
            Record::RequestArrived { .. } => Event::Request(self.request()?),
            Record::ResponseStarted { request, attempt } => Event::ResponseStarted { request, attempt },
            Record::AttemptFinished {
                request,
                backend,
                attempt,
                outcome,
                is_answered,
                elapsed_us,
                ref load_report,
            } => Event::AttemptFinished(AttemptResult {
                request,
                backend,
                attempt,
                outcome,
                has_final_response: is_answered,
                elapsed: Micros::from(elapsed_us),
                load_report,
            }),
            Record::HealthCheckFinished { backend, outcome, ref load_report } => {
                Event::HealthCheckFinished { backend, outcome, load_report }
            }
            Record::ClientDisconnected(request) => Event::ClientDisconnected(request),
            Record::TimerExpired(token) => Event::TimerExpired(token),
            _ => return None,
        })
    }
}

impl<'a> Record<'a> {
    /// Parses a record with its header; the numbers are positions of fields in the protocol.
    pub(super) fn parse(fields: &Fields<'a>) -> Result<Self, ProtocolError> {
        Ok(match fields.u8(0)? {
            received::BACKEND_LIST => Self::BackendList {
                list: fields.u16(5)?,
                entries: fields.slice(
                    LIST_ENTRIES_POSITION,
                    (fields.u32(7)? as usize).saturating_mul(LIST_ENTRY_LENGTH),
                )?,
            },
            received::HEALTH_CHECK_FINISHED => Self::HealthCheckFinished {
                outcome: fields.outcome(5)?,
                backend: fields.u32(11)?,
                load_report: fields.load_report(15)?,
            },
            received::SELECT_INSTANCE => Self::SelectInstance(fields.u16(5)?),
            received::RESPONSE_STARTED => {
                Self::ResponseStarted { request: fields.u32(5)?, attempt: fields.u16(13)? }
            }
            received::ATTEMPT_FINISHED => Self::AttemptFinished {
                request: fields.u32(5)?,
                backend: fields.u32(9)?,
                is_answered: fields.u8(13)? != 0,
                outcome: fields.outcome(14)?,
                attempt: fields.u16(16)?,
                elapsed_us: fields.u32(18)?,
                load_report: fields.load_report(22)?,
            },
            received::INSTANCE_KILLED => Self::InstanceKilled,
            received::TIMER_EXPIRED => Self::TimerExpired(fields.u32(5)?),
            received::MEMBERSHIP_CHANGED => Self::MembershipChanged {
                scope: parse_scope(fields, 5)?,
                list: fields.u16(MEMBERSHIP_LIST_POSITION)?,
            },
            received::CLIENT_DISCONNECTED => Self::ClientDisconnected(fields.u32(5)?),
            received::INSTANCE_STARTED => Self::InstanceStarted {
                seed: fields.u64(5)?,
                settings: fields.slice(17, fields.u32(13)? as usize)?,
            },
            received::PEER_MESSAGE => Self::PeerMessage,
            received::REQUEST_ARRIVED => Self::parse_request(fields)?,
            code => Self::Unknown(code),
        })
    }

    fn parse_request(fields: &Fields<'a>) -> Result<Self, ProtocolError> {
        let flags = fields.u8(28)?;
        Ok(Self::RequestArrived {
            request: fields.u32(5)?,
            class: fields.u8(9)?,
            tenant: fields.u16(10)?,
            affinity_key: fields.u64(12)?,
            timeout_us: fields.u32(20)?,
            expected_work_us: (flags & request_flag::HAS_EXPECTED_WORK != 0).then_some(fields.u32(24)?),
            is_retry: flags & request_flag::IS_RETRY != 0,
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

/// Parses the entries of a [`Record::BackendList`].
///
/// # Errors
/// If an entry has an unknown readiness. The error's offset counts from the first entry.
pub fn parse_backends(entries: &[u8]) -> Result<Vec<Backend>, ProtocolError> {
    let parse = |(index, bytes)| parse_backend(&Fields { bytes, offset: index * LIST_ENTRY_LENGTH });
    entries.chunks_exact(LIST_ENTRY_LENGTH).enumerate().map(parse).collect()
}

fn parse_backend(fields: &Fields<'_>) -> Result<Backend, ProtocolError> {
    Ok(Backend {
        id: fields.u32(0)?,
        zone: fields.u16(4)?,
        machine_kind: fields.u8(6)?,
        cell: fields.u16(7)?,
        readiness: match fields.u8(9)? {
            readiness::REMOVED => Readiness::Removed,
            readiness::READY => Readiness::Ready,
            readiness::DRAINING => Readiness::Draining,
            code => return Err(fields.error(9, Expected::Readiness { code })),
        },
        started_at: Some(fields.u64(14)?).filter(|&started_at| started_at != 0),
    })
}
