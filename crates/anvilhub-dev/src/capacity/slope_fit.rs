/// A straight line through measured points, fitted by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlopeFit {
    /// Change of the value per unit of size.
    pub slope: f64,
    /// Value at size zero.
    pub intercept: f64,
    /// Coefficient of determination: the fraction of the variance that the line explains, between 0 and 1.
    pub r_squared: f64,
}

impl SlopeFit {
    /// Fits a line through `points` of size and value. Equal values give a slope of zero and an `r_squared` of 1.
    pub fn from_points(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_size = points.iter().map(|(size, _)| size).sum::<f64>() / count;
        let mean_value = points.iter().map(|(_, value)| value).sum::<f64>() / count;
        let size_variance: f64 = points
            .iter()
            .map(|(size, _)| (size - mean_size).powi(2))
            .sum();
        let value_variance: f64 = points
            .iter()
            .map(|(_, value)| (value - mean_value).powi(2))
            .sum();
        let covariance: f64 = points
            .iter()
            .map(|(size, value)| (size - mean_size) * (value - mean_value))
            .sum();
        let slope = match size_variance > 0.0 {
            true => covariance / size_variance,
            false => 0.0,
        };
        let intercept = mean_value - slope * mean_size;
        let residual: f64 = points
            .iter()
            .map(|(size, value)| (value - intercept - slope * size).powi(2))
            .sum();
        let r_squared = match value_variance > 0.0 {
            true => 1.0 - residual / value_variance,
            false => 1.0,
        };
        Self {
            slope,
            intercept,
            r_squared,
        }
    }
}
