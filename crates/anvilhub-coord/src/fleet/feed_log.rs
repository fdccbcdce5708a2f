use std::collections::{BTreeMap, HashSet};

use crate::ids::{PlatformPlace, PlatformRevision};

use super::{FeedOutcome, FeedRecord, FeedUpdate};

/// Maximum number of removals kept. If there are more, all are dropped, and followers that lag behind get a full
/// update.
const MAX_REMOVALS: usize = 4_096;

/// The last change of each value of the platform, from which a reader sends updates to its followers.
///
/// Designed for a platform that may be restored from a copy: it then gives out revisions again, for other changes, and
/// starts a new era. Only the values of the newest era are kept, and an era begins with all of its values.
#[derive(Clone, Debug, Default)]
pub struct FeedLog {
    records: BTreeMap<String, FeedRecord>,
    place: Option<PlatformPlace>,
    /// Revision after which the log contains every removal. Earlier removals were dropped or never seen.
    removals_since: PlatformRevision,
}

impl FeedLog {
    /// Returns the place up to which the log is complete; `None` before the first update.
    pub fn place(&self) -> Option<PlatformPlace> {
        self.place
    }

    /// Applies an update. An update that names no era is taken to be of the known one.
    pub fn apply(&mut self, update: FeedUpdate) -> FeedOutcome {
        let known = self.place;
        let place = PlatformPlace {
            era: update.era.unwrap_or_else(|| known.unwrap_or_default().era),
            revision: update.revision,
        };
        if known.is_some_and(|known| place < known) {
            return FeedOutcome::Outdated;
        }
        let is_restored = known.is_some_and(|known| known.era < place.era);
        if is_restored && !update.is_full {
            return FeedOutcome::NeedsFullRead;
        }
        let changed = self.find_changes(&update, is_restored);
        if is_restored {
            self.records = update
                .records
                .into_iter()
                .map(|record| (record.key.clone(), record))
                .collect();
        } else {
            self.records.extend(changed.clone());
        }
        if is_restored || known.is_none() {
            self.removals_since = place.revision;
        }
        self.place = Some(place);
        self.limit_removals();
        FeedOutcome::Applied {
            changes: FeedUpdate {
                revision: place.revision,
                era: Some(place.era),
                is_full: false,
                records: changed.into_values().collect(),
            },
            is_restored,
        }
    }

    /// Returns the records of an update that differ from the known ones, and a removal for each known value that a full
    /// update does not name.
    fn find_changes(&self, update: &FeedUpdate, is_restored: bool) -> BTreeMap<String, FeedRecord> {
        let is_known = |record: &&FeedRecord| {
            let known = self.records.get(&record.key);
            known.is_some_and(|known| match is_restored {
                true => known == *record,
                false => known.revision >= record.revision,
            })
        };
        let named = update.records.iter().filter(|record| !is_known(record));
        let mut changed = BTreeMap::new();
        if update.is_full {
            let removals = self.implied_removals(update);
            changed.extend(removals.map(|record| (record.key.clone(), record)));
        }
        changed.extend(named.map(|record| (record.key.clone(), record.clone())));
        changed
    }

    /// Returns the changes after a place, or all values if the log does not go back that far. Returns `None` if there
    /// are no changes, the place is of a newer era, or no update has been applied yet.
    pub fn changes_since(&self, after: Option<PlatformPlace>) -> Option<FeedUpdate> {
        let place = self.place?;
        if after.is_some_and(|after| after.era > place.era) {
            return None;
        }
        let after = after
            .filter(|after| after.era == place.era)
            .map(|after| after.revision);
        let is_full = after.is_none_or(|after| after < self.removals_since);
        let is_included = |record: &&FeedRecord| match is_full {
            true => record.value.is_some(),
            false => after.is_some_and(|after| record.revision > after),
        };
        let records: Vec<_> = self.records.values().filter(is_included).cloned().collect();
        let has_changes =
            is_full || !records.is_empty() && after.is_some_and(|after| after < place.revision);
        has_changes.then_some(FeedUpdate {
            revision: place.revision,
            era: Some(place.era),
            is_full,
            records,
        })
    }

    /// Returns the number of values.
    pub fn value_count(&self) -> usize {
        let records = self.records.values();
        records.filter(|record| record.value.is_some()).count()
    }

    /// Returns the changes for a follower that has all of them up to `after` and `value_count` values, if it states that
    /// number. A follower for which there are no changes and that has another number of values gets all of them: it may
    /// have learned elsewhere of a value that came and went between two full reads of this log.
    pub fn changes_for(
        &self,
        after: Option<PlatformPlace>,
        value_count: Option<usize>,
    ) -> Option<FeedUpdate> {
        if let Some(changes) = self.changes_since(after) {
            return Some(changes);
        }
        let is_known = after.is_some_and(|after| Some(after) <= self.place);
        let has_other_values = value_count.is_some_and(|count| count != self.value_count());
        match is_known && has_other_values {
            true => self.changes_since(None),
            false => None,
        }
    }

    /// Drops all removals when there are too many.
    fn limit_removals(&mut self) {
        let is_present = |record: &FeedRecord| record.value.is_some();
        let removals = self.records.values().filter(|record| !is_present(record));
        if removals.count() > MAX_REMOVALS {
            self.records.retain(|_, record| is_present(record));
            self.removals_since = self.place.unwrap_or_default().revision;
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
