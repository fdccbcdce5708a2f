use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::ids::{FailureDomain, InstanceId};
use crate::time::ClockTime;

use super::{MemberGossip, MemberInfo, RelayRule, SilentMembers};

/// Maximum number of members kept per failure domain. Only the largest ones are followed or used as relays, and every
/// exchange carries all that are kept.
const MAX_MEMBERS_PER_DOMAIN: usize = 8;
/// Age of its information from which a member is no longer followed or used as a relay. Information takes up to three
/// exchanges of one second each to arrive.
const MAX_USABLE_AGE: Duration = Duration::from_secs(4);
/// Age of its information from which a member of this instance's failure domain is no longer used as a relay. A
/// follower calls its reader twice a second, and the reader passes the follower's information on to its other followers
/// as often.
const MAX_LOCAL_RELAY_AGE: Duration = Duration::from_millis(1_750);
/// Age from which a member's information is dropped.
const MAX_INFO_AGE: Duration = Duration::from_secs(12);
/// Time for which an instance must have known another member before it shares the limit of a cold upstream. Until then
/// the others may not have heard of it, and would not have made room: information takes up to three exchanges of one
/// second each to arrive, and shares are computed five times a second.
const COLD_SETTLING_TIME: Duration = Duration::from_secs(4);
/// How long a member that did not answer stays suspect and is neither followed nor used as a relay.
const SUSPECT_DURATION: Duration = Duration::from_secs(1);
/// How long an instance that could not reach the platform is not considered as a reader.
const PLATFORM_COOLDOWN: Duration = Duration::from_secs(1);

/// What one instance of a gateway knows about itself and about other members, from what they announce and pass on. It
/// keeps the largest members of each failure domain.
///
/// Instances that accept sheets use a [`MemberTable`](crate::membership::MemberTable) instead, which starts from the
/// platform's instance list.
#[derive(Clone, Debug)]
pub struct FleetTable {
    own_info: MemberInfo,
    /// End of the time in which this instance is assumed not to reach the platform.
    own_platform_cooldown_until: Option<ClockTime>,
    members: BTreeMap<InstanceId, FleetMember>,
    /// Members whose information was dropped because nothing was heard of them.
    silent: SilentMembers,
    /// Since when another member has been known without interruption; `None` if none is.
    others_known_since: Option<ClockTime>,
}

#[derive(Clone, Debug)]
struct FleetMember {
    info: MemberInfo,
    /// Time at which the member itself sent this information.
    sent_at: ClockTime,
    /// End of the time in which the member is neither followed nor used as a relay.
    suspect_until: Option<ClockTime>,
    /// End of the time in which the member is assumed not to reach the platform.
    platform_cooldown_until: Option<ClockTime>,
}

impl FleetTable {
    /// Creates the table of an instance that knows no other member yet.
    pub fn new(own_info: MemberInfo) -> Self {
        Self {
            own_info,
            own_platform_cooldown_until: None,
            members: BTreeMap::new(),
            silent: SilentMembers::default(),
            others_known_since: None,
        }
    }

    /// Returns what this instance announces about itself.
    pub fn own_info(&self) -> &MemberInfo {
        &self.own_info
    }

    /// Records that this instance is about to stop.
    pub fn mark_own_leaving(&mut self) {
        self.own_info.is_leaving = true;
    }

    /// Records whether this instance reaches the upstreams.
    pub fn set_own_cut_off(&mut self, is_cut_off: bool) {
        self.own_info.is_cut_off = is_cut_off;
    }

    /// Records what another instance passed on about a member. Ignores information that is outdated, that is not newer
    /// than what is known, or that is about this instance.
    pub fn record_gossip(&mut self, now: ClockTime, gossip: MemberGossip) {
        let age = Duration::from_millis(gossip.age_ms);
        if gossip.info.instance == self.own_info.instance || age >= MAX_INFO_AGE {
            return;
        }
        let sent_at = now - age;
        self.others_known_since.get_or_insert(now);
        self.silent.record_contact(&gossip.info.instance);
        let known = self.members.get_mut(&gossip.info.instance);
        match known {
            Some(member) if member.sent_at >= sent_at => {}
            Some(member) => {
                member.info = gossip.info;
                member.sent_at = sent_at;
            }
            None => {
                let member = FleetMember {
                    info: gossip.info,
                    sent_at,
                    suspect_until: None,
                    platform_cooldown_until: None,
                };
                self.members.insert(member.info.instance.clone(), member);
                self.drop_smallest();
            }
        }
    }

