use serde::{Deserialize, Serialize};

/// A fault that is injected into the next answers of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InjectedFault {
    /// What goes wrong.
    pub kind: FaultKind,
    /// Number of answers that it affects.
    #[serde(default = "default_count")]
    pub count: u64,
    /// Delay of a late answer, in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
    /// Size of an oversized or junk answer, in bytes.
    #[serde(default = "default_bytes")]
    pub bytes: usize,
}

/// What goes wrong with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The answer has status 200 and a body that is not JSON.
    Junk,
    /// Bytes that are not HTTP are sent instead of the answer.
    RawJunk,
    /// The previous answer of the replica is sent again, with the previous request id.
    Crossed,
    /// The answer contains a row value of the given size.
    Oversized,
    /// The answer is sent after a delay. The slot is released before the delay.
    Late,
    /// The answer is sent twice on the connection.
    Doubled,
    /// The request runs, and then the connection is closed without an answer.
    EffectThenDrop,
    /// The connection is closed before the request runs.
    DropBefore,
    /// The answer names a different snapshot than the one that was searched.
    WrongSnapshot,
}

/// Default size of an oversized or junk answer; larger than any reasonable answer limit.
const DEFAULT_FAULT_BYTES: usize = 16 << 20;

fn default_count() -> u64 {
    1
}

fn default_bytes() -> usize {
    DEFAULT_FAULT_BYTES
}
