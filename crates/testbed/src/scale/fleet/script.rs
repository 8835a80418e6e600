//! What a scale run plays, as a script says it: how large, how much changes, what goes wrong and when.

use super::messages::InjectedFault;
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use std::{fs, io};
use thiserror::Error;

/// The most of a run, whatever its script says: processes, hollow proxies, seconds of its steps.
const MAX_PROCESSES: usize = 200;
const MAX_SUBSCRIBERS: usize = 20_000;
const MAX_BACKENDS: usize = 500_000;
const MAX_SECONDS: f64 = 600.0;

/// Why a script can't be played.
#[derive(Debug, Error)]
pub enum ScaleScriptError {
    /// The file.
    #[error("cannot read {0}: {1}")]
    Read(PathBuf, io::Error),
    /// Not a script's form.
    #[error("{0}: {1}")]
    Form(PathBuf, Box<toml::de::Error>),
    /// A value that makes no sense.
    #[error("`{key}`: {what}")]
    Value {
        /// Where.
        key: String,
        /// What is wrong, and what would be right.
        what: String,
    },
}

/// How large the fleet is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// Hollow proxies.
    pub subscribers: usize,
    /// Processes that they share.
    pub processes: usize,
    /// Relays, dealt out to regions in turn.
    pub relays: usize,
    /// Sources, one for each region.
    pub sources: usize,
    /// Zones, dealt out to regions in turn.
    pub zones: usize,
    /// Services, dealt out to zones in turn; a service belongs to its zone's region.
    pub services: usize,
    /// Backends of all services.
    pub backends: usize,
    /// How many services a proxy has in scope.
    pub services_per_proxy: usize,
    /// Which part of them lies in its own region.
    pub local: f64,
    /// Real proxies, each with an agent.
    #[serde(default)]
    pub real: usize,
    /// Requests a second before each real proxy.
    #[serde(default)]
    pub requests_per_s: f64,
}

/// How much changes on an ordinary day, in the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rates {
    /// Backends restarted or replaced: each is leaving, then left, then active anew.
    pub restarts_a_day: f64,
    /// Backends that fail: each has left, and is active anew later.
    pub failures_a_day: f64,
    /// Changes of a service's configuration.
    pub configurations_a_day: f64,
}

/// What goes wrong in a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StepKind {
    /// Nothing.
    Ordinary,
    /// A relay is killed, and started anew after `for_s`.
    RelayKilled,
    /// A relay stands still for `for_s`.
    RelayStalled,
    /// A region and all others can't reach one another for `for_s`; all sides go on.
    RegionCut,
    /// A source is killed, and after `for_s` started without what it said in the last moments.
    SourceRestarted,
    /// A zone's backends and proxies are gone in one moment, and come back after `for_s`.
    ZoneLost,
    /// The hollow proxies of one process stand still for `for_s`, and take nothing from their connections.
    SubscribersStopped,
    /// All proxies of a zone restart in one moment.
    ZoneRestarted,
}

impl StepKind {
    /// Its name in scripts and results.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Ordinary => "ordinary",
            Self::RelayKilled => "relay-killed",
            Self::RelayStalled => "relay-stalled",
            Self::RegionCut => "region-cut",
            Self::SourceRestarted => "source-restarted",
            Self::ZoneLost => "zone-lost",
            Self::SubscribersStopped => "subscribers-stopped",
            Self::ZoneRestarted => "zone-restarted",
        }
    }
}

/// A part of the run: changes go on for so long, something goes wrong within it, and at its end all must be equal.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// What goes wrong, [`Step::LEAD_S`] after its beginning.
    pub what: StepKind,
    /// How long changes go on, seconds.
    pub seconds: f64,
    /// How long what goes wrong lasts, seconds.
    #[serde(default)]
    pub for_s: f64,
    /// Changes in this step, as a multiple of the ordinary day's.
    #[serde(default = "one")]
    pub times: f64,
    /// Which relay, region or zone; for stopped subscribers, which process.
    #[serde(default)]
    pub which: usize,
}

impl Step {
    /// What goes wrong does so this long after the step's beginning, seconds.
    pub const LEAD_S: f64 = 1.0;
}

fn one() -> f64 {
    1.0
}

fn patience() -> f64 {
    30.0
}

/// A script.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScaleScript {
    /// What it is.
    pub title: String,
    /// For all random numbers.
    pub seed: u64,
    /// How long all may take to be equal after a step, seconds.
    #[serde(default = "patience")]
    pub patience_s: f64,
    /// What is wrong on purpose.
    #[serde(default, rename = "plant")]
    pub injected_fault: InjectedFault,
    /// How large the fleet is.
    pub size: Size,
    /// How much changes.
    pub changes: Rates,
    /// What happens, in this order.
    pub step: Vec<Step>,
}

