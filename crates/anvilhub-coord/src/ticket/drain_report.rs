use derive_more::Display;

/// Counts of the tickets that an instance still owns, used for a planned stop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display)]
#[display("{running} running, {issued} issued and unexpired, {recorded} with an unexpired outcome")]
pub struct DrainReport {
    /// Running requests; the instance has to wait for them.
    pub running: usize,
    /// Unexpired tickets whose request has not arrived; a request that arrives after the instance ends becomes
    /// `unknown`.
    pub issued: usize,
    /// Unexpired tickets with a recorded outcome; a resend after the instance ends becomes `unknown`.
    pub recorded: usize,
}

impl DrainReport {
    /// Returns the number of unexpired or running tickets.
    pub fn total(self) -> usize {
        self.running + self.issued + self.recorded
    }
}
