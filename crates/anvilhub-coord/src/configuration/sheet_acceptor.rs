use std::collections::BTreeSet;
use std::sync::Arc;

use crate::ids::{InstanceId, PlatformRevision, SheetDigest, UpstreamId};
use crate::membership::StartSample;
use crate::mutation;
use crate::sheet::{AcceptedSheet, SheetStamp};
use crate::time::ClockTime;

use super::candidate_sheet::CandidateSheet;
use super::peer_report::PeerContact;
use super::peer_table::PeerTable;
use super::pending_fetch::PendingFetch;
use super::sheet_offer::Refusal;
use super::{
    AcceptorSettings, ExchangeMessage, PeerIdentity, PeerStage, SheetAction, SheetAlarm, SheetInput,
};

/// Peers that are asked at once to confirm the sheet after a pause. One answer is enough; several cover
/// peers that are paused or cut off too, without a query to the whole fleet.
const CONFIRMATION_QUERIES: usize = 8;

/// Decides which sheet is in force in one instance.
///
/// The stamp of the sheet in force only rises. Stamps have one order in all instances, so instances that
/// can reach each other end up with the same sheet.
#[derive(Clone, Debug)]
pub struct SheetAcceptor {
    pub(super) identity: PeerIdentity,
    pub(super) settings: AcceptorSettings,
    pub(super) in_force: Option<Arc<AcceptedSheet>>,
    pub(super) candidate: Option<CandidateSheet>,
    /// A sheet above the candidate, which becomes the candidate afterwards. A burst of publications would
    /// otherwise restart the settling time again and again.
    pub(super) next_candidate: Option<CandidateSheet>,
    pub(super) refusal: Option<Refusal>,
    pub(super) peers: PeerTable,
    pub(super) fetch: Option<PendingFetch>,
    /// No fetch begins earlier.
    pub(super) fetch_from: ClockTime,
    /// Whether the instance has learned from its peers since it started.
    learned: bool,
    queried_at: Option<ClockTime>,
    /// Start of the instance or end of its last pause; answers to exchanges sent earlier prove nothing.
    pub(super) valid_from: ClockTime,
    confirmed: bool,
    /// Whether the platform served the sheet in force since `valid_from`.
    pub(super) served: bool,
    /// Highest sheet that a peer was seen to have in force.
    highest_seen: Option<SheetStamp>,
    pub(super) platform_down: bool,
    /// The last value of the platform; what is wrong with it is logged once.
    pub(super) last_read: Option<(PlatformRevision, SheetDigest)>,
    pub(super) platform_stale: Option<SheetAlarm>,
    pub(super) conflict: Option<SheetStamp>,
    alarms: BTreeSet<SheetAlarm>,
}

impl SheetAcceptor {
    /// An acceptor of an instance that starts at `now` and has no sheet.
    pub fn new(identity: PeerIdentity, settings: AcceptorSettings, now: ClockTime) -> Self {
        Self {
            identity,
            settings,
            in_force: None,
            candidate: None,
            next_candidate: None,
            refusal: None,
            peers: PeerTable::default(),
            fetch: None,
            fetch_from: now,
            learned: false,
            queried_at: None,
            valid_from: now,
            confirmed: false,
            served: false,
            highest_seen: None,
            platform_down: false,
            last_read: None,
            platform_stale: None,
            conflict: None,
            alarms: BTreeSet::new(),
        }
    }

    /// The sheet in force.
    pub fn in_force(&self) -> Option<&Arc<AcceptedSheet>> {
        self.in_force.as_ref()
    }

    /// Identity of the sheet that is about to be accepted.
    pub fn candidate(&self) -> Option<SheetStamp> {
        self.candidate.as_ref().map(CandidateSheet::stamp)
    }

    /// Alarms that are raised.
    pub fn alarms(&self) -> &BTreeSet<SheetAlarm> {
        &self.alarms
    }

    /// Says whether the instance may be ready: it has a sheet, learned from its peers, and a peer or the
    /// platform has confirmed the sheet since the last pause.
    pub fn is_ready(&self) -> bool {
        self.stage() == PeerStage::Ready
    }

    /// Life-cycle stage as far as the configuration determines it; never `Draining`.
    pub fn stage(&self) -> PeerStage {
        match (self.learned && self.in_force.is_some(), self.confirmed) {
            (false, _) => PeerStage::Learning,
            (true, false) => PeerStage::Unconfirmed,
            (true, true) => PeerStage::Ready,
        }
    }

