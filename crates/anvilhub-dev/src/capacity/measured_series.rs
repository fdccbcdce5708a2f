use std::fmt;

use super::SlopeFit;

/// Values of one quantity at several sizes.
#[derive(Clone, Debug, PartialEq)]
pub struct MeasuredSeries {
    /// What was measured, with its unit.
    pub quantity: String,
    /// What the size counts.
    pub size: &'static str,
    /// Sizes and values.
    pub points: Vec<(f64, f64)>,
}

impl MeasuredSeries {
    /// A series of `quantity` over `size`.
    pub fn new(quantity: impl Into<String>, size: &'static str) -> Self {
        Self {
            quantity: quantity.into(),
            size,
            points: Vec::new(),
        }
    }

    /// Adds the value at a size.
    pub fn add(&mut self, size: usize, value: f64) {
        self.points.push((size as f64, value));
    }

    /// The line through the points.
    pub fn fit(&self) -> SlopeFit {
        SlopeFit::of(&self.points)
    }
}

/// A row of a Markdown table: quantity, size, slope, intercept, R2, points.
impl fmt::Display for MeasuredSeries {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let fit = self.fit();
        write!(
            formatter,
            "| {} | {} | {:.5} | {:.3} | {:.4} |",
            self.quantity, self.size, fit.slope, fit.intercept, fit.r_squared
        )?;
        for (size, value) in &self.points {
            let size = (size * 100.0).round() / 100.0;
            write!(formatter, " {size}: {value:.2};")?;
        }
        write!(formatter, " |")
    }
}
