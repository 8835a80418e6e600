//! Checks the figures that a page quotes from measured results: each text `` `ID` = VALUE UNIT `` in it must
//! match the committed results to the precision with which it is written.
//!
//! | in the page | meaning |
//! | --- | --- |
//! | `` `memory_bytes_per_backend` = 1.7 KB `` | the slope of the fitted line |
//! | `` `memory_bytes_per_backend.intercept` = 4.9 MB `` | the intercept of the fitted line |
//! | `` `memory_bytes_per_backend@10000` = 22 MB `` | the median or the value at that size |
//!
//! The page may use another unit of the same dimension (KB for bytes, ms for us). A figure needs at least two
//! significant digits; trailing zeros of an integer count as rounding.

use super::slopes::fit::line;
use super::slopes::{MIN_SIZES, Row};
use serde::Deserialize;
use std::collections::BTreeMap;
use thiserror::Error;

/// Minimum number of significant digits of a figure.
const MIN_DIGITS: usize = 2;
/// Units by dimension, with their factors relative to the first unit.
const UNITS: [&[(&str, f64)]; 3] = [
    &[("bytes", 1.0), ("B", 1.0), ("KB", 1e3), ("MB", 1e6), ("GB", 1e9)],
    &[("us", 1.0), ("µs", 1.0), ("ms", 1e3), ("s", 1e6)],
    &[("bytes/s", 1.0), ("KB/s", 1e3), ("MB/s", 1e6)],
];

/// An error in results, or in a page that quotes figures from them.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum FigureError {
    /// A line of the results file is invalid.
    #[error("{file}, line {line}: {problem}")]
    Line {
        /// Name of the results file.
        file: String,
        /// Line number, from 1.
        line: usize,
        /// Description of the problem.
        problem: String,
    },
    /// A figure of the page is malformed, unknown, or differs from the results.
    #[error("line {line}: `{figure}`: {problem}")]
    Figure {
        /// Line number in the page, from 1.
        line: usize,
        /// The text between the backquotes.
        figure: String,
        /// Description of the problem.
        problem: String,
    },
}

/// A value at one size, as `scale fleet` writes it.
#[derive(Deserialize)]
struct RawValue {
    quantity: String,
    #[serde(default)]
    unit: Option<String>,
    size: f64,
    value: f64,
}

/// The results of one quantity.
#[derive(Clone, Debug, Default)]
struct Figures {
    unit: Option<String>,
    /// Intercept and slope of the fitted line.
    line: Option<(f64, f64)>,
    /// Values by size, the size written as in pages.
    by_size: BTreeMap<String, f64>,
}

/// Results of measurements, by quantity.
#[derive(Clone, Debug, Default)]
pub struct Results(BTreeMap<String, Figures>);

