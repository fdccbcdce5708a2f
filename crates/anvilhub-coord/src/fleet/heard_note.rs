use serde::{Deserialize, Serialize};

use super::MemberNote;

/// A note as it passes between instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeardNote {
    /// The note.
    pub note: MemberNote,
    /// Time since some instance heard it from the member itself, in milliseconds.
    pub age_ms: u64,
}
