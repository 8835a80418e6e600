//! State of an open request and of its attempts.

use crate::messages::{Dispatch, MessageTypes};
use balancer::api::{BackendId, Micros, RequestId};

/// The lease serial number of an attempt without a lease; none is granted with it.
pub(crate) const PROXIED: u64 = 0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptState {
    InFlight,
    Session,
    Finished,
}

#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) backend: BackendId,
    pub(crate) sent_at: Micros,
    pub(crate) state: AttemptState,
    /// The serial number of its lease, or [`PROXIED`].
    pub(crate) lease_serial: u64,
}

impl Attempt {
    pub(crate) fn is_proxied(&self) -> bool {
        self.lease_serial == PROXIED
    }
}

pub(crate) struct OpenRequest<X: MessageTypes> {
    pub(crate) dispatch: Dispatch<X::OutboundRequest>,
    /// `None` once the client has its final answer or has disconnected.
    pub(crate) responder: Option<X::Responder>,
    pub(crate) max_attempts: usize,
    pub(crate) attempts: Vec<Attempt>,
}

impl<X: MessageTypes> OpenRequest<X> {
    /// Whether it has its final answer (or no client) and no attempt in flight.
    pub(crate) fn is_finished(&self) -> bool {
        self.responder.is_none()
            && self.attempts.iter().all(|attempt| attempt.state == AttemptState::Finished)
    }
}

/// An attempt that the engine did not send and whose result the balancer has not received yet.
pub(crate) struct UnsentAttempt {
    pub(crate) request: RequestId,
    pub(crate) attempt: u16,
}
