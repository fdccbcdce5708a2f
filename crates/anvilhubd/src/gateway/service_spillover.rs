use std::time::Duration;

use anvilhub_coord::gateway::{RemoteSaving, SpilloverShare};
use anvilhub_coord::ids::ServiceName;
use anvilhub_coord::time::ClockTime;
use log::info;

use crate::routes::LockCell;

/// How many of a service's attempts may leave the failure domain of this instance because of load.
pub(super) struct ServiceSpillover {
    service: ServiceName,
    share: LockCell<SpilloverShare>,
}

impl ServiceSpillover {
    /// Creates the state of a service that does not leave.
    pub(super) fn new(service: ServiceName) -> Self {
        Self {
            service,
            share: LockCell::default(),
        }
    }

    /// Records what leaving would save for an attempt, and returns the share that applies to it.
    pub(super) fn record_choice(
        &self,
        now: ClockTime,
        typical_latency: Duration,
        saving: &RemoteSaving,
    ) -> f64 {
        let (before, change, share) = self.share.with(|share| {
            let before = share.get();
            let change = share.record_choice(now, saving);
            (before, change, share.get())
        });
        if share != before {
            self.publish(share);
        }
        let in_ms = |cost: f64| typical_latency.mul_f64(cost).as_millis() as u64;
        if let Some(change) = change {
            info!(
                service:% = self.service, change:? = change, share = share, local_ms = in_ms(saving.local_cost),
                remote_ms = in_ms(saving.remote_cost),
                answer_age_ms:? = saving.answer_age.map(|age| age.as_millis() as u64);
                "spillover changed"
            );
        }
        share
    }

    /// Ends the spillover if the service has had no attempts for a while.
    pub(super) fn expire(&self, now: ClockTime) {
        let Some(change) = self.share.with(|share| share.expire(now)) else {
            return;
        };
        self.publish(0.0);
        info!(service:% = self.service, change:? = change, share = 0.0; "spillover changed");
    }

    fn publish(&self, share: f64) {
        metrics::gauge!("anvilhub_spillover_share", "service" => self.service.to_string())
            .set(share);
    }
}
