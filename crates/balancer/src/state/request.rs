//! Open requests and their attempts.

use super::Execution;
use crate::api::{Idempotency, Micros, RequestId, RequestIdentity};
use crate::slot_map::SlotMap;
use smallvec::SmallVec;

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum AttemptState {
    InFlight,
    /// It became a session, such as a tunnel.
    Session,
    NeverExecuted,
    MayHaveExecuted,
}

/// An attempt of an open request.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    /// Index of its backend in the fleet.
    pub(crate) backend_index: usize,
    /// Zone of the backend at the time of the send. The backends of this zone remember the idempotency key,
    /// even if discovery assigns the backend to another zone later.
    pub(crate) zone: u16,
    /// Cell of the backend at the time of the send. The backends of this cell remember the idempotency key,
    /// even if discovery assigns the backend to another cell later.
    pub(crate) cell: u16,
    pub(crate) sent_at: Micros,
    /// How long its connection had been idle before it was sent.
    pub(crate) connection_idle_time: Micros,
    /// Whether a timeout means that the attempt was lost, as it is far longer than the attempt's work takes.
    pub(crate) timeout_means_loss: bool,
    pub(crate) state: AttemptState,
}

impl Attempt {
    pub(crate) fn may_have_executed(&self) -> bool {
        self.state != AttemptState::NeverExecuted
    }

    /// Its execution under the rules of its request.
    pub(crate) fn execution(&self, idempotency: Idempotency) -> Execution {
        let Self { zone, cell, sent_at, .. } = *self;
        Execution { zone, cell, sent_at, idempotency, is_unfinished: self.is_unfinished() }
    }

    pub(crate) fn is_unfinished(&self) -> bool {
        matches!(self.state, AttemptState::InFlight | AttemptState::Session)
    }
}

/// A request without a final response, or with unfinished attempts.
pub(crate) struct OpenRequest {
    pub(crate) id: RequestId,
    pub(crate) class: usize,
    /// The stricter rules of its class and of an earlier execution for its id or key.
    pub(crate) idempotency: Idempotency,
    pub(crate) arrived_at: Micros,
    pub(crate) deadline: Micros,
    pub(crate) max_attempts: usize,
    pub(crate) is_over_quota: bool,
    /// Whether its attempts use connections of this instance.
    pub(crate) is_proxied: bool,
    pub(crate) identity: Option<RequestIdentity>,
    /// The execution that its id or key had when it arrived.
    pub(crate) earlier_execution: Option<Execution>,
    /// Whether the client has its final response, or disconnected.
    pub(crate) is_answered: bool,
    pub(crate) is_streaming: bool,
    /// `Some` while it is queued.
    pub(crate) queued_until: Option<Micros>,
    /// Two are stored inline, since most requests need one: this avoids allocations on the hot path.
    pub(crate) attempts: SmallVec<[Attempt; 2]>,
}

impl OpenRequest {
    pub(crate) fn unfinished_attempts(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.is_unfinished()).count()
    }

    /// The first execution, if an attempt may have executed for this request or for an earlier one with its
    /// id or key.
    pub(crate) fn first_execution(&self) -> Option<Execution> {
        self.earlier_execution.or_else(|| self.first_effective_attempt())
    }

    /// Whether an attempt for its id was in flight when it arrived.
    pub(crate) fn has_earlier_attempt_in_flight(&self) -> bool {
        self.earlier_execution.is_some_and(|execution| execution.is_unfinished)
    }

    /// The first of its own attempts that may have executed.
    pub(crate) fn first_effective_attempt(&self) -> Option<Execution> {
        let first = self.attempts.iter().find(|attempt| attempt.may_have_executed())?;
        Some(first.execution(self.idempotency))
    }
}

/// The backends to which the next attempt of a request may be sent (rule 2).
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum RetryScope {
    Anywhere,
    Zone(u16),
    Cell(u16),
    Nowhere,
}

impl RetryScope {
    pub(crate) fn contains(self, zone: u16, cell: u16) -> bool {
        match self {
            Self::Anywhere => true,
            Self::Zone(only) => only == zone,
            Self::Cell(only) => only == cell,
            Self::Nowhere => false,
        }
    }
}

/// The open requests of an instance.
#[derive(Default)]
pub(crate) struct Requests {
    pub(crate) open: SlotMap<OpenRequest>,
    /// Indices of the requests that wait for capacity, in the order in which they were queued.
    pub(crate) queue: Vec<usize>,
    /// Attempts in flight, sessions excluded.
    pub(crate) in_flight: u32,
    pub(crate) sessions: u32,
}

impl Requests {
    /// Removes a request from the queue if it is queued.
    pub(crate) fn dequeue(&mut self, request_index: usize) {
        if self.open[request_index].queued_until.take().is_some() {
            self.queue.retain(|&queued| queued != request_index);
        }
    }
}
