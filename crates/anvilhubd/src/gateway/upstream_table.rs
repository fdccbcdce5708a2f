use std::collections::HashMap;

use anvilhub_coord::gateway::{RemovalRule, UpstreamRecord};
use anvilhub_coord::ids::UpstreamId;
use anvilhub_coord::time::ClockTime;

/// The upstreams in use. After an outage of the platform the table may hold more upstreams than the platform's list:
/// one whose record expired during the outage stays until its removal time.
#[derive(Default)]
pub(super) struct UpstreamTable {
    rule: RemovalRule,
    upstreams: HashMap<UpstreamId, ListedUpstream>,
}

/// An upstream that the platform lists or listed.
struct ListedUpstream {
    record: UpstreamRecord,
    /// When the upstream is dropped from the table; `None` while the platform lists it.
    removal_time: Option<ClockTime>,
}

impl UpstreamTable {
    /// Records that the platform's list could not be read at `now`.
    pub(super) fn record_outage(&mut self, now: ClockTime) {
        self.rule.record_outage(now);
    }

    /// Applies `records`, the complete list of the platform. A record of an earlier incarnation than the known one is
    /// ignored.
    pub(super) fn apply_list(&mut self, now: ClockTime, records: Vec<UpstreamRecord>) {
        let removal_time = self.rule.removal_time(now);
        for upstream in self.upstreams.values_mut() {
            upstream.removal_time = Some(upstream.removal_time.unwrap_or(removal_time));
        }
        for record in records {
            let is_older = self
                .upstreams
                .get(&record.id)
                .is_some_and(|known| record.incarnation < known.record.incarnation);
            if is_older {
                continue;
            }
            let listed = ListedUpstream {
                record,
                removal_time: None,
            };
            self.upstreams.insert(listed.record.id.clone(), listed);
        }
    }

    /// Drops the upstreams whose removal time has come; returns whether there were any.
    pub(super) fn drop_removed(&mut self, now: ClockTime) -> bool {
        let before = self.upstreams.len();
        self.upstreams
            .retain(|_, upstream| upstream.removal_time.is_none_or(|time| now < time));
        self.upstreams.len() != before
    }

    /// Returns each upstream with whether it is leaving or no longer listed.
    pub(super) fn records(&self) -> impl Iterator<Item = (&UpstreamRecord, bool)> {
        self.upstreams.values().map(|upstream| {
            let is_leaving = upstream.record.is_draining || upstream.removal_time.is_some();
            (&upstream.record, is_leaving)
        })
    }
}
