//! Fault scripts: a fleet, its traffic, and at what second which part of it has what trouble. TOML.

mod discovery;
mod faults;
mod validation;

pub use discovery::{Discovery, DiscoveryMode};
pub use faults::{Direction, InitialList, LinkEndpoints, LinkFault, ProcessFault, ProcessFaultKind};

use crate::backend_model::BackendSpec;
use balancer::api::Micros;
use serde::Deserialize;
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::{fs, io};
use thiserror::Error;

/// The longest script, in seconds: a run is bounded.
const MAX_SECONDS: f64 = 600.0;
/// The largest fleet, and the most proxies.
const MAX_BACKENDS: usize = 20_000;
const MAX_PROXIES: usize = 2_000;
/// The most requests of one run.
const MAX_REQUESTS: f64 = 5_000_000.0;

/// A script that can't be played.
#[derive(Debug, Error)]
pub enum ScriptError {
    /// The file can't be read.
    #[error("cannot read {0}: {1}")]
    Unreadable(PathBuf, io::Error),
    /// Not the TOML that is wanted; the message names line and column.
    #[error("{0}: {1}")]
    Malformed(PathBuf, Box<toml::de::Error>),
    /// A value that makes no sense.
    #[error("`{0}`: {1}")]
    Value(String, String),
}

/// A day of the rig.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// What it shows.
    #[serde(default)]
    pub title: String,
    /// For all random numbers; the same seed gives the same day in virtual time.
    pub seed: u64,
    /// How long clients ask, seconds.
    pub seconds: f64,
    /// The boxes and proxies.
    pub fleet: FleetSpec,
    /// How proxies hear of boxes.
    #[serde(default)]
    pub discovery: Discovery,
    /// What clients do.
    pub traffic: Traffic,
    /// Request classes.
    #[serde(rename = "class")]
    pub classes: Vec<ClassSpec>,
    /// What goes wrong with boxes and discovery.
    #[serde(default)]
    #[serde(rename = "trouble")]
    pub backend_faults: Vec<BackendFault>,
    /// What goes wrong with processes of the proxy.
    #[serde(default)]
    #[serde(rename = "process")]
    pub process_faults: Vec<ProcessFault>,
    /// What goes wrong between two parties (over processes alone).
    #[serde(default)]
    #[serde(rename = "link")]
    pub link_faults: Vec<LinkFault>,
}

/// The boxes and proxies.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSpec {
    /// Number of boxes.
    #[serde(rename = "boxes")]
    pub backends: usize,
    /// Number of proxies.
    pub proxies: usize,
    /// Zones; boxes and proxies are dealt out among them in turn.
    pub zones: u16,
    /// Cells in each zone; the boxes of a cell drop each other's repeats.
    pub cells: u16,
    /// Cores of a box: work that runs at full speed at a time.
    pub cores: f64,
    /// Requests that a box holds at the most, running and queued, for each core; more are turned away.
    #[serde(rename = "holds")]
    pub queue_per_core: f64,
    /// Part of its capacity with which a box starts.
    #[serde(default = "a_third")]
    #[serde(rename = "cold_from")]
    pub initial_capacity: f64,
    /// After how long it is warm, seconds.
    #[serde(default = "eight")]
    #[serde(rename = "cold_s")]
    pub warm_up_s: f64,
    /// What proxies are told of that in place of it, seconds: a planted fault of the settings.
    #[serde(default)]
    #[serde(rename = "told_cold_s")]
    pub configured_warm_up_s: Option<f64>,
    /// How far the wall clock by which discovery tells starts is behind the proxies', seconds; below 0 it is ahead.
    #[serde(default)]
    pub clock_behind_s: f64,
    /// One way between zones, milliseconds; within one it is a quarter of that.
    #[serde(default = "two")]
    pub cross_zone_ms: f64,
    /// How late news of the boxes are, seconds: from this to twice this.
    #[serde(default = "one")]
    #[serde(rename = "news_s")]
    pub notification_delay_s: f64,
    /// Speeds of the boxes' cores beside the usual one, dealt out in turn; none: all alike.
    #[serde(default)]
    pub speeds: Vec<f64>,
    /// How long the front goes on sending to a proxy whose process is gone, seconds.
    #[serde(default = "one")]
    #[serde(rename = "front_notice_s")]
    pub front_end_detection_s: f64,
}

