use serde::{Deserialize, Serialize};

/// A fault of the next answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnswerFault {
    /// What goes wrong.
    pub kind: FaultKind,
    /// Answers that it affects.
    #[serde(default = "one")]
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
    /// Status 200 with a body that is not JSON.
    Junk,
    /// Bytes that are not HTTP.
    RawJunk,
    /// The previous answer of the replica, with its request id.
    Crossed,
    /// A body of the given size.
    Oversized,
    /// The answer comes after a delay, and the slot is free meanwhile.
    Late,
    /// The answer is sent twice on the connection.
    Doubled,
    /// The connection closes after the work, without an answer.
    EffectThenDrop,
    /// The connection closes before the work, which does not run.
    DropBefore,
    /// The answer states another snapshot than the one searched.
    WrongSnapshot,
}

/// 16 MiB, above every sensible limit of an answer.
const DEFAULT_FAULT_BYTES: usize = 16 << 20;

fn one() -> u64 {
    1
}

fn default_bytes() -> usize {
    DEFAULT_FAULT_BYTES
}
