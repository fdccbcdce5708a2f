use std::time::Duration;

use crate::membership::SampleRule;

/// Settings for the acceptance of sheets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptorSettings {
    /// How long a candidate is announced to peers before it is accepted.
    pub settling_time: Duration,
    /// Timeout of a fetch from a peer.
    pub fetch_timeout: Duration,
    /// Time between queries to peers that have not answered yet.
    pub query_interval: Duration,
    /// Time after which an instance starts even if listed peers are silent. If `None`, it waits for them without limit.
    pub isolated_start_after: Option<Duration>,
    /// Rule for the number of peers that are queried at a start.
    pub sample_rule: SampleRule,
}

impl Default for AcceptorSettings {
    fn default() -> Self {
        Self {
            settling_time: Duration::from_millis(500),
            fetch_timeout: Duration::from_millis(1_000),
            query_interval: Duration::from_millis(500),
            isolated_start_after: None,
            sample_rule: SampleRule::default(),
        }
    }
}
