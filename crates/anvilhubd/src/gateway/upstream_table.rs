use std::collections::HashMap;

use anvilhub_coord::gateway::{DepartedUpstreams, RemovalRule, ServiceLimits, UpstreamRecord};
use anvilhub_coord::ids::{ServiceName, UpstreamId};
use anvilhub_coord::limit::WarmupReport;
use anvilhub_coord::time::ClockTime;

/// The upstreams in use. After an outage of the platform the table may hold more upstreams than the platform's list:
/// one whose record expired during the outage stays until its removal time.
#[derive(Default)]
pub(super) struct UpstreamTable {
    rule: RemovalRule,
    /// The upstreams that have left.
    departed: DepartedUpstreams,
    /// Records of upstreams that left before the platform was restored, in the order of the platform's list.
    doubtful: Vec<UpstreamRecord>,
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

    /// Records that the platform was found restored from a copy at `now`.
    pub(super) fn record_restore(&mut self, now: ClockTime) {
        self.rule.record_outage(now);
        self.departed.record_restore(now);
    }

    /// Applies `records`, the complete list of the platform. A record of an earlier incarnation than the known one is
    /// ignored, and so is one of an upstream that left before the platform was restored.
    pub(super) fn apply_list(&mut self, now: ClockTime, records: Vec<UpstreamRecord>) {
        let removal_time = self.rule.removal_time(now);
        self.doubtful.clear();
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
            if self.departed.is_doubtful(now, &record.process()) {
                self.doubtful.push(record);
                continue;
            }
            let known = self.upstreams.get(&record.id).map(|known| &known.record);
            let record = match known {
                // A process that has begun to leave goes on leaving, whatever an older record says.
                Some(known) if known.is_same_process(&record) => UpstreamRecord {
                    is_draining: known.is_draining || record.is_draining,
                    ..record
                },
                Some(_) | None => record,
            };
            self.list(record);
        }
    }

    /// Drops the upstreams whose removal time has come, and takes those back whose records are no longer in doubt;
    /// returns whether there were any.
    pub(super) fn drop_removed(&mut self, now: ClockTime) -> bool {
        let is_removed =
            |upstream: &mut ListedUpstream| upstream.removal_time.is_some_and(|time| now >= time);
        let removed: Vec<_> = self
            .upstreams
            .extract_if(|_, upstream| is_removed(upstream))
            .collect();
        for (_, upstream) in &removed {
            self.departed
                .record_departure(now, upstream.record.process());
        }
        let trusted: Vec<_> = self
            .doubtful
            .extract_if(.., |record| {
                !self.departed.is_doubtful(now, &record.process())
            })
            .collect();
        let has_changed = !removed.is_empty() || !trusted.is_empty();
        for record in trusted {
            self.list(record);
        }
        has_changed
    }

    /// Takes a record of the platform's list into use.
    fn list(&mut self, record: UpstreamRecord) {
        self.departed.record_return(&record.id);
        let listed = ListedUpstream {
            record,
            removal_time: None,
        };
        self.upstreams.insert(listed.record.id.clone(), listed);
    }

    /// Returns each upstream with whether it is missing from the platform's list.
    pub(super) fn records(&self) -> impl Iterator<Item = (&UpstreamRecord, bool)> {
        let upstreams = self.upstreams.values();
        upstreams.map(|upstream| (&upstream.record, upstream.removal_time.is_some()))
    }

    /// Returns what the records and the limits of their services say about warm-ups.
    pub(super) fn warmup_reports(
        &self,
        services: Option<&HashMap<ServiceName, ServiceLimits>>,
    ) -> Vec<WarmupReport> {
        let reports = self.records().map(|(record, _)| {
            let limits = services.and_then(|services| services.get(&record.service));
            WarmupReport {
                process: record.process(),
                number: record.report_number,
                left: record.warmup_left,
                max_left: limits.and_then(|limits| limits.warmup),
                cold_rate: limits.and_then(|limits| limits.cold_rate),
            }
        });
        reports.collect()
    }
}
