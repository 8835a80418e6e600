//! What a page takes from measured results, checked: every figure that stands in it as `` `ID` = VALUE UNIT `` has to be
//! that of the committed results, to the digits in which it is written.
//!
//! | in the page | is |
//! | --- | --- |
//! | `` `memory_bytes_per_backend` = 1.7 KB `` | the slope of that row |
//! | `` `memory_bytes_per_backend.intercept` = 4.9 MB `` | where its line begins |
//! | `` `memory_bytes_per_backend@10000` = 22 MB `` | the median at that size, or the value of a row with that size |
//!
//! A unit may be another one of the same kind (KB for bytes, ms for us). At least two digits are written, and zeros at the
//! end of a whole number count as rounding.

use super::slopes::fit::line;
use super::slopes::{MIN_SIZES, Row};
use serde::Deserialize;
use std::collections::BTreeMap;
use thiserror::Error;

/// The fewest digits that a figure is written with.
const MIN_DIGITS: usize = 2;
/// Units of one kind, with what each is of the kind's first.
const KINDS: [&[(&str, f64)]; 3] = [
    &[("bytes", 1.0), ("B", 1.0), ("KB", 1e3), ("MB", 1e6), ("GB", 1e9)],
    &[("us", 1.0), ("µs", 1.0), ("ms", 1e3), ("s", 1e6)],
    &[("bytes/s", 1.0), ("KB/s", 1e3), ("MB/s", 1e6)],
];

/// What is wrong with results, or with a page that takes figures from them.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum FigureError {
    /// A line of the results that is none.
    #[error("{file}, line {line}: {problem}")]
    Line {
        /// The file.
        file: String,
        /// The line, from 1.
        line: usize,
        /// What is wrong.
        problem: String,
    },
    /// A figure of the page that is written wrongly, unknown, or another one than in the results.
    #[error("line {line}: `{figure}`: {problem}")]
    Figure {
        /// The line of the page, from 1.
        line: usize,
        /// What stands between the backquotes.
        figure: String,
        /// What is wrong.
        problem: String,
    },
}

/// A value at one size, as the scale run writes it.
#[derive(Deserialize)]
struct RawValue {
    quantity: String,
    #[serde(default)]
    unit: Option<String>,
    size: f64,
    value: f64,
}

/// The figures of one quantity.
#[derive(Clone, Debug, Default)]
struct Figures {
    unit: Option<String>,
    /// Intercept and slope.
    line: Option<(f64, f64)>,
    /// By size, as pages write it.
    at: BTreeMap<String, f64>,
}

/// All results, by quantity.
#[derive(Clone, Debug, Default)]
pub struct Results(BTreeMap<String, Figures>);

impl Results {
    /// Takes the JSON lines of a file in. A quantity with a line stands in one row of one file; values of one quantity
    /// have different sizes.
    ///
    /// # Errors
    /// Names the first line that is none.
    pub fn read(&mut self, file: &str, text: &str) -> Result<(), FigureError> {
        for (number, line) in text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty()) {
            self.take(line).map_err(|problem| FigureError::Line {
                file: file.into(),
                line: number + 1,
                problem,
            })?;
        }
        Ok(())
    }

    fn take(&mut self, line: &str) -> Result<(), String> {
        // Which form is meant is seen first, so that what a row lacks is named.
        let value: serde_json::Value = serde_json::from_str(line).map_err(|e| e.to_string())?;
        if value.get("slope").is_some() || value.get("sizes").is_some() {
            self.take_slope(&serde_json::from_value(value).map_err(|e| e.to_string())?)
        } else {
            self.take_value(&serde_json::from_value(value).map_err(|e| e.to_string())?)
        }
    }

    fn take_slope(&mut self, row: &Row) -> Result<(), String> {
        let wrong = |problem: String| Err(format!("`{}` {problem}", row.quantity));
        let counts = [row.medians.len(), row.spread.len()];
        if row.sizes.len() < MIN_SIZES || counts != [row.sizes.len(); 2] {
            return wrong(format!(
                "has {} sizes ({MIN_SIZES} at least) and {counts:?} figures",
                row.sizes.len()
            ));
        }
        if row.command.is_empty() || row.program.is_empty() || row.runs == 0 {
            return wrong("names no command, no program or no runs".into());
        }
        if row.spread.iter().any(|&spread| spread < 0.0) {
            return wrong("has a spread below 0".into());
        }
        let points: Vec<(f64, f64)> = row.sizes.iter().copied().zip(row.medians.iter().copied()).collect();
        let fitted = line(&points).map_err(|error| format!("`{}`: {error}", row.quantity))?;
        // The medians are written with six digits.
        let near = |told: f64, is: f64, size: f64| (told - is).abs() <= 1e-3 * size.abs() + 1e-9;
        let good = near(row.slope, fitted.slope, fitted.slope.abs() + fitted.slope_deviation)
            && near(row.intercept, fitted.intercept, fitted.intercept.abs() + fitted.residual_deviation)
            && near(row.slope_deviation, fitted.slope_deviation, fitted.slope.abs() + fitted.slope_deviation)
            && near(
                row.residual_deviation,
                fitted.residual_deviation,
                row.medians[0].abs() + row.residual_deviation,
            );
        if !good {
            return wrong(format!("has another line than its medians, {fitted:?}"));
        }
        let at = row.sizes.iter().map(ToString::to_string).zip(row.medians.iter().copied()).collect();
        let line = Some((row.intercept, row.slope));
        match self.0.insert(row.quantity.clone(), Figures { unit: Some(row.unit.clone()), line, at }) {
            Some(_) => wrong("stands here a second time".into()),
            None => Ok(()),
        }
    }

    fn take_value(&mut self, row: &RawValue) -> Result<(), String> {
        let wrong = |problem: String| Err(format!("`{}` {problem}", row.quantity));
        let figures = self.0.entry(row.quantity.clone()).or_default();
        if figures.line.is_some() {
            return wrong("stands here a second time".into());
        }
        if !figures.at.is_empty() && figures.unit != row.unit {
            return wrong("has two units".into());
        }
        figures.unit.clone_from(&row.unit);
        match figures.at.insert(row.size.to_string(), row.value) {
            Some(_) => wrong(format!("has two values at {}", row.size)),
            None => Ok(()),
        }
    }

    /// The value of a figure, and its unit.
    fn find(&self, figure: &str) -> Result<(f64, Option<&str>), String> {
        let (id, size) = figure.split_once('@').map_or((figure, None), |(id, size)| (id, Some(size)));
        let (id, begins) = id.strip_suffix(".intercept").map_or((id, false), |id| (id, true));
        let row = self.0.get(id).ok_or("no such quantity stands in the results")?;
        let value = match (size, row.line) {
            (Some(size), _) if !begins => row.at.get(&size.replace(',', "")).copied().ok_or_else(|| {
                let sizes: Vec<&str> = row.at.keys().map(String::as_str).collect();
                format!("the results have the sizes {}", sizes.join(", "))
            })?,
            (None, Some((intercept, slope))) => {
                if begins {
                    intercept
                } else {
                    slope
                }
            }
            _ => return Err("no line stands in the results, or `.intercept` beside a size".into()),
        };
        Ok((value, row.unit.as_deref()))
    }

    /// How many figures a page takes from these results, all of them as the results have them.
    ///
    /// # Errors
    /// Gives every one that is not.
    pub fn check(&self, page: &str) -> Result<usize, Vec<FigureError>> {
        let (mut count, mut wrong) = (0, Vec::new());
        for (number, text) in page.lines().enumerate() {
            for (figure, rest) in quoted(text) {
                let Some(written) = rest.trim_start().strip_prefix('=').map(str::trim_start) else {
                    continue;
                };
                if !is_name(figure) || !written.starts_with(|c: char| c.is_ascii_digit() || c == '-') {
                    continue;
                }
                let checked = self.find(figure).and_then(|(value, unit)| compare(written, value, unit));
                match checked {
                    Ok(()) => count += 1,
                    Err(problem) => {
                        wrong.push(FigureError::Figure { line: number + 1, figure: figure.into(), problem });
                    }
                }
            }
        }
        if wrong.is_empty() { Ok(count) } else { Err(wrong) }
    }
}

