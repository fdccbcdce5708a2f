use std::fmt;

use super::SlopeFit;

/// Measured values of one quantity at several sizes.
#[derive(Clone, Debug, PartialEq)]
pub struct MeasuredSeries {
    /// What was measured, with its unit.
    pub quantity: String,
    /// What a size counts, such as `member`.
    pub size_unit: &'static str,
    /// Pairs of size and value.
    pub points: Vec<(f64, f64)>,
}

impl MeasuredSeries {
    /// Creates a series of `quantity` without points. A size is a number of `size_unit`.
    pub fn new(quantity: impl Into<String>, size_unit: &'static str) -> Self {
        Self {
            quantity: quantity.into(),
            size_unit,
            points: Vec::new(),
        }
    }

    /// Adds the value measured at `size`.
    pub fn add_point(&mut self, size: usize, value: f64) {
        self.points.push((size as f64, value));
    }

    /// Returns the line that fits the points best.
    pub fn fit(&self) -> SlopeFit {
        SlopeFit::from_points(&self.points)
    }
}

/// Writes a row of a Markdown table: quantity, unit of the size, slope, intercept, R2, points.
impl fmt::Display for MeasuredSeries {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let fit = self.fit();
        write!(
            formatter,
            "| {} | {} | {:.5} | {:.3} | {:.4} |",
            self.quantity, self.size_unit, fit.slope, fit.intercept, fit.r_squared
        )?;
        for (size, value) in &self.points {
            let size = (size * 100.0).round() / 100.0;
            write!(formatter, " {size}: {value:.2};")?;
        }
        write!(formatter, " |")
    }
}
