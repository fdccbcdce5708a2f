use std::collections::HashMap;

use anvilhub_coord::gateway::{RemovalRule, UpstreamRecord};
use anvilhub_coord::ids::UpstreamId;
use anvilhub_coord::time::ClockTime;

/// Turns the upstreams that the platform lists into those that are used: an entry that lapsed while the list was
/// away stays until it is surely gone.
#[derive(Default)]
pub(super) struct UpstreamFeed {
    rule: RemovalRule,
    known: HashMap<UpstreamId, KnownUpstream>,
}

struct KnownUpstream {
    entry: UpstreamRecord,
    gone_at: Option<ClockTime>,
}

impl UpstreamFeed {
    /// Notes that the list could not be read at `now`.
    pub(super) fn list_away(&mut self, now: ClockTime) {
        self.rule.record_outage(now);
    }

    /// Takes in the whole list.
    pub(super) fn listed(&mut self, now: ClockTime, entries: Vec<UpstreamRecord>) {
        let gone_at = self.rule.removal_time(now);
        for upstream in self.known.values_mut() {
            upstream.gone_at = Some(upstream.gone_at.unwrap_or(gone_at));
        }
        for entry in entries {
            let is_older = self
                .known
                .get(&entry.id)
                .is_some_and(|known| entry.incarnation < known.entry.incarnation);
            if is_older {
                continue;
            }
            let known = KnownUpstream {
                entry,
                gone_at: None,
            };
            self.known.insert(known.entry.id.clone(), known);
        }
    }

    /// Forgets upstreams that are gone; says whether there were any.
    pub(super) fn review(&mut self, now: ClockTime) -> bool {
        let before = self.known.len();
        self.known
            .retain(|_, upstream| upstream.gone_at.is_none_or(|gone_at| now < gone_at));
        self.known.len() != before
    }

    /// The upstreams to use, each with whether it leaves or may be gone.
    pub(super) fn entries(&self) -> impl Iterator<Item = (&UpstreamRecord, bool)> {
        self.known.values().map(|upstream| {
            let leaving = upstream.entry.is_draining || upstream.gone_at.is_some();
            (&upstream.entry, leaving)
        })
    }
}
