//! What troubles of connections cost: each kind at several degrees, on small and large fleets, as a table.
//!
//! No box is sick on these days. Whatever is lost beyond what the troubles take by themselves, and every
//! ejection, is the proxy's doing.

use crate::script::{BackendFault, BackendFaultKind, Script, ScriptError};
use crate::sockets::{self, ScenarioResult, SocketScenarioError};
use balancer::api::{Micros, Outcome};
use std::fmt;
use std::path::Path;
use thiserror::Error;

const SCRIPT: &str = include_str!("../scripts/connections.toml");
/// What a busy machine may be late by.
const SLACK: Micros = 1_000_000;
/// Requests a second for each box: about a third of what it can do.
const PER_BOX: f64 = 15.0;
/// The most requests a second that the stand-ins, which share a thread, are asked for.
const MAX_PER_S: f64 = 600.0;
/// Bursts: this often, this long, at this degree.
const BURST_EVERY_S: f64 = 1.5;
const BURST_S: f64 = 0.3;
const BURST_DEGREE: f64 = 0.5;

/// Why a case was not played.
#[derive(Debug, Error)]
pub enum MatrixError {
    /// The script.
    #[error("{0}")]
    Script(#[from] ScriptError),
    /// The day.
    #[error("{0}")]
    Sockets(#[from] SocketScenarioError),
}

/// How the trouble comes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pattern {
    /// None: what the fleet does by itself.
    Calm,
    /// This part of what it can hit, all the time.
    Steady(f64),
    /// Half of it, in bursts.
    Bursts,
}

/// One case of the matrix.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// The trouble.
    pub what: BackendFaultKind,
    /// How it comes.
    pub pattern: Pattern,
    /// Boxes; one proxy is before them.
    pub boxes: usize,
    /// How long clients ask, seconds.
    pub seconds: f64,
    /// For all random numbers.
    pub seed: u64,
}

impl Case {
    /// The day that it is.
    ///
    /// # Errors
    /// Where its figures can't be played.
    pub fn script(&self) -> Result<Script, ScriptError> {
        let mut script = Script::parse(SCRIPT, Path::new("connections.toml"))?;
        (script.seed, script.seconds, script.fleet.backends) = (self.seed, self.seconds, self.boxes);
        script.traffic.per_s = (self.boxes as f64 * PER_BOX).min(MAX_PER_S);
        let trouble = |at_s: f64, for_s: f64, degree: f64| BackendFault {
            what: self.what,
            at_s,
            for_s,
            part: 1.0,
            zone: None,
            degree,
        };
        script.backend_faults = match self.pattern {
            Pattern::Calm => Vec::new(),
            Pattern::Steady(degree) => vec![trouble(0.0, self.seconds, degree)],
            Pattern::Bursts => (0..(self.seconds / BURST_EVERY_S) as u32)
                .map(|n| trouble(f64::from(n) * BURST_EVERY_S, BURST_S, BURST_DEGREE))
                .collect(),
        };
        script.check()?;
        Ok(script)
    }

    /// Plays it.
    ///
    /// # Errors
    /// Where it can't be played.
    pub fn play(&self) -> Result<Row, MatrixError> {
        Ok(Row { case: *self, day: sockets::play(&self.script()?, SLACK, |_| ())? })
    }
}

/// A case and what came of it.
#[derive(Clone, Debug)]
pub struct Row {
    /// The case.
    pub case: Case,
    /// What came of it.
    pub day: ScenarioResult,
}

/// The head of the table.
pub const HEAD: &str = "boxes trouble        how     goodput  worst  att/req  hits  eject  refused failed  \
    by class              outcomes told";

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (all, how) = (
            &self.day.judgement.total,
            match self.case.pattern {
                Pattern::Calm => "calm".to_owned(),
                Pattern::Steady(degree) => format!("{:.0} %", degree * 100.0),
                Pattern::Bursts => "bursts".to_owned(),
            },
        );
        write!(
            f,
            "{:>5} {:<14} {how:<7} {:>7.3} {:>6.3} {:>8.3} {:>5} {:>6} {:>8} {:>6}  ",
            self.case.boxes,
            format!("{:?}", self.case.what),
            all.goodput(),
            self.day.judgement.worst_goodput,
            all.attempts as f64 / all.requests.max(1) as f64,
            self.day.fault_hits,
            self.day.ejections,
            all.rejected,
            all.failed,
        )?;
        for class in &self.day.judgement.classes {
            write!(f, "{:.3} ", class.goodput())?;
        }
        for (outcome, count) in Outcome::ALL.iter().zip(self.day.outcomes) {
            if count > 0 {
                write!(f, " {outcome:?} {count}")?;
            }
        }
        if self.day.unserved.total() > 0 {
            write!(f, "  unserved: {}", self.day.unserved)?;
        }
        if !self.day.judgement.is_clean() {
            write!(f, "  RULES BROKEN {:?}", self.day.judgement.violations)?;
        }
        Ok(())
    }
}

/// All cases: each trouble at 1, 5 and 20 % and in bursts, on 2 and on 60 boxes, and a calm day of each size.
#[must_use]
pub fn cases(seconds: f64, seed: u64) -> Vec<Case> {
    let mut cases = Vec::new();
    for boxes in [2, 60] {
        let case = |what, pattern| Case { what, pattern, boxes, seconds, seed };
        cases.push(case(BackendFaultKind::Reset, Pattern::Calm));
        for what in BackendFaultKind::OF_CONNECTIONS {
            let patterns = [0.01, 0.05, 0.2].map(Pattern::Steady);
            cases.extend(patterns.map(|pattern| case(what, pattern)));
            cases.push(case(what, Pattern::Bursts));
        }
    }
    cases
}
