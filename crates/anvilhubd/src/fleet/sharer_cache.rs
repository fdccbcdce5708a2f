use std::sync::Arc;
use std::time::Duration;

use anvilhub_coord::ids::InstanceId;
use anvilhub_coord::limit::LimitSharers;
use anvilhub_coord::time::ClockTime;

use crate::routes::LockCell;

/// How long the list of instances that share limits is used before it is computed again.
const SHARERS_LIFETIME: Duration = Duration::from_millis(200);

/// The instances that share limits, and when they were computed.
#[derive(Default)]
pub(super) struct SharerCache {
    known: LockCell<Option<(ClockTime, Arc<LimitSharers>)>>,
}

impl SharerCache {
    /// Returns the instances that share limits. `list_sharers` is called if the known ones are too old.
    pub(super) fn get(
        &self,
        now: ClockTime,
        list_sharers: impl FnOnce() -> Vec<InstanceId>,
    ) -> Arc<LimitSharers> {
        self.known.with(|known| {
            if let Some((computed_at, sharers)) = known.as_ref()
                && now.since(*computed_at) < SHARERS_LIFETIME
            {
                return Arc::clone(sharers);
            }
            let sharers = Arc::new(LimitSharers::new(list_sharers()));
            *known = Some((now, Arc::clone(&sharers)));
            sharers
        })
    }
}
