use crate::ids::ServiceName;

/// How a route merges the answers of many shards.
#[derive(Clone, Debug, PartialEq)]
pub struct GatherRule {
    /// The shards; each is a service of its own.
    pub shards: Vec<ServiceName>,
    /// Maximum number of records in an answer.
    pub max_records: usize,
    /// Minimum fraction of the shards, 0 to 1, that a successful answer needs.
    pub min_shard_fraction: f64,
}

impl GatherRule {
    /// Returns the minimum number of shards that a successful answer needs; at least one.
    pub fn min_shards(&self) -> usize {
        // The small term keeps rounding errors in a product such as 0.9 * 10 from raising the result to 10.
        let min = (self.min_shard_fraction * self.shards.len() as f64 - 1e-9).ceil();
        (min as usize).clamp(1, self.shards.len().max(1))
    }
}