    /// Records what a member itself sent. The member is no longer suspect.
    pub fn record_contact(&mut self, now: ClockTime, info: MemberInfo) {
        let instance = info.instance.clone();
        self.record_gossip(now, MemberGossip { info, age_ms: 0 });
        if let Some(member) = self.members.get_mut(&instance) {
            member.suspect_until = None;
        }
    }

    /// Records that a member did not answer. Returns whether it was not suspect before.
    pub fn mark_suspect(&mut self, now: ClockTime, instance: &InstanceId) -> bool {
        let Some(member) = self.members.get_mut(instance) else {
            return false;
        };
        let was_trusted = member.suspect_until.is_none_or(|until| now >= until);
        member.suspect_until = Some(now + SUSPECT_DURATION);
        was_trusted
    }

    /// Records that a member has no current updates of the platform's values.
    pub fn mark_platform_unreachable(&mut self, now: ClockTime, instance: &InstanceId) {
        if let Some(member) = self.members.get_mut(instance) {
            member.platform_cooldown_until = Some(now + PLATFORM_COOLDOWN);
        }
    }

    /// Records that this instance could not reach the platform.
    pub fn mark_own_platform_unreachable(&mut self, now: ClockTime) {
        self.own_platform_cooldown_until = Some(now + PLATFORM_COOLDOWN);
    }

    /// Returns whether this instance recently failed to reach the platform.
    pub fn is_own_platform_unreachable(&self, now: ClockTime) -> bool {
        self.own_platform_cooldown_until
            .is_some_and(|until| now < until)
    }

    /// Returns whether a member is known and may reach the platform.
    pub(super) fn may_reach_platform(&self, now: ClockTime, instance: &InstanceId) -> bool {
        let member = self.members.get(instance);
        member.is_some_and(|member| {
            member
                .platform_cooldown_until
                .is_none_or(|until| now >= until)
        })
    }

    /// Returns the members that can be followed or used as relays, sorted by instance id: those that were heard of
    /// recently and are neither suspect nor leaving.
    pub fn usable_members(&self, now: ClockTime) -> impl Iterator<Item = &MemberInfo> {
        self.usable_records(now).map(|member| &member.info)
    }

    /// Returns the usable members to which requests can be relayed, sorted by instance id. Members of this
    /// instance's failure domain must have been heard of more recently than others.
    pub fn relay_candidates(&self, now: ClockTime) -> impl Iterator<Item = &MemberInfo> {
        let is_fresh = move |member: &&FleetMember| {
            let is_local = member.info.failure_domain == self.own_info.failure_domain;
            !is_local || now.since(member.sent_at) < MAX_LOCAL_RELAY_AGE
        };
        let candidates = self.usable_records(now).filter(is_fresh);
        candidates.map(|member| &member.info)
    }

    /// Returns the instances that share the limits that upstreams name: the largest members of each failure domain, and
    /// of these the ones that no other is twice as large as, since smaller ones relay most of their sub-requests. A
    /// member that has fallen silent counts until its information is dropped, since it may still send.
    pub fn limit_sharers(&self, now: ClockTime) -> Vec<&InstanceId> {
        let known = self
            .members
            .values()
            .filter(|member| now.since(member.sent_at) < MAX_INFO_AGE)
            .map(|member| &member.info);
        let mut ranked: Vec<&MemberInfo> = known
            .chain([&self.own_info])
            .filter(|info| !info.is_leaving)
            .collect();
        sort_by_rank(&mut ranked);
        let max_cores = ranked.first().map_or(0.0, |info| info.cores.get());
        let mut counts: HashMap<&FailureDomain, usize> = HashMap::new();
        ranked.retain(|info| {
            let count = counts.entry(&info.failure_domain).or_default();
            *count += 1;
            *count <= MAX_MEMBERS_PER_DOMAIN
                && info.cores.get() * RelayRule::default().min_size_ratio > max_cores
        });
        ranked.into_iter().map(|info| &info.instance).collect()
    }