/// What clients do.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// Requests a second over all proxies.
    pub per_s: f64,
    /// Part of the requests whose attempts callers outside make, under leases (virtual time alone).
    #[serde(default)]
    pub leased: f64,
    /// Part of the reports of leases that get lost on the way.
    #[serde(default)]
    pub lost_reports: f64,
    /// Part of the callers that take their time before they send.
    #[serde(default)]
    pub slow_callers: f64,
    /// Tenants, each with the same share of what the fleet can do.
    #[serde(default)]
    pub tenants: u16,
    /// Part of the traffic that the first tenant makes; the others share the rest.
    #[serde(default)]
    pub first_tenant: f64,
    /// Standard deviation of the logarithm of a proxy's traffic: some see several times the mean.
    #[serde(default)]
    pub skew: f64,
    /// Part of the proxies that are busy, and the part of the traffic that comes through them; 0: none is.
    #[serde(default)]
    pub busy_proxies: f64,
    /// See `busy_proxies`.
    #[serde(default)]
    pub busy_share: f64,
    /// Part of the traffic that comes in the first zone; 0: as much as in any other.
    #[serde(default)]
    pub first_zone: f64,
}

/// A request class.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Its name, the first part of the path.
    pub name: String,
    /// `safe`, `unsafe`, `keyed-zone` or `keyed-cell`.
    #[serde(rename = "effect")]
    pub idempotency: IdempotencySpec,
    /// How long repeats are dropped, seconds.
    #[serde(default = "three")]
    #[serde(rename = "key_s")]
    pub dedup_s: f64,
    /// Its part of the traffic; the parts need not add up to 1.
    pub share: f64,
    /// Work on a core, milliseconds, from and to.
    pub work_ms: [f64; 2],
    /// How it is drawn between them.
    #[serde(default)]
    pub work: WorkSpec,
    /// Wanted within, milliseconds.
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: u64,
    /// The client waits for this long, milliseconds.
    pub deadline_ms: u64,
    /// Worth of an answer within the aim.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Part of it for a later one.
    #[serde(default)]
    #[serde(rename = "late_worth")]
    pub late_weight_fraction: f64,
}

/// How work is drawn.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum WorkSpec {
    /// Each as likely as the other.
    #[default]
    Even,
    /// Exponential; the mean lies half way between the two, which do not bound it. Ten means at the most.
    Exponential,
}

/// What a repeat does.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum IdempotencySpec {
    /// Safe to repeat.
    Safe,
    /// Must not run twice.
    Unsafe,
    /// Dropped inside a zone.
    KeyedZone,
    /// Dropped inside a cell.
    KeyedCell,
}

/// One trouble.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendFault {
    /// What happens.
    pub what: BackendFaultKind,
    /// When it begins, seconds.
    pub at_s: f64,
    /// How long it lasts, seconds.
    pub for_s: f64,
    /// Part of the boxes that have it, drawn by chance.
    #[serde(default)]
    pub part: f64,
    /// All boxes of this zone have it instead.
    #[serde(default)]
    pub zone: Option<u16>,
    /// How bad it is: factor for `slow`, else the part of the requests, answers or connections that it hits.
    #[serde(default)]
    pub degree: f64,
}

