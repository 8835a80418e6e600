//! Medians, percentiles and straight lines: pure functions of numbers.

use thiserror::Error;

/// Why there is no line through these points.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum FitError {
    /// Two points always lie on a line, which tells nothing of its deviation.
    #[error("a line with its deviation needs at least 3 points, and there are {0}")]
    TooFew(usize),
    /// All sizes are the same.
    #[error("all {0} sizes are {1}: a line needs different ones")]
    OneSize(usize, f64),
    /// Something is no number.
    #[error("point {place} is ({size}, {value}): both have to be finite")]
    NotFinite {
        /// Its place among the points.
        place: usize,
        /// Its size.
        size: f64,
        /// Its value.
        value: f64,
    },
}

/// A straight line by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// The value at size 0.
    pub intercept: f64,
    /// What one more adds.
    pub slope: f64,
    /// Standard deviation of the slope.
    pub slope_deviation: f64,
    /// Standard deviation of the points round the line, two of their number spent on the line itself.
    pub residual_deviation: f64,
}

/// The line through points of size and value.
///
/// # Errors
/// Where the points say nothing of a line.
pub fn line(points: &[(f64, f64)]) -> Result<Line, FitError> {
    if points.len() < 3 {
        return Err(FitError::TooFew(points.len()));
    }
    if let Some(place) = points.iter().position(|(x, y)| !x.is_finite() || !y.is_finite()) {
        return Err(FitError::NotFinite { place, size: points[place].0, value: points[place].1 });
    }
    let count = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (middle, height) = (mean(|p| p.0), mean(|p| p.1));
    let spread: f64 = points.iter().map(|(x, _)| (x - middle).powi(2)).sum();
    if points.iter().all(|(x, _)| *x == points[0].0) {
        return Err(FitError::OneSize(points.len(), points[0].0));
    }
    let slope = points.iter().map(|(x, y)| (x - middle) * (y - height)).sum::<f64>() / spread;
    let intercept = height - slope * middle;
    let left: f64 = points.iter().map(|(x, y)| (y - intercept - slope * x).powi(2)).sum();
    let residual_deviation = (left / (count - 2.0)).sqrt();
    Ok(Line { intercept, slope, slope_deviation: residual_deviation / spread.sqrt(), residual_deviation })
}

/// The value that this part of all values (0 to 1) does not exceed, the nearest rank; `None`: there are no values, or one
/// is no number.
#[must_use]
pub fn percentile(values: &[f64], part: f64) -> Option<f64> {
    if values.is_empty() || values.iter().any(|v| v.is_nan()) {
        return None;
    }
    let mut sorted = values.to_vec();
    sorted.sort_unstable_by(f64::total_cmp);
    let rank = (sorted.len() as f64 * part.clamp(0.0, 1.0)).ceil() as usize;
    Some(sorted[rank.max(1) - 1])
}

/// The middle value, or the mean of the middle two; `None`: there are no values, or one is no number.
#[must_use]
pub fn median(values: &[f64]) -> Option<f64> {
    if values.is_empty() || values.iter().any(|v| v.is_nan()) {
        return None;
    }
    let mut sorted = values.to_vec();
    sorted.sort_unstable_by(f64::total_cmp);
    let half = sorted.len() / 2;
    Some(if sorted.len() % 2 == 1 { sorted[half] } else { f64::midpoint(sorted[half - 1], sorted[half]) })
}
