use derive_more::Display;

/// State of the connection to the platform.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum PlatformLink {
    /// The last call was answered.
    #[display("reached")]
    Reached,
    /// The last call failed.
    #[display("lost")]
    Lost,
}
