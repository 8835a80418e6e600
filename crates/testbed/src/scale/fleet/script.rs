//! Scripts of scale runs: the size of the fleet, the rates of changes, and the steps with their faults.

use super::messages::InjectedFault;
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use std::{fs, io};
use thiserror::Error;

/// Upper bound of the child processes of a run.
const MAX_PROCESSES: usize = 200;
/// Upper bound of the simulated proxies.
const MAX_SUBSCRIBERS: usize = 20_000;
/// Upper bound of the backends of all services.
const MAX_BACKENDS: usize = 500_000;
/// Upper bound of the duration of all steps together, seconds.
const MAX_SECONDS: f64 = 600.0;

/// Errors that reject a script.
#[derive(Debug, Error)]
pub enum ScaleScriptError {
    /// The file can't be read.
    #[error("cannot read {0}: {1}")]
    Read(PathBuf, io::Error),
    /// The file is not valid TOML, or has unknown or missing keys.
    #[error("{0}: {1}")]
    Form(PathBuf, Box<toml::de::Error>),
    /// A value is out of bounds.
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
    /// Processes over which the simulated proxies are distributed.
    pub processes: usize,
    /// Relays, assigned to regions round-robin.
    pub relays: usize,
    /// Sources, one for each region.
    pub sources: usize,
    /// Zones, assigned to regions round-robin.
    pub zones: usize,
    /// Services, assigned to zones round-robin; a service belongs to its zone's region.
    pub services: usize,
    /// Backends of all services.
    pub backends: usize,
    /// Services in the scope of each proxy.
    pub services_per_proxy: usize,
    /// Fraction of a proxy's services (0 to 1) that belong to its own region.
    #[serde(rename = "local")]
    pub local_fraction: f64,
    /// Real proxies, each with an agent.
    #[serde(default, rename = "real")]
    pub real_proxies: usize,
    /// Requests per second that clients send to each real proxy.
    #[serde(default)]
    pub requests_per_s: f64,
}

/// Rates of changes on an ordinary day, over all backends or services of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rates {
    /// Backends that are restarted or replaced: each is draining, then gone, then active.
    #[serde(rename = "restarts_a_day")]
    pub restarts_per_day: f64,
    /// Backends that fail: each is gone, then active.
    #[serde(rename = "failures_a_day")]
    pub failures_per_day: f64,
    /// Changes of a service's configuration.
    #[serde(rename = "configurations_a_day")]
    pub configurations_per_day: f64,
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
    /// All links between a region and the others are interrupted for `for_s`; all processes keep running.
    RegionCut,
    /// A source is killed, and restarted after `for_s` from a snapshot that lacks its last changes.
    SourceRestarted,
    /// All backends and simulated proxies of a zone are removed at once, and return after `for_s`.
    ZoneLost,
    /// One process of simulated proxies is suspended (SIGSTOP) for `for_s`: they don't read from their
    /// connections.
    SubscribersStopped,
    /// All simulated proxies of a zone restart at once.
    ZoneRestarted,
}

impl StepKind {
    /// The name in scripts and reports.
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

/// A step of a run: changes are written for its duration while a fault is injected; afterwards, all replicas
/// must equal their sources.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// The fault that is injected, [`Step::LEAD_S`] after the step's start.
    #[serde(rename = "what")]
    pub kind: StepKind,
    /// Duration of the step, in which changes are written, seconds.
    pub seconds: f64,
    /// Duration of the fault, seconds.
    #[serde(default, rename = "for_s")]
    pub fault_s: f64,
    /// Factor by which the rates of changes in this step exceed those of an ordinary day.
    #[serde(default = "default_rate_factor", rename = "times")]
    pub rate_factor: f64,
    /// Number of the relay, source, region, zone or process that the fault affects.
    #[serde(default, rename = "which")]
    pub target: usize,
}

impl Step {
    /// Time from the step's start until its fault begins, seconds.
    pub const LEAD_S: f64 = 1.0;
}

fn default_rate_factor() -> f64 {
    1.0
}

fn patience() -> f64 {
    30.0
}

