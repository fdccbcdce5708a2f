use derive_more::Display;
use serde::Serialize;

/// What is known of a member of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It takes work.
    #[display("live")]
    Live,
    /// It takes no new work and ends soon.
    #[display("leaving")]
    Leaving,
    /// Its address refuses connections, or nobody names it any more.
    #[display("absent")]
    Absent,
    /// It does not answer.
    #[display("silent")]
    Silent,
}