    /// Returns the instances that share the limits of cold upstreams: those that share other limits, and those that did so
    /// until they fell silent within the last minute. None do until this instance has known another member for
    /// `COLD_SETTLING_TIME`; `is_lone` is whether it is to find no other member.
    pub fn cold_sharers(&self, now: ClockTime, is_lone: bool) -> Vec<&InstanceId> {
        let is_settled = self
            .others_known_since
            .is_some_and(|since| now.since(since) >= COLD_SETTLING_TIME);
        if !is_settled && !is_lone {
            return Vec::new();
        }
        let mut sharers = self.limit_sharers(now);
        let silent = self.silent.members(now);
        sharers.extend(silent.map(|info| &info.instance));
        sharers
    }

    fn usable_records(&self, now: ClockTime) -> impl Iterator<Item = &FleetMember> {
        self.members.values().filter(move |member| {
            let is_suspect = member.suspect_until.is_some_and(|until| now < until);
            now.since(member.sent_at) < MAX_USABLE_AGE && !is_suspect && !member.info.is_leaving
        })
    }

    /// Drops outdated members and returns the information to send to another instance: first that about this instance,
    /// then that about the other members.
    pub fn collect_gossip(&mut self, now: ClockTime) -> Vec<MemberGossip> {
        self.drop_outdated(now);
        let own = MemberGossip {
            info: self.own_info.clone(),
            age_ms: 0,
        };
        let members = self.members.values().map(|member| MemberGossip {
            info: member.info.clone(),
            age_ms: u64::try_from(now.since(member.sent_at).as_millis()).unwrap_or(u64::MAX),
        });
        std::iter::once(own).chain(members).collect()
    }

    /// Drops outdated members. Those that may still send are remembered for a while.
    fn drop_outdated(&mut self, now: ClockTime) {
        let is_outdated =
            |_: &InstanceId, member: &mut FleetMember| now.since(member.sent_at) >= MAX_INFO_AGE;
        let outdated: Vec<FleetMember> = self
            .members
            .extract_if(.., is_outdated)
            .map(|(_, member)| member)
            .collect();
        if self.members.is_empty() {
            self.others_known_since = None;
        }
        let own_cores = self.own_info.cores.get();
        let max_cores = self
            .members
            .values()
            .map(|member| member.info.cores.get())
            .fold(own_cores, f64::max);
        let min_size_ratio = RelayRule::default().min_size_ratio;
        for member in outdated {
            if member.info.cores.get() * min_size_ratio > max_cores {
                self.silent.record_silence(member.info, member.sent_at);
            }
        }
        self.silent.forget_old(now);
    }

    /// Drops the smallest members of each failure domain that has too many.
    fn drop_smallest(&mut self) {
        let mut ranked: Vec<&MemberInfo> =
            self.members.values().map(|member| &member.info).collect();
        sort_by_rank(&mut ranked);
        let mut counts: HashMap<&FailureDomain, usize> = HashMap::new();
        let mut dropped = Vec::new();
        for info in ranked {
            let count = counts.entry(&info.failure_domain).or_default();
            *count += 1;
            if *count > MAX_MEMBERS_PER_DOMAIN {
                dropped.push(info.instance.clone());
            }
        }
        for instance in dropped {
            self.members.remove(&instance);
        }
    }
}

/// Sorts members by size, the largest first, and equal ones by instance id, so that all instances agree on the order.
pub(super) fn sort_by_rank(members: &mut [&MemberInfo]) {
    members.sort_by(|first, second| {
        let by_size = second.cores.get().total_cmp(&first.cores.get());
        by_size.then_with(|| first.instance.cmp(&second.instance))
    });
}
