use std::time::Duration;

use crate::time::ClockTime;

/// Whether an upstream leaves, and since when this instance knows.
///
/// A leaving upstream serves a shard that has no other for `grace`, the time in which its replacement arrives. It
/// gets nothing after that: the upstream may stop at any moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DepartureState {
    since: Option<ClockTime>,
}

impl DepartureState {
    /// Takes in at `now` whether the upstream leaves; says whether that is new.
    pub fn set(&mut self, now: ClockTime, leaving: bool) -> bool {
        let is_new = self.since.is_some() != leaving;
        match (leaving, self.since) {
            (true, None) => self.since = Some(now),
            (true, Some(_)) => {}
            (false, _) => self.since = None,
        }
        is_new
    }

    /// Says whether the upstream leaves.
    pub fn is_leaving(&self) -> bool {
        self.since.is_some()
    }

    /// Says whether the upstream may still get requests.
    pub fn is_usable(&self, now: ClockTime, grace: Duration) -> bool {
        self.since.is_none_or(|since| now.since(since) < grace)
    }
}