/// Kinds of trouble.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Hash)]
#[serde(rename_all = "kebab-case")]
pub enum BackendFaultKind {
    /// The process dies, and comes back cold.
    Crash,
    /// Requests are taken and none is answered.
    Hang,
    /// Stands still.
    Pause,
    /// Everything takes longer.
    Slow,
    /// Connections break under some requests.
    Reset,
    /// Connections break while some requests come, before their box begins them.
    ResetRequest,
    /// Connections break in the middle of some answers.
    BreakAnswer,
    /// Connections are closed right behind some answers, without a word ahead.
    CloseAfter,
    /// Kept connections fall silent: what is sent on them reaches nobody.
    Silence,
    /// New connections are reset as soon as they are up.
    ResetNew,
    /// What is sent on some new connections is read late.
    AcceptLate,
    /// Some answers are broken.
    Spoil,
    /// It finishes what it has and wants nothing new.
    Drain,
    /// Discovery tells nothing.
    DiscoveryDown,
}

impl BackendFaultKind {
    /// The troubles of connections, which say nothing of their boxes.
    pub const OF_CONNECTIONS: [Self; 7] = [
        Self::Reset,
        Self::ResetRequest,
        Self::BreakAnswer,
        Self::CloseAfter,
        Self::Silence,
        Self::ResetNew,
        Self::AcceptLate,
    ];

    /// Whether it has a degree.
    #[must_use]
    pub fn has_degree(self) -> bool {
        matches!(self, Self::Slow | Self::Spoil) || Self::OF_CONNECTIONS.contains(&self)
    }
}

fn a_third() -> f64 {
    0.33
}
fn eight() -> f64 {
    8.0
}
fn three() -> f64 {
    3.0
}
fn two() -> f64 {
    2.0
}
fn one() -> f64 {
    1.0
}

/// Seconds in microseconds.
#[must_use]
pub fn micros(seconds: f64) -> Micros {
    (seconds * 1e6) as Micros
}

/// The zone of a box or of a proxy: they are dealt out in turn.
pub(crate) fn zone_of(index: usize, zones: u16) -> u16 {
    (index % usize::from(zones)) as u16
}

impl Script {
    /// Reads a script.
    ///
    /// # Errors
    /// Says what can't be read or played, and where.
    pub fn read(path: &Path) -> Result<Self, ScriptError> {
        let text = fs::read_to_string(path).map_err(|e| ScriptError::Unreadable(path.into(), e))?;
        Self::parse(&text, path)
    }

    /// Reads a script from its text; `path` is named in messages.
    ///
    /// # Errors
    /// Says what can't be played, and where.
    pub fn parse(text: &str, path: &Path) -> Result<Self, ScriptError> {
        let script: Self =
            toml::from_str(text).map_err(|e| ScriptError::Malformed(path.into(), Box::new(e)))?;
        script.check()?;
        Ok(script)
    }

    /// Which boxes a trouble has, by chance but the same for the same seed.
    #[must_use]
    pub fn faulty_backends(&self, index: usize) -> Vec<usize> {
        let trouble = &self.backend_faults[index];
        if let Some(zone) = trouble.zone {
            return (0..self.fleet.backends).filter(|&b| self.zone(b) == zone).collect();
        }
        let mut rng = fastrand::Rng::with_seed(self.seed ^ (index as u64 + 1).wrapping_mul(0x9e37_79b9));
        let mut all: Vec<usize> = (0..self.fleet.backends).collect();
        rng.shuffle(&mut all);
        all.truncate((self.fleet.backends as f64 * trouble.part).round() as usize);
        all
    }

    /// A class by chance, each as often as its share says.
    #[must_use]
    pub fn draw_class(&self, rng: &mut fastrand::Rng) -> usize {
        let mut draw = rng.f64() * self.classes.iter().map(|c| c.share).sum::<f64>();
        let class = self.classes.iter().position(|c| {
            draw -= c.share;
            draw < 0.0
        });
        class.unwrap_or(0)
    }

    /// Mean work of a request, milliseconds on a core of the usual speed.
    #[must_use]
    pub fn mean_work_ms(&self) -> f64 {
        let shares = self.classes.iter().map(|c| c.share).sum::<f64>();
        self.classes.iter().map(|c| c.share * (c.work_ms[0] + c.work_ms[1]) / 2.0).sum::<f64>() / shares
    }