impl Results {
    /// Adds the JSON lines of a file. A quantity has either a single row with a fitted line, or values at
    /// different sizes.
    ///
    /// # Errors
    /// The first line that is invalid or conflicts with an earlier one.
    pub fn read(&mut self, file: &str, text: &str) -> Result<(), FigureError> {
        for (number, line) in text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty()) {
            self.read_line(line).map_err(|problem| FigureError::Line {
                file: file.into(),
                line: number + 1,
                problem,
            })?;
        }
        Ok(())
    }

    fn read_line(&mut self, line: &str) -> Result<(), String> {
        // The kind of row is determined first, so that the error names the missing field of that kind.
        let value: serde_json::Value = serde_json::from_str(line).map_err(|e| e.to_string())?;
        if value.get("slope").is_some() || value.get("sizes").is_some() {
            self.add_slope(&serde_json::from_value(value).map_err(|e| e.to_string())?)
        } else {
            self.add_value(&serde_json::from_value(value).map_err(|e| e.to_string())?)
        }
    }

    fn add_slope(&mut self, row: &Row) -> Result<(), String> {
        let invalid = |problem: String| Err(format!("`{}` {problem}", row.quantity));
        let value_counts = [row.medians.len(), row.spread.len()];
        if row.sizes.len() < MIN_SIZES || value_counts != [row.sizes.len(); 2] {
            return invalid(format!(
                "has {} sizes (at least {MIN_SIZES} required), {value_counts:?} medians and spreads",
                row.sizes.len()
            ));
        }
        if row.command.is_empty() || row.program.is_empty() || row.runs == 0 {
            return invalid("has no command, no program or no runs".into());
        }
        if row.spread.iter().any(|&spread| spread < 0.0) {
            return invalid("has a negative spread".into());
        }
        let points: Vec<(f64, f64)> = row.sizes.iter().copied().zip(row.medians.iter().copied()).collect();
        let fitted = line(&points).map_err(|error| format!("`{}`: {error}", row.quantity))?;
        // The tolerance covers the rounding of the medians to six digits.
        let is_near =
            |given: f64, fitted: f64, scale: f64| (given - fitted).abs() <= 1e-3 * scale.abs() + 1e-9;
        let matches_medians = is_near(row.slope, fitted.slope, fitted.slope.abs() + fitted.slope_deviation)
            && is_near(row.intercept, fitted.intercept, fitted.intercept.abs() + fitted.residual_deviation)
            && is_near(
                row.slope_deviation,
                fitted.slope_deviation,
                fitted.slope.abs() + fitted.slope_deviation,
            )
            && is_near(
                row.residual_deviation,
                fitted.residual_deviation,
                row.medians[0].abs() + row.residual_deviation,
            );
        if !matches_medians {
            return invalid(format!("does not match the line fitted to its medians, {fitted:?}"));
        }
        let by_size = row.sizes.iter().map(ToString::to_string).zip(row.medians.iter().copied()).collect();
        let line = Some((row.intercept, row.slope));
        match self.0.insert(row.quantity.clone(), Figures { unit: Some(row.unit.clone()), line, by_size }) {
            Some(_) => invalid("appears a second time".into()),
            None => Ok(()),
        }
    }

    fn add_value(&mut self, row: &RawValue) -> Result<(), String> {
        let invalid = |problem: String| Err(format!("`{}` {problem}", row.quantity));
        let figures = self.0.entry(row.quantity.clone()).or_default();
        if figures.line.is_some() {
            return invalid("appears a second time".into());
        }
        if !figures.by_size.is_empty() && figures.unit != row.unit {
            return invalid("has two different units".into());
        }
        figures.unit.clone_from(&row.unit);
        match figures.by_size.insert(row.size.to_string(), row.value) {
            Some(_) => invalid(format!("has two values at {}", row.size)),
            None => Ok(()),
        }
    }

    /// Returns the value of a figure and its unit.
    fn find(&self, figure: &str) -> Result<(f64, Option<&str>), String> {
        let (id, size) = figure.split_once('@').map_or((figure, None), |(id, size)| (id, Some(size)));
        let (id, is_intercept) = id.strip_suffix(".intercept").map_or((id, false), |id| (id, true));
        let row = self.0.get(id).ok_or("the results have no such quantity")?;
        let value = match (size, row.line) {
            (Some(size), _) if !is_intercept => {
                row.by_size.get(&size.replace(',', "")).copied().ok_or_else(|| {
                    let sizes: Vec<&str> = row.by_size.keys().map(String::as_str).collect();
                    format!("the results have the sizes {}", sizes.join(", "))
                })?
            }
            (None, Some((intercept, slope))) => {
                if is_intercept {
                    intercept
                } else {
                    slope
                }
            }
            _ => return Err("the results have no line for it, or `.intercept` is used with a size".into()),
        };
        Ok((value, row.unit.as_deref()))
    }

    /// Compares all figures of a page with these results; returns the number of figures.
    ///
    /// # Errors
    /// All figures that do not match.
    pub fn check(&self, page: &str) -> Result<usize, Vec<FigureError>> {
        let (mut count, mut errors) = (0, Vec::new());
        for (number, text) in page.lines().enumerate() {
            for (figure, rest) in quoted(text) {
                let Some(written) = rest.trim_start().strip_prefix('=').map(str::trim_start) else {
                    continue;
                };
                if !is_figure_name(figure) || !written.starts_with(|c: char| c.is_ascii_digit() || c == '-') {
                    continue;
                }
                let checked = self.find(figure).and_then(|(value, unit)| compare(written, value, unit));
                match checked {
                    Ok(()) => count += 1,
                    Err(problem) => {
                        errors.push(FigureError::Figure { line: number + 1, figure: figure.into(), problem });
                    }
                }
            }
        }
        if errors.is_empty() { Ok(count) } else { Err(errors) }
    }
}

