//! Medians, percentiles and least-squares lines: pure functions of numbers.

use thiserror::Error;

/// Why no line can be fitted to the given points.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum FitError {
    /// Fewer than three points: two always lie on a line, so the deviation is undefined.
    #[error("a line and its deviation need at least 3 points, but only {0} are given")]
    TooFewPoints(usize),
    /// All sizes are equal.
    #[error("all {0} sizes are {1}: a line needs different sizes")]
    EqualSizes(usize, f64),
    /// A size or value is infinite or not a number.
    #[error("point {index} is ({size}, {value}): both must be finite")]
    NotFinite {
        /// Index of the point, from 0.
        index: usize,
        /// Size of the point.
        size: f64,
        /// Value of the point.
        value: f64,
    },
}

/// A straight line, fitted by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// The value at size 0.
    pub intercept: f64,
    /// Increase of the value per unit of size.
    pub slope: f64,
    /// Standard deviation of the slope.
    pub slope_deviation: f64,
    /// Standard deviation of the points from the line, with n - 2 degrees of freedom.
    pub residual_deviation: f64,
}

/// Fits a line to points of (size, value).
///
/// # Errors
/// If there are fewer than three points, all sizes are equal, or a number is not finite.
pub fn line(points: &[(f64, f64)]) -> Result<Line, FitError> {
    if points.len() < 3 {
        return Err(FitError::TooFewPoints(points.len()));
    }
    if let Some(index) = points.iter().position(|(x, y)| !x.is_finite() || !y.is_finite()) {
        return Err(FitError::NotFinite { index, size: points[index].0, value: points[index].1 });
    }
    let count = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (mean_size, mean_value) = (mean(|p| p.0), mean(|p| p.1));
    let squares: f64 = points.iter().map(|(x, _)| (x - mean_size).powi(2)).sum();
    if points.iter().all(|(x, _)| *x == points[0].0) {
        return Err(FitError::EqualSizes(points.len(), points[0].0));
    }
    let slope = points.iter().map(|(x, y)| (x - mean_size) * (y - mean_value)).sum::<f64>() / squares;
    let intercept = mean_value - slope * mean_size;
    let residual_squares: f64 = points.iter().map(|(x, y)| (y - intercept - slope * x).powi(2)).sum();
    let residual_deviation = (residual_squares / (count - 2.0)).sqrt();
    Ok(Line { intercept, slope, slope_deviation: residual_deviation / squares.sqrt(), residual_deviation })
}

/// The percentile of the values by the nearest-rank method; `fraction` is clamped to 0 to 1. `None` if there
/// are no values or one of them is NaN.
#[must_use]
pub fn percentile(values: &[f64], fraction: f64) -> Option<f64> {
    if values.is_empty() || values.iter().any(|v| v.is_nan()) {
        return None;
    }
    let mut sorted = values.to_vec();
    sorted.sort_unstable_by(f64::total_cmp);
    let rank = (sorted.len() as f64 * fraction.clamp(0.0, 1.0)).ceil() as usize;
    Some(sorted[rank.max(1) - 1])
}

/// The median; for an even number of values, the mean of the middle two. `None` if there are no values or one
/// of them is NaN.
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