/// A script of a scale run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScaleScript {
    /// Title of the run in reports.
    pub title: String,
    /// Seed of all random numbers of population and plan.
    pub seed: u64,
    /// Time allowed for all replicas to converge after a step, seconds.
    #[serde(default = "patience", rename = "patience_s")]
    pub convergence_timeout_s: f64,
    /// Fault injected into one simulated proxy, to prove that the checks find it.
    #[serde(default, rename = "plant")]
    pub injected_fault: InjectedFault,
    /// Sizes of the fleet.
    pub size: Size,
    /// Rates of changes on an ordinary day.
    pub changes: Rates,
    /// Steps, in the order in which they are played.
    #[serde(rename = "step")]
    pub steps: Vec<Step>,
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

    /// Parses a script's text and checks it; `path` is used in errors only.
    ///
    /// # Errors
    /// If the text can't be parsed or a value is out of bounds.
    pub fn parse(text: &str, path: &Path) -> Result<Self, ScaleScriptError> {
        let script: Self =
            toml::from_str(text).map_err(|e| ScaleScriptError::Form(path.into(), Box::new(e)))?;
        script.check()?;
        Ok(script)
    }

    /// Scales the script by the factor `part`: simulated proxies, services, backends, and the rates of
    /// changes. Relays, sources, zones and the size of scopes stay.
    #[must_use]
    pub fn scaled_by(mut self, part: f64) -> Self {
        let scaled = |full: usize| ((full as f64 * part).round() as usize).max(1);
        let (size, changes) = (&mut self.size, &mut self.changes);
        (size.subscribers, size.services, size.backends) =
            (scaled(size.subscribers), scaled(size.services), scaled(size.backends));
        changes.restarts_per_day *= part;
        changes.failures_per_day *= part;
        changes.configurations_per_day *= part;
        self
    }

    /// Checks that all values are within their bounds.
    ///
    /// # Errors
    /// The first key whose value is out of bounds.
    pub fn check(&self) -> Result<(), ScaleScriptError> {
        self.check_sizes()?;
        self.check_rates()?;
        for (number, step) in self.steps.iter().enumerate() {
            self.check_step(number, step)?;
        }
        let seconds: f64 = self.steps.iter().map(|step| step.seconds).sum();
        if self.steps.is_empty() || seconds > MAX_SECONDS {
            return invalid("step", format!("{seconds} s in all steps, must be from 2 to {MAX_SECONDS}"));
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
            ("size.real", size.real_proxies, 0, 64),
        ];
        for (key, value, min, max) in counts {
            if value < min || value > max {
                return invalid(key, format!("{value}, must be from {min} to {max}"));
            }
        }
        let processes = size.processes + size.sources + size.relays + 2 * size.real_proxies;
        if processes > MAX_PROCESSES {
            return invalid("size", format!("{processes} processes, must be {MAX_PROCESSES} at most"));
        }
        Ok(())
    }

    fn check_rates(&self) -> Result<(), ScaleScriptError> {
        let numbers = [
            ("size.local", self.size.local_fraction, 0.0, 1.0),
            ("size.requests_per_s", self.size.requests_per_s, 0.0, 1_000.0),
            ("patience_s", self.convergence_timeout_s, 1.0, 120.0),
            ("changes.restarts_a_day", self.changes.restarts_per_day, 0.0, 1e8),
            ("changes.failures_a_day", self.changes.failures_per_day, 0.0, 1e8),
            ("changes.configurations_a_day", self.changes.configurations_per_day, 0.0, 1e8),
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
        if !(0.0..=step.seconds - Step::LEAD_S).contains(&step.fault_s) {
            let max = step.seconds - Step::LEAD_S;
            return invalid(&key("for_s"), format!("{}, must be from 0 to {max}", step.fault_s));
        }
        if !(0.0..=1_000.0).contains(&step.rate_factor) {
            return invalid(&key("times"), format!("{}, must be from 0 to 1000", step.rate_factor));
        }
        let max = match step.kind {
            StepKind::RelayKilled | StepKind::RelayStalled => size.relays,
            StepKind::RegionCut | StepKind::SourceRestarted => size.sources,
            StepKind::ZoneLost | StepKind::ZoneRestarted => size.zones,
            StepKind::SubscribersStopped => size.processes,
            StepKind::Ordinary => 1,
        };
        if step.target >= max {
            return invalid(&key("which"), format!("{}, must be below {max}", step.target));
        }
        if step.kind == StepKind::RegionCut && size.sources < 2 {
            return invalid(
                &key("what"),
                "region-cut needs two regions; set `size.sources` to 2 or more".into(),
            );
        }
        Ok(())
    }
}

fn invalid(key: &str, what: String) -> Result<(), ScaleScriptError> {
    Err(ScaleScriptError::Value { key: key.into(), what })
}
