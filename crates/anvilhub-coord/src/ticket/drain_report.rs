use derive_more::Display;

/// Counts of the tickets that an instance still owns, used for a planned stop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display)]
#[display(
    "{running_count} running, {issued_count} issued and unexpired, {recorded_count} with an unexpired outcome"
)]
pub struct DrainReport {
    /// Number of running requests, for which the instance has to wait.
    pub running_count: usize,
    /// Number of unexpired tickets whose request has not arrived. The outcome of a request that arrives after the
    /// instance has ended is `unknown`.
    pub issued_count: usize,
    /// Number of unexpired tickets with a recorded outcome. The outcome of a resend that arrives after the instance has
    /// ended is `unknown`.
    pub recorded_count: usize,
}

impl DrainReport {
    /// Returns the number of unexpired or running tickets.
    pub fn total_count(self) -> usize {
        self.running_count + self.issued_count + self.recorded_count
    }
}
