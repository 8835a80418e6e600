//! The interface of the decision module: what it is told ([`Settings`], [`Event`]) and what it answers
//! ([`Action`]). Nothing here does I/O or reads a clock; times come in with each call.

use std::fmt;

/// A point in time or a span, in microseconds.
pub type Micros = u64;
/// A request, as the proxy numbers it. An id is never used twice in one life of an instance.
pub type RequestId = u32;
/// A backend server; the same number at every proxy, also after its process restarts.
pub type BackendId = u32;

/// Which backends drop a repeat of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupGroup {
    /// Every backend.
    All,
    /// The backends of one zone.
    Zone,
    /// The backends of one cell.
    Cell,
}

/// What running a request twice would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Safe to repeat.
    Safe,
    /// Repeats are dropped inside a group of backends for a while after the first attempt.
    Keyed {
        /// The backends that know of one another's attempts.
        group: DedupGroup,
        /// How long they remember.
        ttl: Micros,
    },
    /// Must not run twice.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Answers inside this span earn the full worth.
    pub aim: Micros,
    /// How much of a request's own work is added to the aim.
    pub aim_stretch: f64,
    /// How long a client waits in all.
    pub deadline: Micros,
    /// Worth of an answer in time.
    pub worth: f64,
    /// Part of the worth left when the answer comes after the aim.
    pub late_worth: f64,
    /// What a repeat does.
    pub effect: Effect,
}

/// The most tenants that settings may name: requests know theirs by a position of 16 bits.
pub const MAX_TENANTS: usize = 1 << 16;

/// A tenant and its share of the service.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second within its share, over all proxies.
    pub allowance_per_s: f64,
}

/// The parts of the load report that the module reads, by their position in the report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportFields {
    /// Requests in hand at the backend.
    pub active: Option<usize>,
    /// Requests in its queue.
    pub waiting: Option<usize>,
    /// Service time of late, milliseconds.
    pub avg_ms: Option<usize>,
}

/// Limits of what an instance may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permissions {
    /// Attempts for one request.
    pub max_attempts: u16,
    /// Whether a request may have two attempts out at once.
    pub second_copies: bool,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether backends may be probed.
    pub probes: bool,
    /// An idle connection closes after this time.
    pub conn_idle: Micros,
    /// The attempts that one connection carries at the same time.
    pub multiplex: u32,
    /// Whether clients are given a retry-after, and the longest that they heed.
    pub retry_after: Option<Micros>,
}

/// Figures of the rules.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Safety {
    /// An instance without a subscription is taken to know the list as of this long ago.
    pub ask_within: Micros,
    /// The part of its capacity that a backend has when it starts.
    pub cold_from: f64,
    /// The time after which it is warm.
    pub cold_time: Micros,
    /// Sent more than this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... for this long, a cold backend falls over.
    pub fall_time: Micros,
}

/// What an instance is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The number of this instance among the proxies of its tier.
    pub me: u32,
    /// How many proxies the tier has.
    pub balancers: u32,
    /// The zone of this instance.
    pub zone: u16,
    /// Number of zones.
    pub zones: u16,
    /// Number of machine kinds.
    pub kinds: u8,
    /// Whether the list of backends comes only after [`Action::Subscribe`].
    pub discovery_on_request: bool,
    /// Whether a backend does less work for a key that it met lately.
    pub warm_keys: bool,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's share, as a part of its class's worth.
    pub over_share_worth: f64,
    /// Price of an attempt that crosses zones, as a part of a mean request's worth.
    pub cross_zone_price: f64,
    /// Price of a probe, in the same unit.
    pub probe_price: f64,
    /// Where the values of a load report stand.
    pub report: ReportFields,
    /// Whether load reports come with probe results alone.
    pub report_by_probe: bool,
    /// What is allowed.
    pub permissions: Permissions,
    /// Figures of the rules.
    pub safety: Safety,
}

