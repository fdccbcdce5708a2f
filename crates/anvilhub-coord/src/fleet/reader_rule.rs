use std::collections::BTreeMap;

use crate::ids::FailureDomain;
use crate::time::ClockTime;

use super::fleet_table::sort_by_rank;
use super::{FeedRole, FleetTable, MemberNote};

/// Decides whether an instance reads the platform or asks another one.
///
/// Answers the load of many instances that each read the same values: the largest instances of each failure domain
/// read, and the others follow one of them. An instance whose readers are silent or do not reach the platform
/// follows one of another domain, and reads itself when there is none.
#[derive(Clone, Copy, Debug)]
pub struct ReaderRule {
    /// Readers of a failure domain.
    pub readers: usize,
}

impl Default for ReaderRule {
    fn default() -> Self {
        Self { readers: 1 }
    }
}

impl ReaderRule {
    /// The role of the instance that `table` belongs to. `random` gives a number below its argument.
    pub fn role(
        &self,
        table: &FleetTable,
        now: ClockTime,
        random: impl FnOnce(usize) -> usize,
    ) -> FeedRole {
        let own = table.own();
        let is_blind = table.is_own_blind(now);
        let mut domains: BTreeMap<&FailureDomain, Vec<&MemberNote>> = BTreeMap::new();
        for note in table.usable(now).chain([own]) {
            domains.entry(&note.failure_domain).or_default().push(note);
        }
        let mut near = Vec::new();
        let mut far = Vec::new();
        for (domain, mut members) in domains {
            sort_by_rank(&mut members);
            let readers = members.into_iter().take(self.readers);
            match *domain == own.failure_domain {
                true => near.extend(readers),
                false => far.extend(readers),
            }
        }
        let is_reader = near.iter().any(|note| note.instance == own.instance);
        if is_reader && !is_blind && !own.is_leaving {
            return FeedRole::Reader;
        }
        let sees = |note: &&&MemberNote| {
            note.instance != own.instance && table.has_sight(now, &note.instance)
        };
        for readers in [near, far] {
            let sources: Vec<&&MemberNote> = readers.iter().filter(sees).collect();
            if !sources.is_empty() {
                let index = random(sources.len()).min(sources.len() - 1);
                return FeedRole::Follower(Box::new((*sources[index]).clone()));
            }
        }
        FeedRole::Reader
    }

    /// The readers of other failure domains: whom a reader exchanges notes with.
    pub fn far_readers<'a>(&self, table: &'a FleetTable, now: ClockTime) -> Vec<&'a MemberNote> {
        let mut domains: BTreeMap<&FailureDomain, Vec<&MemberNote>> = BTreeMap::new();
        for note in table.usable(now) {
            if note.failure_domain != table.own().failure_domain {
                domains.entry(&note.failure_domain).or_default().push(note);
            }
        }
        let readers = domains.into_values().flat_map(|mut members| {
            sort_by_rank(&mut members);
            members.into_iter().take(self.readers)
        });
        readers.collect()
    }
}
