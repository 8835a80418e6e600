//! Faults of processes and links, as scripts name them.

use super::Script;
use serde::Deserialize;

/// Something that happens to processes of the proxy.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessFault {
    /// What happens.
    pub what: ProcessFaultKind,
    /// When it begins, seconds.
    pub at_s: f64,
    /// How long the process is gone, or stands; seconds.
    #[serde(default)]
    pub for_s: f64,
    /// Part of the proxies that have it, drawn by chance.
    #[serde(default)]
    pub part: f64,
    /// They have it in so many waves ...
    #[serde(default = "one_wave")]
    pub waves: u32,
    /// ... so far apart, seconds.
    #[serde(default)]
    pub wave_s: f64,
    /// A stall comes again so often until the day's last answers are in, seconds, not at all processes at once; 0: it
    /// comes once.
    #[serde(default)]
    pub every_s: f64,
    /// The list of boxes with which a process starts again.
    #[serde(default)]
    pub list: InitialList,
}

const fn one_wave() -> u32 {
    1
}

/// Kinds of faults of processes.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum ProcessFaultKind {
    /// It is killed outright (SIGKILL), and started again after a while.
    Kill,
    /// It is told to end (SIGTERM), and started again after a while.
    End,
    /// It stands still (SIGSTOP), and goes on after a while (SIGCONT).
    Stall,
    /// Another process takes its place while it serves (over processes alone).
    Replace,
}

/// The list with which a process starts.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum InitialList {
    /// The one of the day's beginning.
    #[default]
    Old,
    /// None at all.
    Nothing,
}

/// Something that happens between two kinds of parties.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkFault {
    /// Between whom.
    pub between: LinkEndpoints,
    /// When it begins, seconds.
    pub at_s: f64,
    /// How long it lasts, seconds.
    pub for_s: f64,
    /// Part of the pairs that have it, fixed by the seed.
    #[serde(default = "every")]
    pub part: f64,
    /// Only the links of this zone's proxies.
    #[serde(default)]
    pub zone: Option<u16>,
    /// Which way.
    #[serde(default)]
    pub way: Direction,
    /// Nothing passes.
    #[serde(default)]
    pub cut: bool,
    /// Each message takes this much longer, milliseconds ...
    #[serde(default)]
    pub delay_ms: f64,
    /// ... and up to this much more, drawn for each.
    #[serde(default)]
    pub spread_ms: f64,
    /// Part of the messages that is lost; over TCP it comes after a further delay, as a repeat would.
    #[serde(default)]
    pub drop: f64,
    /// Part of the datagrams that comes twice.
    #[serde(default)]
    pub duplicate: f64,
    /// Part of the datagrams that comes behind later ones.
    #[serde(default)]
    pub reorder: f64,
    /// Bytes that pass in a second, thousands; 0: any number.
    #[serde(default)]
    pub kbytes_s: f64,
}

const fn every() -> f64 {
    1.0
}

/// Between whom a link lies.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Hash)]
#[serde(rename_all = "kebab-case")]
pub enum LinkEndpoints {
    /// Clients and proxies.
    Clients,
    /// Proxies and boxes.
    Boxes,
    /// Proxies and discovery.
    Discovery,
    /// Proxies among themselves (datagrams).
    Proxies,
}

/// Which way of a link is hit. Out is from the client to the proxy, and from the proxy to whoever else there is; among
/// proxies, from the one with the lower number.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Hash)]
#[serde(rename_all = "kebab-case")]
pub enum Direction {
    /// Both.
    #[default]
    Both,
    /// Out.
    Out,
    /// Back.
    Back,
}

impl Script {
    /// Which proxies a fault of processes has, by chance but the same for the same seed.
    #[must_use]
    pub fn faulty_proxies(&self, index: usize) -> Vec<usize> {
        let mut rng =
            fastrand::Rng::with_seed(self.seed ^ (index as u64 + 1).wrapping_mul(0xd6e8_feb8_6659_fd93));
        let mut all: Vec<usize> = (0..self.fleet.proxies).collect();
        rng.shuffle(&mut all);
        all.truncate((self.fleet.proxies as f64 * self.process_faults[index].part).round() as usize);
        all
    }

    /// Whether anything goes wrong with links of this kind.
    #[must_use]
    pub fn has_links(&self, between: LinkEndpoints) -> bool {
        self.link_faults.iter().any(|link| link.between == between)
    }
}