/// A setting that makes no sense.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Which setting.
    pub field: String,
    /// What is wrong with it.
    pub problem: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting `{}`: {}", self.field, self.problem)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Checks that the figures can be worked with.
    ///
    /// # Errors
    /// The first setting that makes no sense.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let check = |good: bool, field: &str, problem: &str| match good {
            true => Ok(()),
            false => Err(SettingsError { field: field.into(), problem: problem.into() }),
        };
        check(self.balancers > 0, "balancers", "there must be at least one")?;
        check(!self.classes.is_empty(), "classes", "there must be at least one")?;
        for (i, class) in self.classes.iter().enumerate() {
            let field = |name: &str| format!("classes[{i}].{name}");
            check(class.aim > 0, &field("aim"), "must be above 0")?;
            check(class.deadline >= class.aim, &field("deadline"), "must not be under the aim")?;
            check(class.worth.is_finite() && class.worth >= 0.0, &field("worth"), "must be 0 or more")?;
            check((0.0..=1.0).contains(&class.late_worth), &field("late_worth"), "must lie in 0..=1")?;
            let stretch = class.aim_stretch;
            check(stretch.is_finite() && stretch >= 0.0, &field("aim_stretch"), "must be 0 or more")?;
        }
        let tenants = self.tenants.len();
        let problem = format!("{tenants} tenants, and at most {MAX_TENANTS} are told apart; leave out some");
        check(tenants <= MAX_TENANTS, "tenants", &problem)?;
        for (i, tenant) in self.tenants.iter().enumerate() {
            let allowance = tenant.allowance_per_s;
            let field = format!("tenants[{i}].allowance_per_s");
            check(allowance.is_finite() && allowance >= 0.0, &field, "must be 0 or more")?;
        }
        check((0.0..=1.0).contains(&self.over_share_worth), "over_share_worth", "must lie in 0..=1")?;
        check(self.permissions.max_attempts > 0, "max_attempts", "there must be at least one")?;
        check((0.0..=1.0).contains(&self.safety.cold_from), "cold_from", "must lie in 0..=1")?;
        let multiple = self.safety.fall_multiple;
        check(multiple.is_finite() && multiple > 0.0, "fall_multiple", "must be above 0")
    }
}

/// Whether a backend may be sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// Takes requests.
    Ready,
    /// Finishes what it has; nothing new.
    Draining,
    /// Removed.
    Gone,
}

/// A backend as discovery lists it.
#[derive(Clone, Copy, Debug)]
pub struct Backend {
    /// Its id.
    pub id: BackendId,
    /// Its zone.
    pub zone: u16,
    /// Its kind of machine.
    pub kind: u8,
    /// Its cell, numbered through the whole tier.
    pub cell: u16,
    /// Whether it may be sent to.
    pub readiness: Readiness,
    /// When its process last started; `None`: long ago.
    pub started: Option<Micros>,
}

/// News of the backends.
#[derive(Clone, Copy, Debug)]
pub enum Membership<'a> {
    /// Entries that changed.
    Delta(&'a [Backend]),
    /// The complete list: what is absent is gone.
    Full(&'a [Backend]),
    /// The complete list as last held, perhaps out of date.
    Cached(&'a [Backend]),
    /// A call to discovery failed, or the subscription broke.
    Failed,
}

/// A request that a client sent.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Position of its class in the settings.
    pub class: u8,
    /// Position of its tenant in the settings.
    pub tenant: u16,
    /// What it is about.
    pub key: Option<u64>,
    /// Time until the client gives this try up.
    pub patience: Micros,
    /// Expected work on a standard core.
    pub work: Option<Micros>,
    /// Whether the client marked it as a repeat.
    pub repeat: bool,
    /// Whether its attempts go over connections of this proxy; otherwise a caller outside makes them.
    pub carried: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The backend answered with an error.
    Error,
    /// An answer came that can't be used. Unlike an error it may be anybody's: peers on the way spoil answers of
    /// healthy backends. (Real sockets only; the simulator knows no such outcome.)
    Spoilt,
    /// Turned away unseen.
    Full,
    /// No answer in time.
    Timeout,
    /// No connection could be made.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// Withdrawn by this proxy.
    Cancelled,
    /// Never sent.
    Moot,
}

impl Outcome {
    /// All of them, each at the place of its number.
    pub const ALL: [Self; 9] = [
        Self::Ok,
        Self::Error,
        Self::Spoilt,
        Self::Full,
        Self::Timeout,
        Self::ConnectFailed,
        Self::Reset,
        Self::Cancelled,
        Self::Moot,
    ];

    /// Whether this outcome proves that the attempt never ran.
    #[must_use]
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot)
    }
}

