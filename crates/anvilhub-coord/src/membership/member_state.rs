use derive_more::Display;
use serde::Serialize;

/// State of a member as this instance knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// The member accepts work.
    #[display("live")]
    Live,
    /// The member accepts no new work and will end soon.
    #[display("leaving")]
    Leaving,
    /// The member's address refuses connections, or neither the list nor a recent answer names the member.
    #[display("absent")]
    Absent,
    /// The member did not answer in time.
    #[display("silent")]
    Silent,
}