    /// Requests a second that keep all boxes busy.
    #[must_use]
    pub fn capacity_per_s(&self) -> f64 {
        let cores: f64 = (0..self.fleet.backends).map(|b| self.speed(b) * self.fleet.cores).sum();
        cores * 1e3 / self.mean_work_ms()
    }

    /// The longest time that a client waits.
    #[must_use]
    pub fn longest_deadline(&self) -> Micros {
        self.classes.iter().map(|c| c.deadline_ms * 1_000).max().unwrap_or(0)
    }

    /// The speed of a box's cores beside the usual one.
    #[must_use]
    pub fn speed(&self, at_box: usize) -> f64 {
        let speeds = &self.fleet.speeds;
        if speeds.is_empty() { 1.0 } else { speeds[at_box % speeds.len()] }
    }

    /// What a box is.
    #[must_use]
    pub fn box_spec(&self, at_box: usize) -> BackendSpec {
        BackendSpec {
            cores: self.fleet.cores,
            speed: self.speed(at_box),
            capacity: (self.fleet.cores * self.fleet.queue_per_core).ceil() as usize,
            initial_capacity: self.fleet.initial_capacity,
            warm_up_duration: micros(self.fleet.warm_up_s),
        }
    }

    /// The zone of a box or of a proxy.
    #[must_use]
    pub fn zone(&self, index: usize) -> u16 {
        zone_of(index, self.fleet.zones)
    }

    /// A proxy that takes what was meant for another one: of those of its zone that serve, by chance.
    pub(crate) fn in_place_of(
        &self,
        meant: usize,
        serves: impl Fn(usize) -> bool,
        rng: &mut fastrand::Rng,
    ) -> Option<usize> {
        let near = (0..self.fleet.proxies).filter(|&p| serves(p) && self.zone(p) == self.zone(meant));
        let near: Vec<usize> = near.collect();
        if near.is_empty() { None } else { Some(near[rng.usize(0..near.len())]) }
    }

    /// The cell of a box, numbered through the whole fleet.
    #[must_use]
    pub fn cell(&self, index: usize) -> u16 {
        let zones = usize::from(self.fleet.zones);
        let within = (index / zones) % usize::from(self.fleet.cells);
        (within * zones + index % zones) as u16
    }