/// The end of one attempt. Each [`Action::Send`] gets exactly one.
#[derive(Clone, Copy, Debug)]
pub struct Settled<'a> {
    /// The request.
    pub request: RequestId,
    /// Where the attempt went.
    pub backend: BackendId,
    /// Number of the attempt, counting from 0 in the order of the sends.
    pub attempt: u16,
    /// How it ended.
    pub outcome: Outcome,
    /// Whether the client has its final answer.
    pub closed: bool,
    /// Time since the send.
    pub elapsed: Micros,
    /// The backend's load report, if one came along.
    pub report: &'a [f32],
}

/// What an instance is told.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// News of the backends.
    Membership(Membership<'a>),
    /// A request came in.
    Request(Request),
    /// A streamed answer began.
    FirstByte {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u16,
    },
    /// An attempt became a session (a tunnel, say): its client has the answer, and it holds its slot, with no
    /// latency to judge and nothing owed, until it is settled.
    Occupied {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u16,
    },
    /// An attempt ended.
    Settled(Settled<'a>),
    /// The client left; the request is over.
    ClientGone(RequestId),
    /// A probe ended.
    Probed {
        /// The backend.
        backend: BackendId,
        /// How it ended.
        outcome: Outcome,
        /// The load report that came with it.
        report: &'a [f32],
    },
    /// A timer fell due.
    Timer(u32),
    /// Other settings hold for requests that come from now on; those that are open keep to the ones they came under. The
    /// classes known so far keep their places, the zones, kinds and tenants stay as they are.
    Retune(&'a Settings),
}

/// The limit of one server, as one instance has learnt it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LearntLimit {
    /// The server.
    pub backend: BackendId,
    /// When its process started: of another life nothing is known.
    pub started: Option<Micros>,
    /// The limit.
    pub limit: f64,
    /// It is its kind's, not its own.
    pub common: bool,
}

/// What an instance has learnt, for the one that takes its place.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Memory {
    /// Of the servers.
    pub servers: Vec<LearntLimit>,
    /// The limit of each kind of machine, and whether it still grows by doubling.
    pub kinds: Vec<(f64, bool)>,
    /// Of each class on each kind: samples, mean and uncrowded latency, microseconds; no base where too little is known.
    pub latencies: Vec<(u32, f64, Option<f64>)>,
    /// The most requests served in a second.
    pub peak: f64,
    /// The part of the requests that is refused for want of room.
    pub refused: f64,
}

/// What an instance does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        backend: BackendId,
        /// From when on it may not begin any more, however late its connection comes up; `Micros::MAX`: never.
        begin_by: Micros,
        /// When to give it up.
        give_up_at: Micros,
    },
    /// Final answer: turned away, and trying again is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long the client should stay away; 0: no word.
        retry_after: Micros,
    },
    /// Final answer: failed, with no promise of its effect.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u16,
    },
    /// Ask for [`Event::Timer`].
    SetTimer {
        /// Time from now.
        after: Micros,
        /// Comes back with the timer.
        token: u32,
    },
    /// Ask discovery for changes from now on.
    Subscribe,
    /// Probe a backend.
    Probe(BackendId),
    /// Close this proxy's idle connections to a backend.
    CloseIdle(BackendId),
    /// A line for the operators.
    Log(String),
}
