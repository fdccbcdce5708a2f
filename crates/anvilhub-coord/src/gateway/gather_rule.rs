use crate::ids::ServiceName;

/// How a route joins the answers of many shards.
#[derive(Clone, Debug, PartialEq)]
pub struct GatherRule {
    /// The shards; each is a service of its own.
    pub shards: Vec<ServiceName>,
    /// Number of records that an answer holds at most.
    pub top: usize,
    /// Share of the shards, 0 to 1, below which an answer is no success.
    pub min_shard_ratio: f64,
}

impl GatherRule {
    /// Number of shards that an answer needs at least; a success names at least one.
    pub fn min_shards(&self) -> usize {
        // The small term keeps a product such as 0.9 * 10 from rounding up to 10.
        let min = (self.min_shard_ratio * self.shards.len() as f64 - 1e-9).ceil();
        (min as usize).clamp(1, self.shards.len().max(1))
    }
}
