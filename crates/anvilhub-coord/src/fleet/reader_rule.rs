use std::collections::BTreeMap;

use crate::ids::FailureDomain;
use crate::time::ClockTime;

use super::fleet_table::sort_by_rank;
use super::{FeedRole, FleetTable, MemberInfo};

/// Decides whether an instance reads the platform or asks another one.
///
/// Answers the load of many instances that each read the same values: the largest instance of each failure domain
/// reads, and the others follow it. When it is silent or does not reach the platform, the next largest reads; after
/// that an instance follows the reader of another domain, and reads itself when there is none.
#[derive(Clone, Copy, Debug)]
pub struct ReaderRule {
    /// Instances of the own failure domain that may read. While nobody reaches the platform, each is asked in vain.
    pub near: usize,
    /// Instances of each other failure domain that may read.
    pub far: usize,
}

impl Default for ReaderRule {
    fn default() -> Self {
        Self { near: 2, far: 1 }
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
        let can_read = !table.is_own_blind(now) && !own.is_leaving;
        let is_own = |note: &MemberInfo| note.instance == own.instance;
        let sees = |note: &&MemberInfo| match is_own(note) {
            true => can_read,
            false => table.has_sight(now, &note.instance),
        };
        let mut domains = by_domain(table.usable(now).chain([own]));
        let mut near = domains.remove(&own.failure_domain).unwrap_or_default();
        near.truncate(self.near);
        match near.into_iter().find(sees) {
            Some(note) if is_own(note) => return FeedRole::Reader,
            Some(note) => return FeedRole::Follower(Box::new(note.clone())),
            None => {}
        }
        let far: Vec<&MemberInfo> = domains
            .into_values()
            .flat_map(|members| members.into_iter().take(self.far))
            .filter(sees)
            .collect();
        match far.len() {
            0 => FeedRole::Reader,
            count => FeedRole::Follower(Box::new(far[random(count).min(count - 1)].clone())),
        }
    }

    /// The readers of other failure domains: whom a reader exchanges notes with.
    pub fn far_readers<'a>(&self, table: &'a FleetTable, now: ClockTime) -> Vec<&'a MemberInfo> {
        let mut domains = by_domain(table.usable(now));
        domains.remove(&table.own().failure_domain);
        domains
            .into_values()
            .flat_map(|members| members.into_iter().take(self.far))
            .collect()
    }
}

/// Members by failure domain, each sorted by rank.
fn by_domain<'a>(
    members: impl Iterator<Item = &'a MemberInfo>,
) -> BTreeMap<&'a FailureDomain, Vec<&'a MemberInfo>> {
    let mut domains: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for note in members {
        domains.entry(&note.failure_domain).or_default().push(note);
    }
    for members in domains.values_mut() {
        sort_by_rank(members);
    }
    domains
}
