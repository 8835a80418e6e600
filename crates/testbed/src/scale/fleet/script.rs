//! Scripts of scale runs: the size of the fleet, the rates of changes, and the steps with their faults.

use super::messages::InjectedFault;
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use std::{fs, io};
use thiserror::Error;

/// Upper bounds of any script: processes, simulated proxies, backends, and seconds of all steps.
const MAX_PROCESSES: usize = 200;
const MAX_SUBSCRIBERS: usize = 20_000;
const MAX_BACKENDS: usize = 500_000;
const MAX_SECONDS: f64 = 600.0;

/// Why a script was rejected.
#[derive(Debug, Error)]
pub enum ScaleScriptError {
    /// The file can't be read.
    #[error("cannot read {0}: {1}")]
    Read(PathBuf, io::Error),
    /// The file is no valid TOML, or has unknown or missing keys.
    #[error("{0}: {1}")]
    Form(PathBuf, Box<toml::de::Error>),
    /// A value out of bounds.
    #[error("`{key}`: {what}")]
    Value {
        /// The path of the key.
        key: String,
        /// The value found, and its bounds.
        what: String,
    },
}

/// Size of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// Simulated proxies.
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

/// Rates of changes on an ordinary day, in the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rates {
    /// Backends restarted or replaced: each is draining, then gone, then active again.
    pub restarts_a_day: f64,
    /// Backends that fail: each is gone, and active again later.
    pub failures_a_day: f64,
    /// Changes of a service's configuration.
    pub configurations_a_day: f64,
}

/// The fault that is injected in a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StepKind {
    /// No fault.
    Ordinary,
    /// A relay is killed, and restarted after `for_s`.
    RelayKilled,
    /// A relay is suspended (SIGSTOP) for `for_s`.
    RelayStalled,
    /// A region and all others can't reach one another for `for_s`; all sides go on.
    RegionCut,
    /// A source is killed, and restarted after `for_s` from a snapshot that lacks its last changes.
    SourceRestarted,
    /// All backends and proxies of a zone disappear at once, and return after `for_s`.
    ZoneLost,
    /// One process of simulated proxies is suspended for `for_s`: they read nothing from their connections.
    SubscribersStopped,
    /// All proxies of a zone restart at once.
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
    /// Time from the step's start until its fault begins, seconds.
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
    /// Title of the run.
    pub title: String,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Time allowed for all replicas to converge after a step, seconds.
    #[serde(default = "patience")]
    pub patience_s: f64,
    /// Fault injected into one simulated proxy, to prove that the checks find it.
    #[serde(default, rename = "plant")]
    pub injected_fault: InjectedFault,
    /// Size of the fleet.
    pub size: Size,
    /// Rates of changes.
    pub changes: Rates,
    /// Steps, in the order in which they are played.
    pub step: Vec<Step>,
}

impl ScaleScript {
    /// Reads a script and checks it.
    ///
    /// # Errors
    /// If the file can't be read or a value is out of bounds.
    pub fn read(path: &Path) -> Result<Self, ScaleScriptError> {
        let text = fs::read_to_string(path).map_err(|e| ScaleScriptError::Read(path.into(), e))?;
        Self::parse(&text, path)
    }

    /// As [`ScaleScript::read`], from its text.
    ///
    /// # Errors
    /// If it can't be parsed or a value is out of bounds.
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
    /// The first key whose value is out of bounds.
    pub fn check(&self) -> Result<(), ScaleScriptError> {
        self.check_sizes()?;
        self.check_rates()?;
        for (number, step) in self.step.iter().enumerate() {
            self.check_step(number, step)?;
        }
        let seconds: f64 = self.step.iter().map(|step| step.seconds).sum();
        if self.step.is_empty() || seconds > MAX_SECONDS {
            return invalid("step", format!("{seconds} s in all, must be from 2 to {MAX_SECONDS}"));
        }
        Ok(())
    }

    fn check_sizes(&self) -> Result<(), ScaleScriptError> {
        let size = &self.size;
        let counts = [
            ("size.subscribers", size.subscribers, 1, MAX_SUBSCRIBERS),
            ("size.processes", size.processes, 1, 64),
            ("size.sources", size.sources, 1, 64),
            ("size.relays", size.relays, size.sources, 64),
            ("size.zones", size.zones, size.sources, 256),
            ("size.services", size.services, size.zones, 100_000),
            ("size.backends", size.backends, size.services, MAX_BACKENDS),
            ("size.services_per_proxy", size.services_per_proxy, 1, size.services / 2),
            ("size.real", size.real, 0, 64),
        ];
        for (key, value, min, max) in counts {
            if value < min || value > max {
                return invalid(key, format!("{value}, must be from {min} to {max}"));
            }
        }
        let processes = size.processes + size.sources + size.relays + 2 * size.real;
        if processes > MAX_PROCESSES {
            return invalid("size", format!("{processes} processes, {MAX_PROCESSES} at most"));
        }
        Ok(())
    }

    fn check_rates(&self) -> Result<(), ScaleScriptError> {
        let numbers = [
            ("size.local", self.size.local, 0.0, 1.0),
            ("size.requests_per_s", self.size.requests_per_s, 0.0, 1_000.0),
            ("patience_s", self.patience_s, 1.0, 120.0),
            ("changes.restarts_a_day", self.changes.restarts_a_day, 0.0, 1e8),
            ("changes.failures_a_day", self.changes.failures_a_day, 0.0, 1e8),
            ("changes.configurations_a_day", self.changes.configurations_a_day, 0.0, 1e8),
        ];
        for (key, value, min, max) in numbers {
            if !(min..=max).contains(&value) {
                return invalid(key, format!("{value}, must be from {min} to {max}"));
            }
        }
        Ok(())
    }

    fn check_step(&self, number: usize, step: &Step) -> Result<(), ScaleScriptError> {
        let size = &self.size;
        let key = |name: &str| format!("step[{number}].{name}");
        if !(2.0..=MAX_SECONDS).contains(&step.seconds) {
            return invalid(&key("seconds"), format!("{}, must be from 2 to {MAX_SECONDS}", step.seconds));
        }
        if !(0.0..=step.seconds - Step::LEAD_S).contains(&step.for_s) {
            let most = step.seconds - Step::LEAD_S;
            return invalid(&key("for_s"), format!("{}, must be from 0 to {most}", step.for_s));
        }
        if !(0.0..=1_000.0).contains(&step.times) {
            return invalid(&key("times"), format!("{}, must be from 0 to 1000", step.times));
        }
        let most = match step.what {
            StepKind::RelayKilled | StepKind::RelayStalled => size.relays,
            StepKind::RegionCut | StepKind::SourceRestarted => size.sources,
            StepKind::ZoneLost | StepKind::ZoneRestarted => size.zones,
            StepKind::SubscribersStopped => size.processes,
            StepKind::Ordinary => 1,
        };
        if step.which >= most {
            return invalid(&key("which"), format!("{}, must be below {most}", step.which));
        }
        if step.what == StepKind::RegionCut && size.sources < 2 {
            return invalid(&key("what"), "a cut needs two regions; set size.sources to 2 or more".into());
        }
        Ok(())
    }
}

fn invalid(key: &str, what: String) -> Result<(), ScaleScriptError> {
    Err(ScaleScriptError::Value { key: key.into(), what })
}
