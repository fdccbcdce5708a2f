use std::collections::{BTreeMap, HashSet};

use crate::ids::PlatformRevision;

use super::{FeedRecord, FeedUpdate};

/// Maximum number of removals kept. If there are more, all are dropped, and followers that lag behind get a full
/// update.
const MAX_REMOVALS: usize = 4_096;

/// The last change of each value of the platform, from which a reader sends updates to its followers.
#[derive(Clone, Debug, Default)]
pub struct FeedLog {
    records: BTreeMap<String, FeedRecord>,
    revision: Option<PlatformRevision>,
    /// Revision after which the log contains every removal. Earlier removals were dropped or never seen.
    removals_since: PlatformRevision,
}

impl FeedLog {
    /// Returns the revision up to which the log is complete; `None` before the first update.
    pub fn revision(&self) -> Option<PlatformRevision> {
        self.revision
    }

    /// Applies an update and returns the changes that were not known before; `None` if the update is older than the
    /// log.
    pub fn apply(&mut self, update: FeedUpdate) -> Option<FeedUpdate> {
        if self
            .revision
            .is_some_and(|revision| update.revision < revision)
        {
            return None;
        }
        let mut changed = BTreeMap::new();
        if update.is_full {
            let removals = self.implied_removals(&update);
            changed.extend(removals.map(|record| (record.key.clone(), record)));
            if self.revision.is_none() {
                self.removals_since = update.revision;
            }
        }
        for record in update.records {
            let is_known = self
                .records
                .get(&record.key)
                .is_some_and(|known| known.revision >= record.revision);
            if !is_known {
                changed.insert(record.key.clone(), record);
            }
        }
        self.records.extend(changed.clone());
        self.revision = Some(update.revision);
        self.limit_removals();
        Some(FeedUpdate {
            revision: update.revision,
            era: update.era,
            is_full: false,
            records: changed.into_values().collect(),
        })
    }

    /// Returns the changes after a revision, or all values if the log does not go back that far. Returns `None` if
    /// there are no changes or no update has been applied yet.
    pub fn changes_since(&self, after: Option<PlatformRevision>) -> Option<FeedUpdate> {
        let revision = self.revision?;
        let is_full = after.is_none_or(|after| after < self.removals_since);
        let is_included = |record: &&FeedRecord| match is_full {
            true => record.value.is_some(),
            false => after.is_some_and(|after| record.revision > after),
        };
        let records: Vec<_> = self.records.values().filter(is_included).cloned().collect();
        let has_changes =
            is_full || !records.is_empty() && after.is_some_and(|after| after < revision);
        has_changes.then_some(FeedUpdate {
            revision,
            era: None,
            is_full,
            records,
        })
    }

    /// Drops all removals when there are too many.
    fn limit_removals(&mut self) {
        let is_present = |record: &FeedRecord| record.value.is_some();
        let removals = self.records.values().filter(|record| !is_present(record));
        if removals.count() > MAX_REMOVALS {
            self.records.retain(|_, record| is_present(record));
            self.removals_since = self.revision.unwrap_or_default();
        }
    }

    /// Returns a removal for each known value that the full update does not name.
    fn implied_removals(&self, update: &FeedUpdate) -> impl Iterator<Item = FeedRecord> {
        let named: HashSet<&str> = update
            .records
            .iter()
            .map(|record| record.key.as_str())
            .collect();
        let present = self
            .records
            .values()
            .filter(|record| record.value.is_some());
        present
            .filter(move |record| !named.contains(record.key.as_str()))
            .map(move |record| FeedRecord {
                key: record.key.clone(),
                value: None,
                revision: update.revision,
            })
    }
}
