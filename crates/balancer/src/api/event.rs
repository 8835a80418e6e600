//! Events that the proxy passes to an instance.

use super::{BackendId, Idempotency, MembershipUpdate, Micros, Outcome, RequestId, Settings};

/// A request that a client sent.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Its id, unique among the open requests of the instance.
    pub id: RequestId,
    /// Index of its class in the settings.
    pub class: u8,
    /// The effect of executing it more than once; `None`: that of its class. It differs if the client may know
    /// another version of the class.
    pub idempotency: Option<Idempotency>,
    /// Index of its tenant in the settings.
    pub tenant: u16,
    /// Hash of the object that the request refers to, if the client named one.
    pub key: Option<u64>,
    /// Time from its arrival until the client stops waiting.
    pub timeout: Micros,
    /// Expected service time on a standard core, if the client stated one.
    pub expected_work: Option<Micros>,
    /// Whether the client marked it as a retry.
    pub is_retry: bool,
    /// Whether its attempts use connections of this proxy; otherwise an external client makes them.
    pub is_proxied: bool,
    /// What identifies it; `None` if its class is idempotent or if the front end deduplicates requests itself.
    pub identity: Option<RequestIdentity>,
}

/// What identifies a request among all that arrive, as hashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestIdentity {
    /// Hash of the id that its client chose.
    pub id: u64,
    /// Hash of its idempotency key and the name of its class; `None` if the class is not keyed.
    pub key: Option<u64>,
    /// How long backends may remember its key, by the version of its class with the longest time; 0 without a
    /// key.
    pub key_ttl: Micros,
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
    pub has_final_response: bool,
    /// Time since the send.
    pub elapsed: Micros,
    /// Values of the backend's load report; empty if there was none.
    pub load_report: &'a [f32],
}

/// An event that the proxy passes to an instance.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// The list of backends changed.
    Membership(MembershipUpdate<'a>),
    /// A request arrived.
    Request(Request),
    /// The first byte of a streamed response was forwarded to the client.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u16,
    },
    /// An attempt became a session (such as a tunnel): the client has its response. Until its
    /// [`AttemptResult`], the session counts towards the concurrency limit of its backend, and its latency is
    /// not measured.
    SessionEstablished {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u16,
    },
    /// An attempt ended.
    AttemptFinished(AttemptResult<'a>),
    /// The client disconnected before its final response.
    ClientDisconnected(RequestId),
    /// A health check ended.
    HealthCheckFinished {
        /// The backend.
        backend: BackendId,
        /// How it ended.
        outcome: Outcome,
        /// Values of the load report in its response; empty if there was none.
        load_report: &'a [f32],
    },
    /// The timer with this token expired; see [`Action::SetTimer`](super::Action::SetTimer).
    TimerExpired(u32),
    /// New settings for requests that arrive from now on. An open request keeps its class and its maximum
    /// number of attempts. Known classes must keep their indices; zones, machine kinds and tenants must not
    /// change.
    SettingsChanged(&'a Settings),
}
