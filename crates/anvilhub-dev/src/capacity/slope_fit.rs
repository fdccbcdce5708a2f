/// A straight line through measured points, by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlopeFit {
    /// Change of the value for one more unit of size.
    pub slope: f64,
    /// Value at size zero.
    pub intercept: f64,
    /// Share of the variance that the line explains, between 0 and 1.
    pub r_squared: f64,
}

impl SlopeFit {
    /// The line through `points` of size and value. Equal values give a slope of zero that explains all.
    pub fn of(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_size = points.iter().map(|(size, _)| size).sum::<f64>() / count;
        let mean_value = points.iter().map(|(_, value)| value).sum::<f64>() / count;
        let size_spread: f64 = points
            .iter()
            .map(|(size, _)| (size - mean_size).powi(2))
            .sum();
        let value_spread: f64 = points
            .iter()
            .map(|(_, value)| (value - mean_value).powi(2))
            .sum();
        let product: f64 = points
            .iter()
            .map(|(size, value)| (size - mean_size) * (value - mean_value))
            .sum();
        let slope = match size_spread > 0.0 {
            true => product / size_spread,
            false => 0.0,
        };
        let intercept = mean_value - slope * mean_size;
        let residue: f64 = points
            .iter()
            .map(|(size, value)| (value - intercept - slope * size).powi(2))
            .sum();
        let r_squared = match value_spread > 0.0 {
            true => 1.0 - residue / value_spread,
            false => 1.0,
        };
        Self {
            slope,
            intercept,
            r_squared,
        }
    }
}
