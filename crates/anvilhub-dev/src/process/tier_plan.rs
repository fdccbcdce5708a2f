use serde_json::{Map, Value};

use super::SheetPlan;

/// Describes the processes and settings of a [`TestTier`](super::TestTier).
#[derive(Clone, Debug)]
pub struct TierPlan {
    /// The sheet that the platform serves.
    pub sheet: SheetPlan,
    /// Number of entry instances. They are called `entry-1`, `entry-2` and so on.
    pub entry_count: usize,
    /// Further settings of every entry instance.
    pub settings: Map<String, Value>,
    /// Whether entry instances connect to each other through proxies.
    pub has_proxies: bool,
}

impl Default for TierPlan {
    fn default() -> Self {
        Self {
            sheet: SheetPlan::default(),
            entry_count: 2,
            settings: Map::new(),
            has_proxies: false,
        }
    }
}
