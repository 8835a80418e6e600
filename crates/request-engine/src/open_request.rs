//! State of an open request and of its attempts.

use crate::messages::{Dispatch, MessageTypes};
use balancer::api::{BackendId, Micros, RequestId};

/// The lease serial number of a proxied attempt. No lease has it.
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
    /// The serial number of the attempt's lease, or [`PROXIED`].
    pub(crate) lease_serial: u64,
}

impl Attempt {
    pub(crate) fn is_proxied(&self) -> bool {
        self.lease_serial == PROXIED
    }
}

pub(crate) struct OpenRequest<M: MessageTypes> {
    pub(crate) dispatch: Dispatch<M::OutboundRequest>,
    /// `None` once the request has its final outcome or its client has disconnected.
    pub(crate) responder: Option<M::Responder>,
    pub(crate) max_attempts: usize,
    pub(crate) attempts: Vec<Attempt>,
}

impl<M: MessageTypes> OpenRequest<M> {
    /// Whether the request has its final outcome (or no client any more) and all its attempts have finished.
    pub(crate) fn is_finished(&self) -> bool {
        self.responder.is_none()
            && self.attempts.iter().all(|attempt| attempt.state == AttemptState::Finished)
    }
}

/// An attempt that the engine did not send and whose result has not been passed to the balancer yet.
pub(crate) struct UnsentAttempt {
    pub(crate) request: RequestId,
    pub(crate) attempt: u16,
}
