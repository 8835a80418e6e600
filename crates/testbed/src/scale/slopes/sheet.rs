//! Samples by quantity and size, and the rows that they come to.

use super::fit::{self, FitError};
use super::quantities::{QUANTITIES, Quantity};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The machine on which the figures were measured.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Host {
    /// Processors that this program may use.
    pub cores: usize,
    /// Memory, MB.
    pub memory_mb: u64,
}

/// One quantity at all its sizes, and the line through them: a line of the results file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Its name, which stays the same from run to run.
    pub quantity: String,
    /// The unit of the medians, the spread and the intercept; the slope is in this unit for each of `per`.
    pub unit: String,
    /// What the sizes count.
    pub per: String,
    /// In words.
    pub what: String,
    /// The command that gave it.
    pub command: String,
    /// For the random numbers of the stand-ins.
    pub seed: u64,
    /// Samples at each size.
    pub runs: usize,
    /// The sizes.
    pub sizes: Vec<f64>,
    /// The median of the runs at each size.
    pub medians: Vec<f64>,
    /// The largest less the smallest of the runs at each size.
    pub spread: Vec<f64>,
    /// Where the line through the medians begins.
    pub intercept: f64,
    /// What one more adds.
    pub slope: f64,
    /// Standard deviation of the slope.
    pub slope_deviation: f64,
    /// Standard deviation of the medians round the line.
    pub residual_deviation: f64,
    /// Where it was measured.
    pub machine: Host,
    /// The program that was measured, and its version.
    pub program: String,
}

/// What all rows of a run share.
#[derive(Clone, Debug)]
pub(super) struct Origin {
    pub(super) command: String,
    pub(super) seed: u64,
    pub(super) machine: Host,
    pub(super) program: String,
}

/// The samples of a run.
#[derive(Debug, Default)]
pub(super) struct Sheet(BTreeMap<&'static str, BTreeMap<usize, Vec<f64>>>);

impl Sheet {
    pub(super) fn add(&mut self, quantity: &'static str, size: usize, value: f64) {
        self.0.entry(quantity).or_default().entry(size).or_default().push(value);
    }

    /// The rows of the quantities that `wanted` picks, in the order of the table.
    pub(super) fn rows(
        &self,
        origin: &Origin,
        wanted: impl Fn(&Quantity) -> bool,
    ) -> Result<Vec<Row>, (&'static str, FitError)> {
        let measured = QUANTITIES.iter().filter(|q| wanted(q));
        measured.filter_map(|q| Some((q, self.0.get(q.id)?))).map(|(q, s)| row(origin, q, s)).collect()
    }
}

fn row(
    origin: &Origin,
    quantity: &Quantity,
    samples: &BTreeMap<usize, Vec<f64>>,
) -> Result<Row, (&'static str, FitError)> {
    let sizes: Vec<f64> = samples.keys().map(|&size| size as f64).collect();
    let medians: Vec<f64> = samples.values().map(|v| fit::median(v).unwrap_or(f64::NAN)).collect();
    let range = |values: &Vec<f64>| {
        let most = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        most - values.iter().copied().fold(f64::INFINITY, f64::min)
    };
    let points: Vec<(f64, f64)> = sizes.iter().copied().zip(medians.iter().copied()).collect();
    let line = fit::line(&points).map_err(|error| (quantity.id, error))?;
    Ok(Row {
        quantity: quantity.id.into(),
        unit: quantity.unit.into(),
        per: quantity.per.into(),
        what: quantity.what.into(),
        command: origin.command.clone(),
        seed: origin.seed,
        runs: samples.values().map(Vec::len).min().unwrap_or(0),
        spread: samples.values().map(|values| rounded(range(values))).collect(),
        sizes,
        medians: medians.into_iter().map(rounded).collect(),
        intercept: rounded(line.intercept),
        slope: rounded(line.slope),
        slope_deviation: rounded(line.slope_deviation),
        residual_deviation: rounded(line.residual_deviation),
        machine: origin.machine.clone(),
        program: origin.program.clone(),
    })
}

/// Six digits: more than any of the figures is worth, and fewer than would make the file hard to read.
fn rounded(value: f64) -> f64 {
    format!("{value:.5e}").parse().unwrap_or(value)
}