    /// The state to send to a peer, as a push or as a reply.
    pub fn message(&self, is_draining: bool, draining: Vec<UpstreamId>) -> ExchangeMessage {
        ExchangeMessage {
            sender: self.identity.clone(),
            stage: match is_draining {
                true => PeerStage::Draining,
                false => self.stage(),
            },
            accepted: self.stamp(),
            candidate: self.candidate(),
            draining,
        }
    }

    /// Takes an observation made at `now` and returns what to do, in this order.
    pub fn handle(&mut self, now: ClockTime, input: SheetInput) -> Vec<SheetAction> {
        let mut actions = Vec::new();
        match input {
            SheetInput::PlatformValue {
                requested_at,
                revision,
                bytes,
            } => self.read_platform(requested_at, revision, &bytes, &mut actions),
            SheetInput::PlatformUnreachable => self.platform_down = true,
            SheetInput::PeersListed(listed) => self.list_peers(now, listed),
            SheetInput::PeerMessage { message, sent_at } => self.hear(now, &message, sent_at),
            SheetInput::PeerAbsent(peer) => self.lose_peer(now, &peer, PeerContact::Absent),
            SheetInput::PeerSilent(peer) => self.lose_peer(now, &peer, PeerContact::Silent),
            SheetInput::FetchAnswered { peer, reply } => {
                self.take_reply(now, peer, reply, &mut actions);
            }
            SheetInput::FetchFailed(peer) => self.fail_fetch(now, &peer),
            SheetInput::Resumed => self.resume(now, &mut actions),
            SheetInput::Tick => {}
        }
        self.advance(now, &mut actions);
        actions
    }

    pub(super) fn stamp(&self) -> Option<SheetStamp> {
        self.in_force.as_ref().map(|sheet| sheet.stamp())
    }

    /// Puts `sheet` in force if it takes precedence over the present one.
    pub(super) fn put_in_force(&mut self, sheet: AcceptedSheet, actions: &mut Vec<SheetAction>) {
        let is_higher = Some(sheet.stamp()) > self.stamp();
        if !is_higher && !mutation::is_active("accept_older_sheet") {
            return;
        }
        let sheet = Arc::new(sheet);
        self.in_force = Some(Arc::clone(&sheet));
        self.recheck_candidate(actions);
        actions.push(SheetAction::PutInForce(sheet));
        actions.push(SheetAction::Announce);
    }

    fn list_peers(&mut self, now: ClockTime, mut listed: BTreeSet<InstanceId>) {
        listed.remove(&self.identity.instance);
        let sample = StartSample::new(self.settings.sample_rule, &self.identity.instance, &listed);
        self.peers.set_listed(listed, sample, now);
    }

    fn hear(&mut self, now: ClockTime, message: &ExchangeMessage, sent_at: Option<ClockTime>) {
        if message.sender.instance == self.identity.instance {
            return;
        }
        let is_answer = sent_at.is_some_and(|sent_at| sent_at >= self.valid_from);
        self.peers.record(message, is_answer, now);
        self.highest_seen = self.highest_seen.max(message.accepted);
        if let (Some(own), Some(other)) = (self.stamp(), message.accepted)
            && own.conflicts_with(&other)
        {
            self.conflict = Some(own);
        }
    }

    fn lose_peer(&mut self, now: ClockTime, peer: &InstanceId, contact: PeerContact) {
        self.peers.mark(peer, contact);
        self.fail_fetch(now, peer);
    }

    fn resume(&mut self, now: ClockTime, actions: &mut Vec<SheetAction>) {
        if mutation::is_active("trust_after_pause") {
            return;
        }
        self.valid_from = now;
        self.confirmed = false;
        self.served = false;
        self.queried_at = None;
        self.fetch = None;
        self.peers.forget_contacts();
        if let Some(candidate) = &mut self.candidate {
            candidate.settles_at = None;
        }
        actions.push(SheetAction::Announce);
    }

    fn advance(&mut self, now: ClockTime, actions: &mut Vec<SheetAction>) {
        self.expire_fetch(now);
        self.start_fetch(now, actions);
        self.settle(now, actions);
        self.promote_next(actions);
        self.finish_learning(now);
        self.query_peers(now, actions);
        self.update_alarms(actions);
    }

    /// Says whether every listed peer, or enough of them in a large fleet, has answered or is absent, or is no
    /// longer waited for.
    fn has_asked_peers(&self, now: ClockTime) -> bool {
        let isolated = self.settings.isolated_start_after;
        self.peers.is_resolved()
            || isolated.is_some_and(|after| now.since(self.valid_from) >= after)
            || mutation::is_active("skip_learning")
    }

