//! Faults that a script injects into backends, proxy processes and links.

use super::Script;
use serde::Deserialize;

/// A fault of backends or of discovery.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendFault {
    /// The kind of fault.
    #[serde(rename = "what")]
    pub kind: BackendFaultKind,
    /// Start of the fault, seconds since the start of the scenario.
    pub at_s: f64,
    /// Duration of the fault, seconds.
    pub for_s: f64,
    /// Fraction of the backends that are affected, selected at random.
    #[serde(default, rename = "part")]
    pub fraction: f64,
    /// Affects all backends of this zone instead of a fraction.
    #[serde(default)]
    pub zone: Option<u16>,
    /// Severity: for `slow` the factor of the service time, otherwise the fraction of the requests, responses
    /// or connections that are affected.
    #[serde(default, rename = "degree")]
    pub severity: f64,
}

/// Kinds of backend and discovery faults.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Hash)]
#[serde(rename_all = "kebab-case")]
pub enum BackendFaultKind {
    /// The process crashes, and restarts at the end of the fault.
    Crash,
    /// Requests are accepted but never answered.
    Hang,
    /// The process makes no progress.
    Pause,
    /// Requests take longer.
    Slow,
    /// Connections are reset while some requests run.
    Reset,
    /// Connections are reset while some requests arrive, before the backend starts them.
    ResetRequest,
    /// Connections are reset in the middle of some responses.
    BreakAnswer,
    /// Connections are closed after some responses without `Connection: close`.
    CloseAfter,
    /// Idle keep-alive connections become black holes: data sent on them is lost.
    Silence,
    /// New connections are reset once established.
    ResetNew,
    /// Data on some new connections is read late.
    AcceptLate,
    /// Some responses are malformed.
    Spoil,
    /// The backend finishes its requests and accepts no new ones.
    Drain,
    /// Discovery sends no notifications.
    DiscoveryDown,
}

impl BackendFaultKind {
    /// Faults of connections, which are not evidence of an unhealthy backend.
    pub const OF_CONNECTIONS: [Self; 7] = [
        Self::Reset,
        Self::ResetRequest,
        Self::BreakAnswer,
        Self::CloseAfter,
        Self::Silence,
        Self::ResetNew,
        Self::AcceptLate,
    ];

    /// Whether [`BackendFault::severity`] applies to this kind.
    #[must_use]
    pub fn has_severity(self) -> bool {
        matches!(self, Self::Slow | Self::Spoil) || Self::OF_CONNECTIONS.contains(&self)
    }
}

/// A fault of proxy processes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessFault {
    /// Kind of fault.
    #[serde(rename = "what")]
    pub kind: ProcessFaultKind,
    /// Start of the fault, seconds since the start of the scenario.
    pub at_s: f64,
    /// Time for which the process is down or stopped, seconds.
    #[serde(default)]
    pub for_s: f64,
    /// Fraction of the proxies that are affected, selected at random.
    #[serde(default, rename = "part")]
    pub fraction: f64,
    /// Number of waves into which the affected proxies are divided.
    #[serde(default = "one_wave")]
    pub waves: u32,
    /// Time between two waves, seconds.
    #[serde(default)]
    pub wave_s: f64,
    /// Period of stalls, which recur until the last responses are due, seconds; the stalls of the processes
    /// are staggered. 0: a single stall.
    #[serde(default)]
    pub every_s: f64,
    /// The list of backends with which a process restarts.
    #[serde(default)]
    pub list: InitialList,
}

const fn one_wave() -> u32 {
    1
}

/// Kinds of process faults.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum ProcessFaultKind {
    /// The process is killed (SIGKILL) and restarted later.
    Kill,
    /// The process is terminated (SIGTERM) and restarted later.
    #[serde(rename = "end")]
    Terminate,
    /// The process is stopped (SIGSTOP) and continued later (SIGCONT).
    Stall,
    /// A successor process takes over while the old one serves; only in runs with processes.
    Replace,
}

/// The list of backends with which a process starts.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum InitialList {
    /// The list as it was at the start of the scenario.
    #[default]
    #[serde(rename = "old")]
    Stale,
    /// No list.
    #[serde(rename = "nothing")]
    Empty,
}

