//! Observations: what clients, backends and discovery recorded of a scenario, independently of the proxies'
//! own reports.

use balancer::api::Micros;

/// What a client received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// A backend's complete response.
    Served,
    /// Status 429 or 503.
    Rejected,
    /// Any other response.
    Failed,
    /// A response that no backend produced.
    Forged,
}

/// One observed event.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// A client's request was written completely to a proxy.
    RequestSent {
        /// The request.
        id: u64,
        /// Its class, as an index into the script's classes.
        class: usize,
        /// The client's deadline.
        deadline: Micros,
        /// The proxy.
        proxy: usize,
    },
    /// The client received a complete response.
    ResponseReceived {
        /// The request.
        id: u64,
        /// The kind of response.
        kind: ResponseKind,
    },
    /// A backend received a complete request and started it. A hanging backend counts as having started it.
    AttemptStarted {
        /// The request.
        id: u64,
        /// The backend.
        backend: usize,
        /// Work, microseconds on one core.
        work: Micros,
    },
    /// A backend rejected a request without reading it.
    AttemptRejected {
        /// The request.
        id: u64,
        /// The backend.
        backend: usize,
    },
    /// A proxy was notified whether a backend accepts requests.
    BackendNotified {
        /// The proxy.
        proxy: usize,
        /// The backend.
        backend: usize,
        /// Whether the backend accepts requests.
        ready: bool,
    },
    /// A backend's process started and is warming up.
    BackendStarted {
        /// The backend.
        backend: usize,
    },
    /// The connection closed before any proxy read the request; the client may send it once more.
    RequestNotAccepted {
        /// The request.
        id: u64,
    },
    /// A client's request reached no proxy: the front end had not yet detected that the proxy's process had
    /// ended.
    RequestUndelivered {
        /// Its class, as an index into the script's classes.
        class: usize,
    },
    /// A proxy's process was killed (SIGKILL); the requests it had accepted are lost.
    ProxyKilled {
        /// The proxy.
        proxy: usize,
    },
    /// A proxy's process was restarted; the notifications of its predecessor no longer apply.
    ProxyRestarted {
        /// The proxy.
        proxy: usize,
    },
    /// A restarted proxy process reported that it is ready.
    ProxyReady {
        /// The proxy.
        proxy: usize,
    },
    /// A proxy's process is stopped (SIGSTOP).
    ProxyStalled {
        /// The proxy.
        proxy: usize,
        /// When the process continues.
        until: Micros,
    },
    /// A backend accepted a new connection.
    BackendConnected {
        /// The backend.
        backend: usize,
    },
    /// The scenario started; the times of link faults are relative to this.
    ScenarioStarted,
    /// A proxy called discovery.
    DiscoveryCalled {
        /// The proxy.
        proxy: usize,
    },
}

/// All observations of a scenario with their times.
#[derive(Default)]
pub struct ObservationLog {
    observations: Vec<(Micros, Observation)>,
}

impl ObservationLog {
    /// Adds an observation made at `at`, in microseconds.
    pub fn add(&mut self, at: Micros, observation: Observation) {
        self.observations.push((at, observation));
    }

    /// Moves all observations of another log into this one.
    pub fn append(&mut self, other: Self) {
        self.observations.extend(other.observations);
    }

    /// All observations in the order of time; those of the same time in the order in which they were added.
    #[must_use]
    pub fn in_order(&self) -> Vec<(Micros, Observation)> {
        let mut ordered = self.observations.clone();
        ordered.sort_by_key(|(at, _)| *at);
        ordered
    }

    /// Number of observations.
    #[must_use]
    pub fn len(&self) -> usize {
        self.observations.len()
    }

    /// Whether the log has no observations.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.observations.is_empty()
    }
}
