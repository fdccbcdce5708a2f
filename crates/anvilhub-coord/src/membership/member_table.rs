use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::border::platform::{InstanceEntry, InstanceList, InstanceRole, InstanceState};
use crate::configuration::PeerIdentity;
use crate::ids::{FailureDomain, InstanceId, PlatformRevision};
use crate::time::ClockTime;

use super::MemberState;
use super::member_record::{MemberEvidence, MemberRecord};

/// How long an unlisted instance is kept after its last answer. It covers the time until a new instance appears in
/// the list.
const UNLISTED_RETENTION: Duration = Duration::from_secs(30);

/// How long the platform must serve a lower revision before the list with that revision is accepted. Within this
/// time a stale read is ignored; a platform that lost its data starts again at a low revision and stays there.
const LOWER_REVISION_DELAY: Duration = Duration::from_secs(30);

/// The other entry instances, known from the published list, the settings and direct evidence.
///
/// The list lags behind, so direct evidence takes precedence: a refused connection proves that no process listens,
/// and an answer proves that one does. The table never contains the instance itself.
#[derive(Clone, Debug)]
pub struct MemberTable {
    own_id: InstanceId,
    members: BTreeMap<InstanceId, MemberRecord>,
    /// Revision of the current list and the time at which the platform last served or confirmed it.
    list: Option<(PlatformRevision, ClockTime)>,
    /// Time since which the platform has served lower revisions than that of the current list.
    lower_revision_since: Option<ClockTime>,
}

impl MemberTable {
    /// Creates the table of the instance `own_id` with the peers that its settings name.
    pub fn new(
        own_id: InstanceId,
        configured: impl IntoIterator<Item = (InstanceId, SocketAddr)>,
    ) -> Self {
        let members = configured
            .into_iter()
            .filter(|(id, _)| *id != own_id)
            .map(|(id, address)| (id, configured_record(address)))
            .collect();
        Self {
            own_id,
            members,
            list: None,
            lower_revision_since: None,
        }
    }

    /// Applies a list that the platform served at `now`. Returns the listed entry instances that were skipped because
    /// they have no usable `peer_address`.
    pub fn apply_list(&mut self, list: &InstanceList, now: ClockTime) -> Vec<InstanceId> {
        if self.should_ignore_revision(list.revision, now) {
            return Vec::new();
        }
        self.list = Some((list.revision, now));
        for record in self.members.values_mut() {
            record.listed_state = None;
        }
        let mut unusable = Vec::new();
        for instance in &list.instances {
            if instance.role != InstanceRole::Entry || instance.id == self.own_id {
                continue;
            }
            match peer_address(instance) {
                Some(address) => self.record_listed(instance, address),
                None => unusable.push(instance.id.clone()),
            }
        }
        self.remove_outdated(now);
        unusable
    }

    /// Returns the time since the platform last served or confirmed the list, or `None` before the first list.
    pub fn list_age(&self, now: ClockTime) -> Option<Duration> {
        self.list.map(|(_, read_at)| now.since(read_at))
    }

    /// Records that the platform confirmed the current list, as a watch that ends without a change does.
    pub fn confirm_list(&mut self, now: ClockTime) {
        self.list = self.list.map(|(revision, _)| (revision, now));
        self.remove_outdated(now);
    }

    /// Records that a peer answered an exchange or started one.
    pub fn record_answer(&mut self, peer: &PeerIdentity, is_draining: bool, now: ClockTime) {
        if peer.instance == self.own_id {
            return;
        }
        let record = self
            .members
            .entry(peer.instance.clone())
            .or_insert_with(|| unlisted_record(peer.peer_address));
        record.peer_address = peer.peer_address;
        record.failure_domain = Some(peer.failure_domain.clone());
        record.evidence = Some((MemberEvidence::Answered { is_draining }, now));
    }

    /// Records that a peer's address refused a connection.
    pub fn record_refusal(&mut self, peer: &InstanceId, now: ClockTime) {
        self.record_evidence(peer, MemberEvidence::Refused, now);
    }

    /// Records that a peer did not answer in time.
    pub fn record_timeout(&mut self, peer: &InstanceId, now: ClockTime) {
        self.record_evidence(peer, MemberEvidence::Silent, now);
    }

    /// Returns the state of `peer`, which is `Absent` if the table does not contain it.
    pub fn state(&self, peer: &InstanceId, now: ClockTime) -> MemberState {
        let record = self.members.get(peer);
        record.map_or(MemberState::Absent, |record| member_state(record, now))
    }

