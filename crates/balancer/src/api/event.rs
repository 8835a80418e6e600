//! What an instance is notified of.

use super::{BackendId, MembershipUpdate, Micros, Outcome, RequestId, Settings};

/// A request that a client sent.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Index of its class in the settings.
    pub class: u8,
    /// Index of its tenant in the settings.
    pub tenant: u16,
    /// Hash of the object that it is about.
    pub key: Option<u64>,
    /// Time until the client gives up.
    pub timeout: Micros,
    /// Expected work on a standard core.
    pub expected_work: Option<Micros>,
    /// Whether the client marked it as a retry.
    pub is_retry: bool,
    /// Whether its attempts use connections of this proxy; otherwise an external client makes them.
    pub is_proxied: bool,
}

/// The end of one attempt. Each [`Action::Send`](super::Action::Send) gets exactly one.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult<'a> {
    /// The request.
    pub request: RequestId,
    /// The backend that the attempt was sent to.
    pub backend: BackendId,
    /// Number of the attempt, from 0 in the order of the sends.
    pub attempt: u16,
    /// How it ended.
    pub outcome: Outcome,
    /// Whether the client has its final response.
    pub is_answered: bool,
    /// Time since the send.
    pub elapsed: Micros,
    /// The backend's load report; empty if none came.
    pub load_report: &'a [f32],
}

/// What an instance is notified of.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// The list of backends changed.
    Membership(MembershipUpdate<'a>),
    /// A request arrived.
    Request(Request),
    /// The first byte of a streamed response was passed on.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u16,
    },
    /// An attempt became a session (such as a tunnel): its client has its response, and the session occupies a slot without
    /// a latency to measure until its [`AttemptResult`].
    SessionEstablished {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u16,
    },
    /// An attempt ended.
    AttemptFinished(AttemptResult<'a>),
    /// The client disconnected; the request is over.
    ClientDisconnected(RequestId),
    /// A health check ended.
    HealthCheckFinished {
        /// The backend.
        backend: BackendId,
        /// How it ended.
        outcome: Outcome,
        /// The load report that came with it; empty if none came.
        load_report: &'a [f32],
    },
    /// A timer expired; the token of its [`Action::SetTimer`](super::Action::SetTimer).
    TimerExpired(u32),
    /// New settings for requests that arrive from now on; open requests keep the ones under which they arrived. Known
    /// classes keep their indices; zones, machine kinds and tenants stay as they are.
    SettingsChanged(&'a Settings),
}
