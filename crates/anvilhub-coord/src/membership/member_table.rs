use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::border::platform::{InstanceEntry, InstanceList, InstanceRole, InstanceState};
use crate::configuration::PeerIdentity;
use crate::ids::{FailureDomain, InstanceId, PlatformRevision};
use crate::time::ClockTime;

use super::MemberState;
use super::member_record::{MemberEvidence, MemberRecord};

/// How long an instance that is not listed counts after its last answer. Covers the lag of the list behind
/// a new instance.
const UNLISTED_RETENTION: Duration = Duration::from_secs(30);

/// How long the platform must serve a lower revision before it is followed. A stale reader is ignored that
/// long; a platform that lost its data counts from a low revision for good.
const BACKWARD_PATIENCE: Duration = Duration::from_secs(30);

/// Other entry instances: the published list, the settings and direct evidence.
///
/// The list lags, so evidence decides: a refused connection proves that no process listens, an answer that
/// one does. The table never contains the instance itself.
#[derive(Clone, Debug)]
pub struct MemberTable {
    own: InstanceId,
    members: BTreeMap<InstanceId, MemberRecord>,
    list: Option<(PlatformRevision, ClockTime)>,
    backward_since: Option<ClockTime>,
}

impl MemberTable {
    /// A table of the instance `own` that knows the peers that its settings name.
    pub fn new(
        own: InstanceId,
        configured: impl IntoIterator<Item = (InstanceId, SocketAddr)>,
    ) -> Self {
        let members = configured
            .into_iter()
            .filter(|(id, _)| *id != own)
            .map(|(id, address)| (id, configured_entry(address)))
            .collect();
        Self {
            own,
            members,
            list: None,
            backward_since: None,
        }
    }

    /// Takes a list that the platform served at `now`. Returns the listed entry instances that have no
    /// usable `peer_address` and are left out.
    pub fn apply_list(&mut self, list: &InstanceList, now: ClockTime) -> Vec<InstanceId> {
        if self.is_backward(list.revision, now) {
            return Vec::new();
        }
        self.list = Some((list.revision, now));
        for entry in self.members.values_mut() {
            entry.listed = None;
        }
        let mut unusable = Vec::new();
        for instance in &list.instances {
            if instance.role != InstanceRole::Entry || instance.id == self.own {
                continue;
            }
            match peer_address(instance) {
                Some(address) => self.list_member(instance, address),
                None => unusable.push(instance.id.clone()),
            }
        }
        self.prune(now);
        unusable
    }

    /// Time since the platform last served the list; none before the first one.
    pub fn list_age(&self, now: ClockTime) -> Option<Duration> {
        self.list.map(|(_, read_at)| now.since(read_at))
    }

    /// Notes that the platform confirmed the present list, as a watch without news does.
    pub fn confirm_list(&mut self, now: ClockTime) {
        self.list = self.list.map(|(revision, _)| (revision, now));
        self.prune(now);
    }

    /// Notes that a peer answered an exchange or began one.
    pub fn record_answer(&mut self, peer: &PeerIdentity, is_draining: bool, now: ClockTime) {
        if peer.instance == self.own {
            return;
        }
        let entry = self
            .members
            .entry(peer.instance.clone())
            .or_insert_with(|| unlisted_entry(peer.peer_address));
        entry.peer_address = peer.peer_address;
        entry.failure_domain = Some(peer.failure_domain.clone());
        entry.evidence = Some((MemberEvidence::Answered { is_draining }, now));
    }

    /// Notes that a peer's address refused a connection.
    pub fn record_refusal(&mut self, peer: &InstanceId, now: ClockTime) {
        self.observe(peer, MemberEvidence::Refused, now);
    }

    /// Notes that a peer did not answer in time.
    pub fn record_timeout(&mut self, peer: &InstanceId, now: ClockTime) {
        self.observe(peer, MemberEvidence::Silent, now);
    }

    /// What is known of `peer`; `Absent` for one that nobody names.
    pub fn state(&self, peer: &InstanceId, now: ClockTime) -> MemberState {
        let entry = self.members.get(peer);
        entry.map_or(MemberState::Absent, |entry| state_of(entry, now))
    }