/// Whether this could name a figure: quantities are named in small letters. Anything else may have a value as well.
fn is_name(text: &str) -> bool {
    let is_part = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "_.@,".contains(c);
    text.starts_with(|c: char| c.is_ascii_lowercase()) && text.chars().all(is_part)
}

/// What stands between backquotes in a line, each with what comes behind it.
fn quoted(line: &str) -> impl Iterator<Item = (&str, &str)> {
    let mut left = line;
    std::iter::from_fn(move || {
        let (_, open) = left.split_once('`')?;
        let (inside, behind) = open.split_once('`')?;
        left = behind;
        Some((inside, behind))
    })
}

/// Whether a value is the figure that is written, to its digits, in its unit.
fn compare(written: &str, value: f64, unit: Option<&str>) -> Result<(), String> {
    let is_part = |c: char| c.is_ascii_digit() || matches!(c, '.' | ',' | '-');
    let end = written.find(|c| !is_part(c)).unwrap_or(written.len());
    // A comma or full stop behind a number belongs to the sentence.
    let number = written[..end].trim_end_matches(['.', ',']);
    let plain = number.replace(',', "");
    let given: f64 = plain.parse().map_err(|_| format!("`{number}` is no number"))?;
    let behind = written[number.len()..].trim_start();
    let word: &str = behind
        .split(|c: char| c.is_whitespace() || matches!(c, '|' | ',' | ';' | ')' | '('))
        .next()
        .unwrap_or("");
    let factor = match unit {
        Some(unit) => factor(word.trim_end_matches(['.', ':']), unit)?,
        None => 1.0,
    };
    let (whole, part) =
        plain.trim_start_matches('-').split_once('.').map_or((plain.as_str(), None), |(w, p)| (w, Some(p)));
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
    // Half a unit of the last digit either way, so that it doesn't matter how a half is rounded.
    let last = 10f64.powi(scaled.abs().max(f64::MIN_POSITIVE).log10().floor() as i32 - (digits as i32 - 1));
    if (given - scaled).abs() <= last * 0.5 * (1.0 + 1e-6) {
        Ok(())
    } else {
        Err(format!("the page says {number} and the results {rounded} {word}"))
    }
}

/// What one of the page's unit is in the results' unit.
fn factor(word: &str, unit: &str) -> Result<f64, String> {
    if word == unit {
        return Ok(1.0);
    }
    let kind = KINDS.iter().find(|kind| kind.iter().any(|(name, _)| *name == unit));
    let of =
        |name: &str| kind.and_then(|kind| kind.iter().find(|(n, _)| *n == name)).map(|(_, factor)| *factor);
    match (of(word), of(unit)) {
        (Some(given), Some(base)) => Ok(given / base),
        _ => Err(format!("the results are in {unit}, the page says `{word}`")),
    }
}
