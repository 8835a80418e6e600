//! The cost of connection faults: each kind at several rates, on a small and a large fleet, as a table.
//!
//! All backends are healthy in these scenarios. Whatever is lost beyond the injected faults themselves, and
//! every ejection, is therefore caused by the proxy.

use crate::script::{BackendFault, BackendFaultKind, Script, ScriptError};
use crate::sockets::{self, ScenarioResult, SocketScenarioError};
use balancer::api::{Micros, Outcome};
use std::fmt;
use std::path::Path;
use thiserror::Error;

const SCRIPT: &str = include_str!("../scripts/connections.toml");
/// Scheduling delay that a busy machine may add, microseconds.
const SLACK: Micros = 1_000_000;
/// Requests per second for each backend: about a third of its capacity.
const REQUESTS_PER_S_PER_BACKEND: f64 = 15.0;
/// Upper bound on the requests per second: all emulators share one thread.
const MAX_REQUESTS_PER_S: f64 = 600.0;
/// Time from the start of a burst of faults to the start of the next one, seconds.
const BURST_INTERVAL_S: f64 = 1.5;
/// Duration of a burst, seconds.
const BURST_S: f64 = 0.3;
/// Probability of the fault within a burst, 0 to 1.
const BURST_DEGREE: f64 = 0.5;

/// Why a case could not be run.
#[derive(Debug, Error)]
pub enum MatrixError {
    /// The script of the case is invalid.
    #[error("{0}")]
    Script(#[from] ScriptError),
    /// The scenario could not be run.
    #[error("{0}")]
    Sockets(#[from] SocketScenarioError),
}

/// When the fault is active, and with which probability.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pattern {
    /// Never: the baseline without faults.
    NoFault,
    /// All the time, with this probability (0 to 1) for each request or connection that it can hit.
    Steady(f64),
    /// In bursts of 0.3 s, one every 1.5 s, with probability 0.5.
    Bursts,
}

/// One case of the matrix.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// The kind of fault.
    pub kind: BackendFaultKind,
    /// When it is active.
    pub pattern: Pattern,
    /// Number of backends, behind one proxy.
    pub backends: usize,
    /// How long clients send requests, seconds.
    pub seconds: f64,
    /// Seed of all random numbers.
    pub seed: u64,
}

impl Case {
    /// The script of the scenario.
    ///
    /// # Errors
    /// Where the values of the case give an invalid script.
    pub fn script(&self) -> Result<Script, ScriptError> {
        let mut script = Script::parse(SCRIPT, Path::new("connections.toml"))?;
        (script.seed, script.seconds, script.fleet.backends) = (self.seed, self.seconds, self.backends);
        script.traffic.per_s = (self.backends as f64 * REQUESTS_PER_S_PER_BACKEND).min(MAX_REQUESTS_PER_S);
        let fault = |at_s: f64, for_s: f64, degree: f64| BackendFault {
            kind: self.kind,
            at_s,
            for_s,
            fraction: 1.0,
            zone: None,
            severity: degree,
        };
        script.backend_faults = match self.pattern {
            Pattern::NoFault => Vec::new(),
            Pattern::Steady(degree) => vec![fault(0.0, self.seconds, degree)],
            Pattern::Bursts => (0..(self.seconds / BURST_INTERVAL_S) as u32)
                .map(|n| fault(f64::from(n) * BURST_INTERVAL_S, BURST_S, BURST_DEGREE))
                .collect(),
        };
        script.check()?;
        Ok(script)
    }

    /// Runs the case.
    ///
    /// # Errors
    /// Where the script is invalid, or the scenario cannot be run.
    pub fn run(&self) -> Result<Row, MatrixError> {
        Ok(Row { case: *self, result: sockets::run(&self.script()?, SLACK, |_| ())? })
    }
}

/// A case and its result: a row of the table.
#[derive(Clone, Debug)]
pub struct Row {
    /// The case.
    pub case: Case,
    /// The result of the scenario.
    pub result: ScenarioResult,
}

/// The header line of the table; `fleet` is the number of backends, `rate` the probability of the fault.
pub const HEADER: &str = "fleet fault          rate    goodput  worst  att/req  hits  eject rejected failed  \
    by class              outcomes";

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (total, pattern) = (
            &self.result.check_report.total,
            match self.case.pattern {
                Pattern::NoFault => "calm".to_owned(),
                Pattern::Steady(degree) => format!("{:.0} %", degree * 100.0),
                Pattern::Bursts => "bursts".to_owned(),
            },
        );
        write!(
            f,
            "{:>5} {:<14} {pattern:<7} {:>7.3} {:>6.3} {:>8.3} {:>5} {:>6} {:>8} {:>6}  ",
            self.case.backends,
            format!("{:?}", self.case.kind),
            total.goodput(),
            self.result.check_report.worst_goodput,
            total.attempts as f64 / total.requests.max(1) as f64,
            self.result.fault_hits,
            self.result.ejections,
            total.rejected,
            total.failed,
        )?;
        for class in &self.result.check_report.classes {
            write!(f, "{:.3} ", class.goodput())?;
        }
        for (outcome, count) in Outcome::ALL.iter().zip(self.result.outcomes) {
            if count > 0 {
                write!(f, " {outcome:?} {count}")?;
            }
        }
        if self.result.unserved.total() > 0 {
            write!(f, "  unserved: {}", self.result.unserved)?;
        }
        if !self.result.check_report.is_clean() {
            write!(f, "  RULES VIOLATED {:?}", self.result.check_report.violations)?;
        }
        Ok(())
    }
}

/// All cases: each connection fault at 1, 5 and 20 % and in bursts, on 2 and on 60 backends, and one case
/// without faults for each of these sizes.
#[must_use]
pub fn cases(seconds: f64, seed: u64) -> Vec<Case> {
    let mut cases = Vec::new();
    for backends in [2, 60] {
        let case = |kind, pattern| Case { kind, pattern, backends, seconds, seed };
        cases.push(case(BackendFaultKind::Reset, Pattern::NoFault));
        for kind in BackendFaultKind::OF_CONNECTIONS {
            let patterns = [0.01, 0.05, 0.2].map(Pattern::Steady);
            cases.extend(patterns.map(|pattern| case(kind, pattern)));
            cases.push(case(kind, Pattern::Bursts));
        }
    }
    cases
}