    fn settle(&mut self, now: ClockTime, actions: &mut Vec<SheetAction>) {
        if !self.learned && !self.has_asked_peers(now) {
            return;
        }
        let is_lost = self.lost_sheet().is_some();
        let is_overtaken = self.is_overtaken();
        let Some(candidate) = &mut self.candidate else {
            return;
        };
        let Some(settles_at) = candidate.settles_at else {
            candidate.settles_at = Some(now + self.settings.settling_time);
            actions.push(SheetAction::Announce);
            return;
        };
        if now < settles_at || is_overtaken || is_lost {
            return;
        }
        self.accept_candidate(actions);
    }

    /// Says whether a fetch is under way whose sheet would displace the candidate.
    fn is_overtaken(&self) -> bool {
        let (Some(fetch), Some(candidate)) = (&self.fetch, self.candidate()) else {
            return false;
        };
        let accepted = self.peers.best_accepted().map(|(best, _)| best);
        let is_rival = fetch.stamp.version == candidate.version;
        fetch.stamp > candidate && (is_rival || accepted >= Some(fetch.stamp))
    }

    /// Says whether a peer has a sheet in force that takes precedence and that can be fetched.
    fn is_behind(&self) -> bool {
        let best = self.peers.best_accepted();
        best.is_some_and(|(best, _)| Some(best) > self.stamp())
    }

    fn finish_learning(&mut self, now: ClockTime) {
        if self.is_behind() || self.in_force.is_none() {
            return;
        }
        if self.has_asked_peers(now) {
            self.learned = true;
            self.confirmed = true;
        }
        if self.learned && (self.peers.has_ready_answer() || self.is_served_alone()) {
            self.confirmed = true;
        }
    }

    /// Says whether the platform serves the sheet in force and no peer can tell of a newer one: those that were
    /// asked do not answer. The platform may be stale, so peers are asked first.
    fn is_served_alone(&self) -> bool {
        let asked = self.peers.to_ask(CONFIRMATION_QUERIES);
        self.served && asked.iter().all(|peer| self.peers.is_silent(peer))
    }

    fn query_peers(&mut self, now: ClockTime, actions: &mut Vec<SheetAction>) {
        if self.is_ready() {
            return;
        }
        let is_due = self
            .queried_at
            .is_none_or(|queried_at| now.since(queried_at) >= self.settings.query_interval);
        if !is_due {
            return;
        }
        let limit = match self.learned {
            true => CONFIRMATION_QUERIES,
            false => usize::MAX,
        };
        let peers = self.peers.to_ask(limit);
        if peers.is_empty() {
            return;
        }
        self.queried_at = Some(now);
        self.peers.count_query();
        actions.push(SheetAction::Query { peers });
    }

    /// A sheet that a peer had in force and that the candidate would revert.
    pub(super) fn lost_sheet(&self) -> Option<SheetStamp> {
        let candidate = self.candidate()?;
        let seen = self.highest_seen.filter(|_| self.in_force.is_none())?;
        let reverts = candidate.version < seen.version || candidate.conflicts_with(&seen);
        reverts.then_some(seen)
    }

    fn update_alarms(&mut self, actions: &mut Vec<SheetAction>) {
        let present = self.conditions();
        for alarm in present.difference(&self.alarms) {
            actions.push(SheetAction::RaiseAlarm(alarm.clone()));
        }
        for alarm in self.alarms.difference(&present) {
            actions.push(SheetAction::ClearAlarm(alarm.clone()));
        }
        self.alarms = present;
    }

    fn conditions(&self) -> BTreeSet<SheetAlarm> {
        let mut alarms = BTreeSet::new();
        if self.platform_down {
            alarms.insert(SheetAlarm::PlatformUnreachable);
        }
        alarms.extend(self.platform_stale.clone());
        let conflict = self.conflict.map(|stamp| stamp.version);
        let version = self.in_force.as_ref().map(|sheet| sheet.version());
        alarms.extend(
            conflict
                .filter(|_| conflict >= version)
                .map(SheetAlarm::VersionConflict),
        );
        if !self.is_ready() {
            alarms.extend(self.peers.silent().cloned().map(SheetAlarm::PeerSilent));
            if self.peers.is_fleet_silent() {
                alarms.insert(SheetAlarm::FleetSilent);
            }
            if !self.peers.has_list() {
                alarms.insert(SheetAlarm::ListUnknown);
            }
            let lost = self.lost_sheet().filter(|_| !self.is_behind());
            let lost = lost.map(|stamp| stamp.version);
            alarms.extend(lost.map(SheetAlarm::SheetLost));
        }
        alarms
    }
}
