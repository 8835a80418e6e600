//! What the engine keeps of a request that is open.

use crate::messages::{Dispatch, MessageTypes};
use balancer::api::{BackendId, Micros, RequestId};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    Out,
    Session,
    Ended,
}

#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) backend: BackendId,
    pub(crate) sent_at: Micros,
    pub(crate) state: State,
    /// The serial number of its lease; 0: carried.
    pub(crate) lease: u64,
}

pub(crate) struct Open<X: MessageTypes> {
    pub(crate) conduct: Dispatch<X::OutboundRequest>,
    /// `None` once the client has its final answer or has left.
    pub(crate) reply: Option<X::Responder>,
    /// How often it may be sent.
    pub(crate) max_attempts: usize,
    pub(crate) attempts: Vec<Attempt>,
}

impl<X: MessageTypes> Open<X> {
    pub(crate) fn is_over(&self) -> bool {
        self.reply.is_none() && self.attempts.iter().all(|a| a.state == State::Ended)
    }
}

/// An end that the engine itself has caused and not yet handed on.
pub(crate) struct Pending {
    pub(crate) request: RequestId,
    pub(crate) attempt: u16,
}