/// Whether the text can name a figure. Names are in lower case; other quoted texts with a value are not
/// figures.
fn is_figure_name(text: &str) -> bool {
    let is_name_char = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "_.@,".contains(c);
    text.starts_with(|c: char| c.is_ascii_lowercase()) && text.chars().all(is_name_char)
}

/// The texts between backquotes in a line, each with the rest of the line.
fn quoted(line: &str) -> impl Iterator<Item = (&str, &str)> {
    let mut remaining = line;
    std::iter::from_fn(move || {
        let (_, after_quote) = remaining.split_once('`')?;
        let (quoted, rest) = after_quote.split_once('`')?;
        remaining = rest;
        Some((quoted, rest))
    })
}

/// Checks that a value, converted to the written unit, rounds to the written number.
fn compare(written: &str, value: f64, unit: Option<&str>) -> Result<(), String> {
    let is_number_char = |c: char| c.is_ascii_digit() || matches!(c, '.' | ',' | '-');
    let end = written.find(|c| !is_number_char(c)).unwrap_or(written.len());
    // A comma or full stop after the number is punctuation of the sentence.
    let number = written[..end].trim_end_matches(['.', ',']);
    let without_commas = number.replace(',', "");
    let given: f64 = without_commas.parse().map_err(|_| format!("`{number}` is not a number"))?;
    let rest = written[number.len()..].trim_start();
    let written_unit: &str = rest
        .split(|c: char| c.is_whitespace() || matches!(c, '|' | ',' | ';' | ')' | '('))
        .next()
        .unwrap_or("");
    let factor = match unit {
        Some(unit) => factor(written_unit.trim_end_matches(['.', ':']), unit)?,
        None => 1.0,
    };
    let (whole, part) = without_commas
        .trim_start_matches('-')
        .split_once('.')
        .map_or((without_commas.as_str(), None), |(w, p)| (w, Some(p)));
    let digits = match part {
        Some(part) => format!("{whole}{part}").trim_start_matches(['0', '-']).len(),
        None => whole.trim_matches(['0', '-']).len(),
    };
    if part.is_some() && digits < MIN_DIGITS {
        return Err(format!("`{number}` has fewer than {MIN_DIGITS} digits"));
    }
    let scaled = value / factor;
    let digits = digits.max(MIN_DIGITS);
    let rounded: f64 = format!("{scaled:.*e}", digits - 1).parse().unwrap_or(scaled);
    // The tolerance is half a unit of the last digit, so that either rounding of a half is accepted.
    let last_digit =
        10f64.powi(scaled.abs().max(f64::MIN_POSITIVE).log10().floor() as i32 - (digits as i32 - 1));
    if (given - scaled).abs() <= last_digit * 0.5 * (1.0 + 1e-6) {
        Ok(())
    } else {
        Err(format!("the page has {number}, the results have {rounded} {written_unit}"))
    }
}

/// The factor from the page's unit to the results' unit.
fn factor(written_unit: &str, unit: &str) -> Result<f64, String> {
    if written_unit == unit {
        return Ok(1.0);
    }
    let units = UNITS.iter().find(|units| units.iter().any(|(name, _)| *name == unit));
    let factor_of = |name: &str| {
        units.and_then(|units| units.iter().find(|(n, _)| *n == name)).map(|(_, factor)| *factor)
    };
    match (factor_of(written_unit), factor_of(unit)) {
        (Some(given), Some(base)) => Ok(given / base),
        _ => Err(format!("the results are in {unit}, the page has `{written_unit}`")),
    }
}
