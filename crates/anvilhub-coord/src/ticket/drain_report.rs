use derive_more::Display;

/// The tickets that an instance still owns, for a planned stop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display)]
#[display("{running} running, {issued} issued and unexpired, {recorded} with an unexpired outcome")]
pub struct DrainReport {
    /// Requests that run now; the instance has to wait for them.
    pub running: usize,
    /// Unexpired tickets whose request has not arrived; it becomes `unknown` when the instance ends.
    pub issued: usize,
    /// Unexpired tickets with an outcome; a resend becomes `unknown` when the instance ends.
    pub recorded: usize,
}

impl DrainReport {
    /// Unexpired or running tickets together.
    pub fn total(self) -> usize {
        self.running + self.issued + self.recorded
    }
}
