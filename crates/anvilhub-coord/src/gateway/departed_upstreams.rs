use std::collections::HashMap;
use std::time::Duration;

use crate::ids::{Incarnation, UpstreamId};
use crate::limit::UpstreamProcess;
use crate::time::ClockTime;

/// Time after a restore for which the record of an upstream that left before is in doubt. The record of an ended
/// upstream expires after three missed heartbeats of about a second each; one that is still listed later is alive.
const DOUBT_TIME: Duration = Duration::from_secs(8);
/// Time for which departed upstreams are remembered; longer than the age of a copy from which a platform is restored.
const MEMORY: Duration = Duration::from_secs(120);

/// The upstreams that have left, and whether a record that names one of them can be believed.
///
/// Designed for a platform that is restored from a copy: upstreams that left since are listed again, as ready, until
/// their records expire, while their addresses are dead or belong to others.
#[derive(Clone, Debug, Default)]
pub struct DepartedUpstreams {
    /// The last incarnation of each departed upstream, and when it was removed.
    departures: HashMap<UpstreamId, (Incarnation, ClockTime)>,
    /// When the platform was last found restored; `None` if it never was.
    restored_at: Option<ClockTime>,
}

impl DepartedUpstreams {
    /// Records that `process` was removed at `now`.
    pub fn record_departure(&mut self, now: ClockTime, process: UpstreamProcess) {
        self.departures
            .retain(|_, (_, left_at)| now.since(*left_at) < MEMORY);
        self.departures
            .insert(process.id, (process.incarnation, now));
    }

    /// Records that an upstream is in use again.
    pub fn record_return(&mut self, id: &UpstreamId) {
        self.departures.remove(id);
    }

    /// Records that the platform was found restored at `now`.
    pub fn record_restore(&mut self, now: ClockTime) {
        self.restored_at = Some(now);
    }

    /// Returns whether a record of `process` that the platform lists at `now` may be one that the restore brought back.
    pub fn is_doubtful(&self, now: ClockTime, process: &UpstreamProcess) -> bool {
        let Some(restored_at) = self.restored_at else {
            return false;
        };
        let departure = self.departures.get(&process.id);
        let left_before = departure.is_some_and(|(incarnation, left_at)| {
            process.incarnation <= *incarnation && *left_at <= restored_at
        });
        left_before && now.since(restored_at) < DOUBT_TIME
    }
}