/// A fault of the links between two kinds of endpoints.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkFault {
    /// The endpoints.
    pub between: LinkEndpoints,
    /// Start of the fault, seconds since the start of the scenario.
    pub at_s: f64,
    /// Duration of the fault, seconds.
    pub for_s: f64,
    /// Fraction of the links that are affected, selected by the seed.
    #[serde(default = "all_links", rename = "part")]
    pub fraction: f64,
    /// Affects only links of this zone's proxies; between proxies, only links that cross the zone's boundary.
    #[serde(default)]
    pub zone: Option<u16>,
    /// The affected direction.
    #[serde(default, rename = "way")]
    pub direction: Direction,
    /// Whether the link delivers nothing.
    #[serde(default)]
    pub cut: bool,
    /// Additional delay of each message, milliseconds.
    #[serde(default)]
    pub delay_ms: f64,
    /// Maximum jitter, drawn for each message and added to the delay, milliseconds.
    #[serde(default, rename = "spread_ms")]
    pub jitter_ms: f64,
    /// Fraction of the messages that are lost; over TCP they arrive after a retransmission delay.
    #[serde(default, rename = "drop")]
    pub loss_fraction: f64,
    /// Fraction of the datagrams that are duplicated.
    #[serde(default, rename = "duplicate")]
    pub duplication_fraction: f64,
    /// Fraction of the datagrams that are delayed so that later ones can overtake them.
    #[serde(default, rename = "reorder")]
    pub reorder_fraction: f64,
    /// Bandwidth, kilobytes per second; 0: unlimited.
    #[serde(default, rename = "kbytes_s")]
    pub bandwidth_kbytes_s: f64,
}

const fn all_links() -> f64 {
    1.0
}

/// The endpoints of a link.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Hash)]
#[serde(rename_all = "kebab-case")]
pub enum LinkEndpoints {
    /// Clients and proxies.
    Clients,
    /// Proxies and backends.
    #[serde(rename = "boxes")]
    Backends,
    /// Proxies and the discovery service.
    Discovery,
    /// Two proxies (datagrams).
    Proxies,
}

/// Direction on a link. Outbound is from the client to the proxy, from the proxy to a backend or discovery,
/// and from the proxy with the lower index to the other one.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Hash)]
#[serde(rename_all = "kebab-case")]
pub enum Direction {
    /// Both directions.
    #[default]
    Both,
    /// Outbound.
    Out,
    /// The reverse of outbound.
    Back,
}

impl Script {
    /// The backends that a fault affects; the same seed selects the same ones.
    ///
    /// # Panics
    /// There is no backend fault with this index.
    #[must_use]
    pub fn faulty_backends(&self, index: usize) -> Vec<usize> {
        let fault = &self.backend_faults[index];
        if let Some(zone) = fault.zone {
            return (0..self.fleet.backends).filter(|&backend| self.zone(backend) == zone).collect();
        }
        let mut rng = fastrand::Rng::with_seed(self.seed ^ (index as u64 + 1).wrapping_mul(0x9e37_79b9));
        let mut all: Vec<usize> = (0..self.fleet.backends).collect();
        rng.shuffle(&mut all);
        all.truncate((self.fleet.backends as f64 * fault.fraction).round() as usize);
        all
    }

    /// The proxies that a process fault affects; the same seed selects the same ones.
    ///
    /// # Panics
    /// There is no process fault with this index.
    #[must_use]
    pub fn faulty_proxies(&self, index: usize) -> Vec<usize> {
        let mut rng =
            fastrand::Rng::with_seed(self.seed ^ (index as u64 + 1).wrapping_mul(0xd6e8_feb8_6659_fd93));
        let mut all: Vec<usize> = (0..self.fleet.proxies).collect();
        rng.shuffle(&mut all);
        all.truncate((self.fleet.proxies as f64 * self.process_faults[index].fraction).round() as usize);
        all
    }

    /// Whether any link fault affects links between these endpoints.
    #[must_use]
    pub fn has_links(&self, between: LinkEndpoints) -> bool {
        self.link_faults.iter().any(|link| link.between == between)
    }
}