    /// Peers that take work, in the order of their identifiers.
    pub fn live_members(&self, now: ClockTime) -> impl Iterator<Item = &InstanceId> {
        let members = self.members.iter();
        members
            .filter(move |(_, entry)| state_of(entry, now) == MemberState::Live)
            .map(|(id, _)| id)
    }

    /// Every known peer whatever its state: whom to gossip with, since only contact shows who came back.
    pub fn peers(&self) -> impl Iterator<Item = &InstanceId> {
        self.members.keys()
    }

    /// Peers that a starting instance waits for: listed, or named by the settings. None when neither a list
    /// nor a named peer is known.
    pub fn expected_peers(&self) -> Option<BTreeSet<InstanceId>> {
        let is_expected = |entry: &MemberRecord| entry.listed.is_some() || entry.is_configured;
        let members = self.members.iter();
        let expected: BTreeSet<InstanceId> = members
            .filter(|(_, entry)| is_expected(entry))
            .map(|(id, _)| id.clone())
            .collect();
        (self.list.is_some() || !expected.is_empty()).then_some(expected)
    }

    /// Where to reach `peer`.
    pub fn address(&self, peer: &InstanceId) -> Option<SocketAddr> {
        self.members.get(peer).map(|entry| entry.peer_address)
    }

    /// Live peers with their failure domains as far as they are known.
    pub fn live_with_domains(
        &self,
        now: ClockTime,
    ) -> impl Iterator<Item = (&InstanceId, Option<&FailureDomain>)> {
        let members = self.members.iter();
        members
            .filter(move |(_, entry)| state_of(entry, now) == MemberState::Live)
            .map(|(id, entry)| (id, entry.failure_domain.as_ref()))
    }

    fn observe(&mut self, peer: &InstanceId, evidence: MemberEvidence, now: ClockTime) {
        if let Some(entry) = self.members.get_mut(peer) {
            entry.evidence = Some((evidence, now));
        }
    }

    fn is_backward(&mut self, revision: PlatformRevision, now: ClockTime) -> bool {
        let is_lower = self.list.is_some_and(|(present, _)| revision < present);
        if !is_lower {
            self.backward_since = None;
            return false;
        }
        let since = *self.backward_since.get_or_insert(now);
        now.since(since) < BACKWARD_PATIENCE
    }

    fn list_member(&mut self, instance: &InstanceEntry, address: SocketAddr) {
        let entry = self
            .members
            .entry(instance.id.clone())
            .or_insert_with(|| unlisted_entry(address));
        entry.peer_address = address;
        entry.listed = Some(instance.state);
    }

    fn prune(&mut self, now: ClockTime) {
        self.members.retain(|_, entry| {
            entry.listed.is_some() || entry.is_configured || is_recent_answer(entry, now)
        });
    }
}

fn state_of(entry: &MemberRecord, now: ClockTime) -> MemberState {
    let evidence = entry.evidence.map(|(evidence, _)| evidence);
    match (evidence, entry.listed) {
        (Some(MemberEvidence::Refused), _) => MemberState::Absent,
        (Some(MemberEvidence::Silent), _) => MemberState::Silent,
        (Some(MemberEvidence::Answered { is_draining: true }), _)
        | (_, Some(InstanceState::Leaving)) => MemberState::Leaving,
        (_, Some(InstanceState::Live)) => MemberState::Live,
        (None, None) if entry.is_configured => MemberState::Live,
        (_, None) if is_recent_answer(entry, now) => MemberState::Live,
        (_, None) => MemberState::Absent,
    }
}

fn is_recent_answer(entry: &MemberRecord, now: ClockTime) -> bool {
    match entry.evidence {
        Some((MemberEvidence::Answered { .. }, at)) => now.since(at) < UNLISTED_RETENTION,
        _ => false,
    }
}

fn peer_address(instance: &InstanceEntry) -> Option<SocketAddr> {
    instance.peer_address.as_ref()?.parse().ok()
}

fn unlisted_entry(peer_address: SocketAddr) -> MemberRecord {
    MemberRecord {
        peer_address,
        failure_domain: None,
        listed: None,
        is_configured: false,
        evidence: None,
    }
}

fn configured_entry(peer_address: SocketAddr) -> MemberRecord {
    MemberRecord {
        is_configured: true,
        ..unlisted_entry(peer_address)
    }
}
