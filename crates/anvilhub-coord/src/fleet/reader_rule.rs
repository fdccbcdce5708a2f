use std::collections::BTreeMap;

use crate::ids::FailureDomain;
use crate::time::ClockTime;

use super::fleet_table::sort_by_rank;
use super::{FeedRole, FleetTable, MemberInfo};

/// Decides whether an instance reads the platform or follows another instance.
///
/// Designed for a platform from which many instances would otherwise each read the same values: only the largest
/// instance of each failure domain reads, and the others follow it. If the reader does not answer or cannot reach the
/// platform, the next largest instance reads. If that fails as well, an instance follows a reader of another failure
/// domain, or reads itself if there is none.
///
/// This rule is for instances of a gateway. Instances that accept sheets use
/// [`ReaderElection`](crate::configuration::ReaderElection), which chooses readers by hash instead of size.
#[derive(Clone, Copy, Debug)]
pub struct ReaderRule {
    /// Maximum number of members of this instance's failure domain that are considered as its reader, the largest
    /// first. While no instance reaches the platform, each of them costs a failed call.
    pub max_local_candidates: usize,
    /// Maximum number of members of each other failure domain that are considered as its reader, the largest first.
    pub max_remote_candidates: usize,
}

impl Default for ReaderRule {
    fn default() -> Self {
        Self {
            max_local_candidates: 2,
            max_remote_candidates: 1,
        }
    }
}

impl ReaderRule {
    /// Chooses the role of the instance that owns `table`. `random` returns a random number below its argument.
    pub fn choose_role(
        &self,
        table: &FleetTable,
        now: ClockTime,
        random: impl FnOnce(usize) -> usize,
    ) -> FeedRole {
        let own = table.own_info();
        let can_read = !table.is_own_platform_unreachable(now) && !own.is_leaving;
        let is_own = |member: &MemberInfo| member.instance == own.instance;
        let may_reach_platform = |member: &&MemberInfo| match is_own(member) {
            true => can_read,
            false => table.may_reach_platform(now, &member.instance),
        };
        let mut domains = group_by_domain(table.usable_members(now).chain([own]));
        let mut local = domains.remove(&own.failure_domain).unwrap_or_default();
        local.truncate(self.max_local_candidates);
        match local.into_iter().find(may_reach_platform) {
            Some(member) if is_own(member) => return FeedRole::Reader,
            Some(member) => return FeedRole::Follower(Box::new(member.clone())),
            None => {}
        }
        let remote: Vec<&MemberInfo> = domains
            .into_values()
            .flat_map(|members| members.into_iter().take(self.max_remote_candidates))
            .filter(may_reach_platform)
            .collect();
        match remote.len() {
            0 => FeedRole::Reader,
            count => FeedRole::Follower(Box::new(remote[random(count).min(count - 1)].clone())),
        }
    }

    /// Returns the readers of other failure domains, with which a reader exchanges member information.
    pub fn remote_readers<'a>(&self, table: &'a FleetTable, now: ClockTime) -> Vec<&'a MemberInfo> {
        let mut domains = group_by_domain(table.usable_members(now));
        domains.remove(&table.own_info().failure_domain);
        domains
            .into_values()
            .flat_map(|members| members.into_iter().take(self.max_remote_candidates))
            .collect()
    }
}

/// Groups members by failure domain, each group sorted by rank.
fn group_by_domain<'a>(
    members: impl Iterator<Item = &'a MemberInfo>,
) -> BTreeMap<&'a FailureDomain, Vec<&'a MemberInfo>> {
    let mut domains: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for member in members {
        domains
            .entry(&member.failure_domain)
            .or_default()
            .push(member);
    }
    for members in domains.values_mut() {
        sort_by_rank(members);
    }
    domains
}
