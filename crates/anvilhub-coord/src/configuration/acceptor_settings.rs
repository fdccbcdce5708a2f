use std::time::Duration;

use crate::membership::SampleRule;

/// Times that the acceptance of sheets depends on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptorSettings {
    /// How long a candidate is announced before it is accepted.
    pub settling_time: Duration,
    /// How long a fetch from a peer may take.
    pub fetch_timeout: Duration,
    /// Time between queries to peers that have not answered yet.
    pub query_interval: Duration,
    /// Time after which an instance starts without the listed peers that stay silent. None: it waits.
    pub isolated_start_after: Option<Duration>,
    /// How many peers are asked at a start.
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
