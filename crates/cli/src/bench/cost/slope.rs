//! Linear regression over measured points.

use serde::Serialize;

/// A line fitted by least squares.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Line {
    /// Value at x = 0.
    pub base: f64,
    /// Increase per unit of x.
    pub slope: f64,
}

/// Fits a line to `points`, as (x, y). The slope is 0 when they don't differ in x.
pub fn fit(points: &[(f64, f64)]) -> Line {
    let count = points.len().max(1) as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if spread == 0.0 {
        return Line { base: mean_y, slope: 0.0 };
    }
    let product: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let slope = product / spread;
    Line { base: mean_y - slope * mean_x, slope }
}
