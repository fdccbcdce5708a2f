use std::collections::{BTreeMap, HashSet};

use crate::ids::PlatformRevision;

use super::{FeedRecord, FeedUpdate};

/// Most removals that are remembered. Beyond, followers that lag are sent all values.
const MOST_REMOVALS: usize = 4_096;

/// The last change of each value of the platform, so that an instance can tell others what they missed.
#[derive(Clone, Debug, Default)]
pub struct FeedLog {
    records: BTreeMap<String, FeedRecord>,
    as_of: Option<PlatformRevision>,
    /// Removals up to this revision are not known.
    floor: PlatformRevision,
}

impl FeedLog {
    /// The revision up to which the log is complete.
    pub fn as_of(&self) -> Option<PlatformRevision> {
        self.as_of
    }

    /// Takes in news and returns what they change; `None` when they are older than what is known.
    pub fn take(&mut self, news: FeedUpdate) -> Option<FeedUpdate> {
        if self.as_of.is_some_and(|as_of| news.as_of < as_of) {
            return None;
        }
        let mut changed = BTreeMap::new();
        if news.is_whole {
            let removed = self.removed(&news);
            changed.extend(removed.map(|record| (record.key.clone(), record)));
            if self.as_of.is_none() {
                self.floor = news.as_of;
            }
        }
        for record in news.records {
            let is_known = self
                .records
                .get(&record.key)
                .is_some_and(|known| known.revision >= record.revision);
            if !is_known {
                changed.insert(record.key.clone(), record);
            }
        }
        self.records.extend(changed.clone());
        self.as_of = Some(news.as_of);
        self.forget_removals();
        Some(FeedUpdate {
            as_of: news.as_of,
            is_whole: false,
            records: changed.into_values().collect(),
        })
    }

    /// What has changed after a revision; all values when the log does not go back so far. `None` when there is
    /// nothing new.
    pub fn since(&self, after: Option<PlatformRevision>) -> Option<FeedUpdate> {
        let as_of = self.as_of?;
        let is_whole = after.is_none_or(|after| after < self.floor);
        let is_wanted = |record: &&FeedRecord| match is_whole {
            true => record.value.is_some(),
            false => after.is_some_and(|after| record.revision > after),
        };
        let records: Vec<_> = self.records.values().filter(is_wanted).cloned().collect();
        let is_news = is_whole || !records.is_empty() && after.is_some_and(|after| after < as_of);
        is_news.then_some(FeedUpdate {
            as_of,
            is_whole,
            records,
        })
    }

    fn forget_removals(&mut self) {
        let present = |record: &FeedRecord| record.value.is_some();
        let removals = self.records.values().filter(|record| !present(record));
        if removals.count() > MOST_REMOVALS {
            self.records.retain(|_, record| present(record));
            self.floor = self.as_of.unwrap_or_default();
        }
    }

    /// Removals of the values that `whole` does not name.
    fn removed(&self, whole: &FeedUpdate) -> impl Iterator<Item = FeedRecord> {
        let named: HashSet<&str> = whole
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
                revision: whole.as_of,
            })
    }
}