    /// Returns the peers that accept work, in the order of their identifiers.
    pub fn live_members(&self, now: ClockTime) -> impl Iterator<Item = &InstanceId> {
        let members = self.members.iter();
        members
            .filter(move |(_, record)| member_state(record, now) == MemberState::Live)
            .map(|(id, _)| id)
    }

    /// Returns every known peer in any state. Gossip goes to all of them, since only a contact shows whether a peer
    /// is reachable again.
    pub fn peers(&self) -> impl Iterator<Item = &InstanceId> {
        self.members.keys()
    }

    /// Returns the peers that a starting instance waits for: those that are listed or named by the settings. Returns
    /// `None` if no list is known and the settings name no peer.
    pub fn expected_peers(&self) -> Option<BTreeSet<InstanceId>> {
        let is_expected =
            |record: &MemberRecord| record.listed_state.is_some() || record.is_configured;
        let members = self.members.iter();
        let expected: BTreeSet<InstanceId> = members
            .filter(|(_, record)| is_expected(record))
            .map(|(id, _)| id.clone())
            .collect();
        (self.list.is_some() || !expected.is_empty()).then_some(expected)
    }

    /// Returns the peer address of `peer`.
    pub fn address(&self, peer: &InstanceId) -> Option<SocketAddr> {
        self.members.get(peer).map(|record| record.peer_address)
    }

    /// Returns the live peers with their failure domains. The domain of a peer that has not answered yet is unknown.
    pub fn live_with_domains(
        &self,
        now: ClockTime,
    ) -> impl Iterator<Item = (&InstanceId, Option<&FailureDomain>)> {
        let members = self.members.iter();
        members
            .filter(move |(_, record)| member_state(record, now) == MemberState::Live)
            .map(|(id, record)| (id, record.failure_domain.as_ref()))
    }

    fn record_evidence(&mut self, peer: &InstanceId, evidence: MemberEvidence, now: ClockTime) {
        if let Some(record) = self.members.get_mut(peer) {
            record.evidence = Some((evidence, now));
        }
    }

    /// Returns whether `revision` is lower than that of the current list and has not been served for long enough.
    fn should_ignore_revision(&mut self, revision: PlatformRevision, now: ClockTime) -> bool {
        let is_lower = self.list.is_some_and(|(current, _)| revision < current);
        if !is_lower {
            self.lower_revision_since = None;
            return false;
        }
        let since = *self.lower_revision_since.get_or_insert(now);
        now.since(since) < LOWER_REVISION_DELAY
    }

    fn record_listed(&mut self, instance: &InstanceEntry, address: SocketAddr) {
        let record = self
            .members
            .entry(instance.id.clone())
            .or_insert_with(|| unlisted_record(address));
        record.peer_address = address;
        record.listed_state = Some(instance.state);
    }

    fn remove_outdated(&mut self, now: ClockTime) {
        self.members.retain(|_, record| {
            record.listed_state.is_some() || record.is_configured || has_recent_answer(record, now)
        });
    }
}

fn member_state(record: &MemberRecord, now: ClockTime) -> MemberState {
    let evidence = record.evidence.map(|(evidence, _)| evidence);
    match (evidence, record.listed_state) {
        (Some(MemberEvidence::Refused), _) => MemberState::Absent,
        (Some(MemberEvidence::Silent), _) => MemberState::Silent,
        (Some(MemberEvidence::Answered { is_draining: true }), _)
        | (_, Some(InstanceState::Leaving)) => MemberState::Leaving,
        (_, Some(InstanceState::Live)) => MemberState::Live,
        (None, None) if record.is_configured => MemberState::Live,
        (_, None) if has_recent_answer(record, now) => MemberState::Live,
        (_, None) => MemberState::Absent,
    }
}

fn has_recent_answer(record: &MemberRecord, now: ClockTime) -> bool {
    match record.evidence {
        Some((MemberEvidence::Answered { .. }, at)) => now.since(at) < UNLISTED_RETENTION,
        _ => false,
    }
}

fn peer_address(instance: &InstanceEntry) -> Option<SocketAddr> {
    instance.peer_address.as_ref()?.parse().ok()
}

fn unlisted_record(peer_address: SocketAddr) -> MemberRecord {
    MemberRecord {
        peer_address,
        failure_domain: None,
        listed_state: None,
        is_configured: false,
        evidence: None,
    }
}

fn configured_record(peer_address: SocketAddr) -> MemberRecord {
    MemberRecord {
        is_configured: true,
        ..unlisted_record(peer_address)
    }
}