impl ScaleScript {
    /// Reads a script and checks it.
    ///
    /// # Errors
    /// Where it can't be read or makes no sense.
    pub fn read(path: &Path) -> Result<Self, ScaleScriptError> {
        let text = fs::read_to_string(path).map_err(|e| ScaleScriptError::Read(path.into(), e))?;
        Self::parse(&text, path)
    }

    /// As [`ScaleScript::read`], from its text.
    ///
    /// # Errors
    /// Where it makes no sense.
    pub fn parse(text: &str, path: &Path) -> Result<Self, ScaleScriptError> {
        let script: Self =
            toml::from_str(text).map_err(|e| ScaleScriptError::Form(path.into(), Box::new(e)))?;
        script.check()?;
        Ok(script)
    }

    /// The same at a part of its size: proxies, services, backends and what changes. Relays, sources and scopes stay.
    #[must_use]
    pub fn part(mut self, part: f64) -> Self {
        let of = |whole: usize| ((whole as f64 * part).round() as usize).max(1);
        let (size, changes) = (&mut self.size, &mut self.changes);
        (size.subscribers, size.services, size.backends) =
            (of(size.subscribers), of(size.services), of(size.backends));
        changes.restarts_a_day *= part;
        changes.failures_a_day *= part;
        changes.configurations_a_day *= part;
        self
    }

    /// Checks all values.
    ///
    /// # Errors
    /// The first key whose value makes no sense.
    pub fn check(&self) -> Result<(), ScaleScriptError> {
        let wrong = |key: &str, what: String| Err(ScaleScriptError::Value { key: key.into(), what });
        let s = &self.size;
        let counts = [
            ("size.subscribers", s.subscribers, 1, MAX_SUBSCRIBERS),
            ("size.processes", s.processes, 1, 64),
            ("size.sources", s.sources, 1, 64),
            ("size.relays", s.relays, s.sources, 64),
            ("size.zones", s.zones, s.sources, 256),
            ("size.services", s.services, s.zones, 100_000),
            ("size.backends", s.backends, s.services, MAX_BACKENDS),
            ("size.services_per_proxy", s.services_per_proxy, 1, s.services / 2),
            ("size.real", s.real, 0, 64),
        ];
        for (key, value, least, most) in counts {
            if value < least || value > most {
                return wrong(key, format!("{value}, must be from {least} to {most}"));
            }
        }
        let processes = s.processes + s.sources + s.relays + 2 * s.real;
        if processes > MAX_PROCESSES {
            return wrong("size", format!("{processes} processes, {MAX_PROCESSES} at most"));
        }
        let numbers = [
            ("size.local", s.local, 0.0, 1.0),
            ("size.requests_per_s", s.requests_per_s, 0.0, 1_000.0),
            ("patience_s", self.patience_s, 1.0, 120.0),
            ("changes.restarts_a_day", self.changes.restarts_a_day, 0.0, 1e8),
            ("changes.failures_a_day", self.changes.failures_a_day, 0.0, 1e8),
            ("changes.configurations_a_day", self.changes.configurations_a_day, 0.0, 1e8),
        ];
        for (key, value, least, most) in numbers {
            if !(least..=most).contains(&value) {
                return wrong(key, format!("{value}, must be from {least} to {most}"));
            }
        }
        for (number, step) in self.step.iter().enumerate() {
            let key = |name: &str| format!("step[{number}].{name}");
            if !(2.0..=MAX_SECONDS).contains(&step.seconds) {
                return wrong(&key("seconds"), format!("{}, must be from 2 to {MAX_SECONDS}", step.seconds));
            }
            if !(0.0..=step.seconds - Step::LEAD_S).contains(&step.for_s) {
                let most = step.seconds - Step::LEAD_S;
                return wrong(&key("for_s"), format!("{}, must be from 0 to {most}", step.for_s));
            }
            if !(0.0..=1_000.0).contains(&step.times) {
                return wrong(&key("times"), format!("{}, must be from 0 to 1000", step.times));
            }
            let most = match step.what {
                StepKind::RelayKilled | StepKind::RelayStalled => s.relays,
                StepKind::RegionCut | StepKind::SourceRestarted => s.sources,
                StepKind::ZoneLost | StepKind::ZoneRestarted => s.zones,
                StepKind::SubscribersStopped => s.processes,
                StepKind::Ordinary => 1,
            };
            if step.which >= most {
                return wrong(&key("which"), format!("{}, must be below {most}", step.which));
            }
            if step.what == StepKind::RegionCut && s.sources < 2 {
                return wrong(&key("what"), "a cut needs two regions; set size.sources to 2 or more".into());
            }
        }
        let seconds: f64 = self.step.iter().map(|step| step.seconds).sum();
        if self.step.is_empty() || seconds > MAX_SECONDS {
            return wrong("step", format!("{seconds} s in all, must be from 2 to {MAX_SECONDS}"));
        }
        Ok(())
    }
}
