//! Samples by quantity and size, and the result rows that are computed from them.

use super::fit::{self, FitError};
use super::quantities::{QUANTITIES, Quantity};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The machine on which the quantities were measured.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Host {
    /// Processors available to this program.
    pub cores: usize,
    /// Total memory, MiB.
    pub memory_mb: u64,
}

/// One quantity at all its sizes with the line fitted to its medians; one JSON line of the results file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Name of the quantity; stable between versions.
    pub quantity: String,
    /// Unit of the medians, the spread and the intercept. The slope is in this unit per one of `per`.
    pub unit: String,
    /// What a size counts, in the singular.
    pub per: String,
    /// What is measured.
    #[serde(rename = "what")]
    pub description: String,
    /// The command that produced the row.
    pub command: String,
    /// Seed of the random numbers of the emulated clients and discovery.
    pub seed: u64,
    /// Number of samples at each size; the smallest number if it differs.
    pub runs: usize,
    /// The measured sizes, in ascending order.
    pub sizes: Vec<f64>,
    /// Median of the runs at each size.
    pub medians: Vec<f64>,
    /// Difference of the largest and the smallest sample at each size.
    pub spread: Vec<f64>,
    /// Value of the fitted line at size 0.
    pub intercept: f64,
    /// Increase of the fitted line per unit of size.
    pub slope: f64,
    /// Standard deviation of the slope.
    pub slope_deviation: f64,
    /// Standard deviation of the medians from the line.
    pub residual_deviation: f64,
    /// The machine on which the row was measured.
    pub machine: Host,
    /// The measured program and its version.
    pub program: String,
}

/// The fields that all rows of a run have in common.
#[derive(Clone, Debug)]
pub(super) struct RunInfo {
    pub(super) command: String,
    pub(super) seed: u64,
    pub(super) machine: Host,
    pub(super) program: String,
}

/// The samples of all runs, by quantity and size.
#[derive(Debug, Default)]
pub(super) struct Samples(BTreeMap<&'static str, BTreeMap<usize, Vec<f64>>>);

impl Samples {
    pub(super) fn add(&mut self, quantity: &'static str, size: usize, value: f64) {
        self.0.entry(quantity).or_default().entry(size).or_default().push(value);
    }

    /// Rows of the quantities that `is_selected` accepts, in the order of [`QUANTITIES`].
    pub(super) fn rows(
        &self,
        run_info: &RunInfo,
        is_selected: impl Fn(&Quantity) -> bool,
    ) -> Result<Vec<Row>, (&'static str, FitError)> {
        let selected = QUANTITIES.iter().filter(|q| is_selected(q));
        selected.filter_map(|q| Some((q, self.0.get(q.id)?))).map(|(q, s)| row(run_info, q, s)).collect()
    }
}

fn row(
    run_info: &RunInfo,
    quantity: &Quantity,
    samples: &BTreeMap<usize, Vec<f64>>,
) -> Result<Row, (&'static str, FitError)> {
    let sizes: Vec<f64> = samples.keys().map(|&size| size as f64).collect();
    let medians: Vec<f64> = samples.values().map(|v| fit::median(v).unwrap_or(f64::NAN)).collect();
    let range = |values: &Vec<f64>| {
        let max = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        max - values.iter().copied().fold(f64::INFINITY, f64::min)
    };
    let points: Vec<(f64, f64)> = sizes.iter().copied().zip(medians.iter().copied()).collect();
    let line = fit::line(&points).map_err(|error| (quantity.id, error))?;
    Ok(Row {
        quantity: quantity.id.into(),
        unit: quantity.unit.into(),
        per: quantity.per.into(),
        description: quantity.description.into(),
        command: run_info.command.clone(),
        seed: run_info.seed,
        runs: samples.values().map(Vec::len).min().unwrap_or(0),
        spread: samples.values().map(|values| rounded(range(values))).collect(),
        sizes,
        medians: medians.into_iter().map(rounded).collect(),
        intercept: rounded(line.intercept),
        slope: rounded(line.slope),
        slope_deviation: rounded(line.slope_deviation),
        residual_deviation: rounded(line.residual_deviation),
        machine: run_info.machine.clone(),
        program: run_info.program.clone(),
    })
}

/// Rounds to six significant digits: more than the measurement's precision, and still readable in the file.
fn rounded(value: f64) -> f64 {
    format!("{value:.5e}").parse().unwrap_or(value)
}
