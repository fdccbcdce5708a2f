use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::ids::{FailureDomain, InstanceId};
use crate::time::ClockTime;

use super::{MemberGossip, MemberInfo};

/// Most members of a failure domain that are remembered. Only the largest are asked for anything, and a note travels
/// in every exchange.
const MOST_NOTES: usize = 8;
/// Age of a note from which its member is not asked any more. News of it take up to three exchanges of a second.
const USABLE_AGE: Duration = Duration::from_secs(4);
/// The same for a member of the own failure domain that work is passed on to: a follower is heard by its reader twice
/// a second, and the reader's followers hear of it as often.
const NEAR_WORK_AGE: Duration = Duration::from_millis(1_750);
/// Age from which a note is forgotten.
const MOST_AGE: Duration = Duration::from_secs(12);
/// How long a member that did not answer is not asked again.
const DOUBT_TIME: Duration = Duration::from_secs(1);
/// How long a member that does not reach the platform is not asked for news.
const BLIND_TIME: Duration = Duration::from_secs(1);

/// What one instance knows of the others. Every instance remembers the largest of each failure domain.
#[derive(Clone, Debug)]
pub struct FleetTable {
    own: MemberInfo,
    own_blind_until: Option<ClockTime>,
    members: BTreeMap<InstanceId, FleetMember>,
}

#[derive(Clone, Debug)]
struct FleetMember {
    note: MemberInfo,
    heard: ClockTime,
    doubted_until: Option<ClockTime>,
    blind_until: Option<ClockTime>,
}

impl FleetTable {
    /// The table of an instance that knows no other yet.
    pub fn new(own: MemberInfo) -> Self {
        Self {
            own,
            own_blind_until: None,
            members: BTreeMap::new(),
        }
    }

    /// The note of this instance.
    pub fn own(&self) -> &MemberInfo {
        &self.own
    }

    /// Notes that this instance ends soon.
    pub fn leave(&mut self) {
        self.own.is_leaving = true;
    }

    /// Takes in a note that another instance passed on.
    pub fn hear(&mut self, now: ClockTime, heard: MemberGossip) {
        let age = Duration::from_millis(heard.age_ms);
        if heard.note.instance == self.own.instance || age >= MOST_AGE {
            return;
        }
        let heard_at = now - age;
        let known = self.members.get_mut(&heard.note.instance);
        match known {
            Some(member) if member.heard >= heard_at => {}
            Some(member) => {
                member.note = heard.note;
                member.heard = heard_at;
            }
            None => {
                let member = FleetMember {
                    note: heard.note,
                    heard: heard_at,
                    doubted_until: None,
                    blind_until: None,
                };
                self.members.insert(member.note.instance.clone(), member);
                self.trim();
            }
        }
    }

    /// Takes in a note that came from the member itself.
    pub fn hear_member(&mut self, now: ClockTime, note: MemberInfo) {
        let instance = note.instance.clone();
        self.hear(now, MemberGossip { note, age_ms: 0 });
        if let Some(member) = self.members.get_mut(&instance) {
            member.doubted_until = None;
        }
    }

    /// Notes that a member did not answer; says whether it was trusted before.
    pub fn doubt(&mut self, now: ClockTime, instance: &InstanceId) -> bool {
        let Some(member) = self.members.get_mut(instance) else {
            return false;
        };
        let was_trusted = member.doubted_until.is_none_or(|until| now >= until);
        member.doubted_until = Some(now + DOUBT_TIME);
        was_trusted
    }

    /// Notes that a member has no fresh news of the platform.
    pub fn note_blind(&mut self, now: ClockTime, instance: &InstanceId) {
        if let Some(member) = self.members.get_mut(instance) {
            member.blind_until = Some(now + BLIND_TIME);
        }
    }

    /// Notes that this instance does not reach the platform.
    pub fn note_own_blind(&mut self, now: ClockTime) {
        self.own_blind_until = Some(now + BLIND_TIME);
    }

    /// Says whether this instance did not reach the platform lately.
    pub fn is_own_blind(&self, now: ClockTime) -> bool {
        self.own_blind_until.is_some_and(|until| now < until)
    }

    /// Says whether a member may have fresh news.
    pub(super) fn has_sight(&self, now: ClockTime, instance: &InstanceId) -> bool {
        let member = self.members.get(instance);
        member.is_some_and(|member| member.blind_until.is_none_or(|until| now >= until))
    }

    /// Members that can be asked for something, in the order of their names.
    pub fn usable(&self, now: ClockTime) -> impl Iterator<Item = &MemberInfo> {
        self.usable_members(now).map(|member| &member.note)
    }

    /// Members that work can be passed on to.
    pub fn workers(&self, now: ClockTime) -> impl Iterator<Item = &MemberInfo> {
        let is_fresh = move |member: &&FleetMember| {
            let is_near = member.note.failure_domain == self.own.failure_domain;
            !is_near || now.since(member.heard) < NEAR_WORK_AGE
        };
        let workers = self.usable_members(now).filter(is_fresh);
        workers.map(|member| &member.note)
    }

    fn usable_members(&self, now: ClockTime) -> impl Iterator<Item = &FleetMember> {
        self.members.values().filter(move |member| {
            let is_doubted = member.doubted_until.is_some_and(|until| now < until);
            now.since(member.heard) < USABLE_AGE && !is_doubted && !member.note.is_leaving
        })
    }

    /// The notes to pass on, with the own one.
    pub fn notes(&mut self, now: ClockTime) -> Vec<MemberGossip> {
        self.members
            .retain(|_, member| now.since(member.heard) < MOST_AGE);
        let own = MemberGossip {
            note: self.own.clone(),
            age_ms: 0,
        };
        let others = self.members.values().map(|member| MemberGossip {
            note: member.note.clone(),
            age_ms: u64::try_from(now.since(member.heard).as_millis()).unwrap_or(u64::MAX),
        });
        std::iter::once(own).chain(others).collect()
    }

    /// Keeps the largest members of each failure domain.
    fn trim(&mut self) {
        let mut ranked: Vec<&MemberInfo> =
            self.members.values().map(|member| &member.note).collect();
        sort_by_rank(&mut ranked);
        let mut counts: HashMap<&FailureDomain, usize> = HashMap::new();
        let mut dropped = Vec::new();
        for note in ranked {
            let count = counts.entry(&note.failure_domain).or_default();
            *count += 1;
            if *count > MOST_NOTES {
                dropped.push(note.instance.clone());
            }
        }
        for instance in dropped {
            self.members.remove(&instance);
        }
    }
}

/// Sorts members: the largest first, and equal ones by name, so that all instances agree on the order.
pub(super) fn sort_by_rank(notes: &mut [&MemberInfo]) {
    notes.sort_by(|one, other| {
        let by_size = other.cores.get().total_cmp(&one.cores.get());
        by_size.then_with(|| one.instance.cmp(&other.instance))
    });
}