    /// The settings of a proxy in the form that a configuration holds.
    #[must_use]
    pub fn settings(&self, proxy: usize) -> Value {
        let cold_s = self.fleet.configured_warm_up_s.unwrap_or(self.fleet.warm_up_s);
        let mode = match self.discovery.mode {
            DiscoveryMode::Pushed => "pushed",
            DiscoveryMode::Asked => "on_request",
        };
        let class = |c: &ClassSpec| {
            let (effect, group) = match c.idempotency {
                IdempotencySpec::Safe => ("retryable", ""),
                IdempotencySpec::Unsafe => ("fragile", ""),
                IdempotencySpec::KeyedZone => ("dedup", "zone"),
                IdempotencySpec::KeyedCell => ("dedup", "cell"),
            };
            json!({"name": c.name, "aimUs": c.latency_objective_ms * 1_000, "deadlineUs": c.deadline_ms * 1_000,
                "worth": c.priority_weight, "lateWorth": c.late_weight_fraction, "effect": effect, "group": group,
                "keyTtlUs": micros(c.dedup_s)})
        };
        // Each tenant may have its part of nine tenths of what the fleet can do.
        let tenants = f64::from(self.traffic.tenants);
        let allowance = self.traffic.per_s * 1.5 / tenants.max(1.0);
        let names =
            (0..self.traffic.tenants).map(|t| json!({"name": format!("t{t}"), "allowancePerS": allowance}));
        let zones: Vec<String> = (0..self.fleet.zones).map(|z| format!("z{z}")).collect();
        json!({"me": proxy, "balancers": self.fleet.proxies, "zone": self.zone(proxy),
            "failureDomains": zones, "kinds": ["box"], "membershipMode": mode,
            "classes": self.classes.iter().map(class).collect::<Vec<_>>(),
            "tenants": names.collect::<Vec<_>>(), "overShareWorth": 0.2,
            "penalties": {"crossZone": 0.05, "probe": 0.01},
            "permissions": {"maxAttempts": 5, "secondCopies": false, "cancel": true, "probes": false,
                "connIdleUs": 15_000_000, "multiplex": 1, "retryAfter": true, "maxRetryAfterUs": 2_000_000,
                "dialTimeoutUs": 250_000},
            "safety": {"askWithinUs": 10_000_000, "coldFrom": self.fleet.initial_capacity,
                "coldUs": micros(cold_s), "fallMultiple": 3.0, "fallUs": 2_000_000}})
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = r#"
seed = 7
seconds = 10.0
fleet = { boxes = 12, proxies = 2, zones = 2, cells = 3, cores = 1.0, holds = 2.0 }
traffic = { per_s = 100.0 }
[[class]]
name = "read"
effect = "safe"
share = 1.0
work_ms = [10.0, 20.0]
aim_ms = 200
deadline_ms = 500
worth = 1.0
[[trouble]]
what = "crash"
at_s = 2.0
for_s = 3.0
part = 0.5
"#;

    fn parse(text: &str) -> Result<Script, ScriptError> {
        Script::parse(text, Path::new("day.toml"))
    }

    #[test]
    fn a_good_script_is_read_and_its_settings_make_sense() {
        let script = parse(GOOD).expect("a good script");
        assert_eq!(script.faulty_backends(0).len(), 6);
        assert_eq!(script.faulty_backends(0), script.faulty_backends(0), "the same boxes for the same seed");
        let settings = script.settings(1).to_string();
        assert!(settings::parse_settings(settings.as_bytes()).is_ok(), "{settings}");
        // Each cell lies in one zone.
        for (a, b) in (0..12).flat_map(|a| (0..12).map(move |b| (a, b))) {
            assert!(script.cell(a) != script.cell(b) || script.zone(a) == script.zone(b));
        }
    }

    #[test]
    fn what_makes_no_sense_is_refused_by_name() {
        for (good, bad, says) in [
            ("seconds = 10.0", "seconds = 1e9", "seconds"),
            ("boxes = 12", "boxes = 0", "fleet.boxes"),
            ("per_s = 100.0", "per_s = 1e9", "traffic.per_s"),
            ("aim_ms = 200", "aim_ms = 600", "class[0].aim_ms"),
            ("work_ms = [10.0, 20.0]", "work_ms = [30.0, 20.0]", "class[0].work_ms[0]"),
            ("part = 0.5", "part = 1.5", "trouble[0].part"),
            ("part = 0.5", "zone = 2", "trouble[0].zone"),
            ("\"crash\"", "\"fire\"", "fire"),
            ("share = 1.0", "shard = 1.0", "line 9"),
            ("share = 1.0", "share = 0.0", "class"),
        ] {
            let text = GOOD.replace(good, bad);
            assert_ne!(text, GOOD);
            let error = parse(&text).expect_err(bad).to_string();
            assert!(error.contains(says), "{bad}: {error}");
        }
    }

    #[test]
    fn scripts_of_random_bytes_are_refused_without_a_panic() {
        let mut rng = fastrand::Rng::with_seed(11);
        for _ in 0..5_000 {
            let mut bytes = GOOD.as_bytes().to_vec();
            for _ in 0..rng.usize(1..6) {
                let at = rng.usize(0..bytes.len());
                bytes[at] = rng.u8(..);
            }
            let _ = parse(&String::from_utf8_lossy(&bytes));
        }
    }
}
