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
use super::sheet_offer::SheetRefusal;
use super::{
    AcceptorSettings, ExchangeMessage, PeerIdentity, PeerStage, SheetAction, SheetAlarm, SheetInput,
};

/// Maximum number of peers that are queried at once to confirm the sheet after a pause. One answer is enough; several
/// queries allow for peers that are paused or unreachable as well, without querying the whole fleet.
const MAX_CONFIRMATION_QUERIES: usize = 8;

/// Decides which sheet is in force in one instance.
///
/// The stamp of the sheet in force only increases. All instances order stamps in the same way, so instances that can
/// reach each other converge to the same sheet.
#[derive(Clone, Debug)]
pub struct SheetAcceptor {
    pub(super) identity: PeerIdentity,
    pub(super) settings: AcceptorSettings,
    pub(super) in_force: Option<Arc<AcceptedSheet>>,
    pub(super) candidate: Option<CandidateSheet>,
    /// A sheet with a higher version than the candidate. It becomes the candidate after the current one is accepted or
    /// refused; if it replaced the candidate at once, each publication of a burst would restart the settling time.
    pub(super) next_candidate: Option<CandidateSheet>,
    pub(super) refusal: Option<SheetRefusal>,
    pub(super) peers: PeerTable,
    pub(super) fetch: Option<PendingFetch>,
    /// Earliest time at which the next fetch may start.
    pub(super) next_fetch_at: ClockTime,
    /// Whether the instance has learned the sheet in force from its peers since it started.
    has_learned: bool,
    /// Time of the last query to peers since the start or the last pause.
    queried_at: Option<ClockTime>,
    /// Time of the start of the instance or of the end of its last pause. Answers to exchanges that were sent earlier,
    /// and timeouts of them, prove nothing.
    pub(super) valid_from: ClockTime,
    /// Whether a peer or the platform has confirmed the sheet in force since `valid_from`.
    is_confirmed: bool,
    /// Whether the platform served the sheet in force since `valid_from`.
    pub(super) is_served_by_platform: bool,
    /// Highest stamp of a sheet in force that any peer has reported.
    highest_seen: Option<SheetStamp>,
    pub(super) is_platform_unreachable: bool,
    /// Revision and digest of the last value that the platform served. Faults of a repeated value are logged only once.
    pub(super) last_read: Option<(PlatformRevision, SheetDigest)>,
    pub(super) stale_alarm: Option<SheetAlarm>,
    /// Stamp of a sheet whose version was published with two contents.
    pub(super) conflict: Option<SheetStamp>,
    alarms: BTreeSet<SheetAlarm>,
}

impl SheetAcceptor {
    /// Creates the acceptor of an instance that starts at `now` without a sheet.
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
            next_fetch_at: now,
            has_learned: false,
            queried_at: None,
            valid_from: now,
            is_confirmed: false,
            is_served_by_platform: false,
            highest_seen: None,
            is_platform_unreachable: false,
            last_read: None,
            stale_alarm: None,
            conflict: None,
            alarms: BTreeSet::new(),
        }
    }

    /// Returns the sheet in force.
    pub fn in_force(&self) -> Option<&Arc<AcceptedSheet>> {
        self.in_force.as_ref()
    }

    /// Returns the stamp of the sheet that is about to be accepted.
    pub fn candidate(&self) -> Option<SheetStamp> {
        self.candidate.as_ref().map(CandidateSheet::stamp)
    }

    /// Returns the active alarms.
    pub fn alarms(&self) -> &BTreeSet<SheetAlarm> {
        &self.alarms
    }

    /// Returns whether the configuration allows the instance to be ready: it has a sheet in force, has learned from its
    /// peers, and a peer or the platform has confirmed the sheet since the last pause.
    pub fn is_ready(&self) -> bool {
        self.stage() == PeerStage::Ready
    }

    /// Returns the life-cycle stage that follows from the configuration alone, which is never `Draining`.
    pub fn stage(&self) -> PeerStage {
        match (
            self.has_learned && self.in_force.is_some(),
            self.is_confirmed,
        ) {
            (false, _) => PeerStage::Learning,
            (true, false) => PeerStage::Unconfirmed,
            (true, true) => PeerStage::Ready,
        }
    }

    /// Builds the message with the state of this instance, which is sent to a peer as a request or as a reply.
    pub fn exchange_message(
        &self,
        is_draining: bool,
        draining: Vec<UpstreamId>,
    ) -> ExchangeMessage {
        ExchangeMessage {
            sender: self.identity.clone(),
            stage: match is_draining {
                true => PeerStage::Draining,
                false => self.stage(),
            },
            accepted: self.stamp(),
            candidate: self.candidate(),
            draining,
            reported_draining: Vec::new(),
            crashes: Vec::new(),
        }
    }

    /// Handles an event that occurred at `now` and returns the actions to perform, in this order.
    pub fn handle(&mut self, now: ClockTime, input: SheetInput) -> Vec<SheetAction> {
        let mut actions = Vec::new();
        match input {
            SheetInput::PlatformValue {
                requested_at,
                revision,
                bytes,
            } => self.handle_platform_value(requested_at, revision, &bytes, &mut actions),
            SheetInput::PlatformUnreachable => self.is_platform_unreachable = true,
            SheetInput::PeersListed(listed) => self.update_peer_list(now, listed),
            SheetInput::PeerMessage { message, sent_at } => {
                self.record_message(now, &message, sent_at);
            }
            SheetInput::PeerAbsent { peer, sent_at } => {
                self.record_unreachable(now, &peer, sent_at, PeerContact::Absent);
            }
            SheetInput::PeerSilent { peer, sent_at } => {
                self.record_unreachable(now, &peer, sent_at, PeerContact::Silent);
            }
            SheetInput::FetchAnswered { peer, reply } => {
                self.apply_reply(now, peer, reply, &mut actions);
            }
            SheetInput::FetchFailed(peer) => self.record_failed_fetch(now, &peer),
            SheetInput::Resumed => self.handle_resume(now, &mut actions),
            SheetInput::Tick => {}
        }
        self.update_state(now, &mut actions);
        actions
    }

    pub(super) fn stamp(&self) -> Option<SheetStamp> {
        self.in_force.as_ref().map(|sheet| sheet.stamp())
    }

    /// Puts `sheet` in force if it takes precedence over the one in force.
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

    fn update_peer_list(&mut self, now: ClockTime, mut listed: BTreeSet<InstanceId>) {
        listed.remove(&self.identity.instance);
        let sample = StartSample::new(self.settings.sample_rule, &self.identity.instance, &listed);
        self.peers.set_listed(listed, sample, now);
    }

    fn record_message(
        &mut self,
        now: ClockTime,
        message: &ExchangeMessage,
        sent_at: Option<ClockTime>,
    ) {
        if message.sender.instance == self.identity.instance {
            return;
        }
        let is_answer = sent_at.is_some_and(|sent_at| sent_at >= self.valid_from);
        self.peers.record_message(message, is_answer, now);
        self.highest_seen = self.highest_seen.max(message.accepted);
        if let (Some(own_stamp), Some(peer_stamp)) = (self.stamp(), message.accepted)
            && own_stamp.conflicts_with(&peer_stamp)
        {
            self.conflict = Some(own_stamp);
        }
    }

    fn record_unreachable(
        &mut self,
        now: ClockTime,
        peer: &InstanceId,
        sent_at: ClockTime,
        contact: PeerContact,
    ) {
        // An exchange that was in flight during a pause of this process times out when the process resumes, whether or
        // not the peer answered.
        if sent_at >= self.valid_from {
            self.peers.record_contact(peer, contact);
        }
        self.record_failed_fetch(now, peer);
    }

    fn handle_resume(&mut self, now: ClockTime, actions: &mut Vec<SheetAction>) {
        if mutation::is_active("trust_after_pause") {
            return;
        }
        self.valid_from = now;
        self.is_confirmed = false;
        self.is_served_by_platform = false;
        self.queried_at = None;
        self.fetch = None;
        self.peers.reset_contacts();
        if let Some(candidate) = &mut self.candidate {
            candidate.settles_at = None;
        }
        actions.push(SheetAction::Announce);
    }

    /// Performs every step that has become possible or due.
    fn update_state(&mut self, now: ClockTime, actions: &mut Vec<SheetAction>) {
        self.expire_fetch(now);
        self.start_fetch(now, actions);
        self.settle_candidate(now, actions);
        self.promote_next_candidate(actions);
        self.update_readiness(now);
        self.query_peers(now, actions);
        self.update_alarms(actions);
    }

    /// Returns whether the instance no longer waits for its peers: every listed peer, or enough of them in a large
    /// fleet, has answered or is absent, or the time for an isolated start has passed.
    fn is_peer_wait_over(&self, now: ClockTime) -> bool {
        let isolated_start_after = self.settings.isolated_start_after;
        self.peers.is_resolved()
            || isolated_start_after.is_some_and(|after| now.since(self.valid_from) >= after)
            || mutation::is_active("skip_learning")
    }

    /// Starts the settling time of the candidate, or accepts the candidate when this time has passed.
    fn settle_candidate(&mut self, now: ClockTime, actions: &mut Vec<SheetAction>) {
        if !self.has_learned && !self.is_peer_wait_over(now) {
            return;
        }
        let would_revert = self.lost_sheet().is_some();
        let is_superseded = self.is_superseded_by_fetch();
        let Some(candidate) = &mut self.candidate else {
            return;
        };
        let Some(settles_at) = candidate.settles_at else {
            candidate.settles_at = Some(now + self.settings.settling_time);
            actions.push(SheetAction::Announce);
            return;
        };
        if now < settles_at || is_superseded || would_revert {
            return;
        }
        self.accept_candidate(actions);
    }

    /// Returns whether a pending fetch is for a sheet that would replace the candidate.
    fn is_superseded_by_fetch(&self) -> bool {
        let (Some(fetch), Some(candidate)) = (&self.fetch, self.candidate()) else {
            return false;
        };
        let accepted = self.peers.best_accepted().map(|(best, _)| best);
        let has_same_version = fetch.stamp.version == candidate.version;
        fetch.stamp > candidate && (has_same_version || accepted >= Some(fetch.stamp))
    }

    /// Returns whether a peer has a sheet in force that takes precedence over the sheet of this instance, and can
    /// supply it.
    fn is_behind_peer(&self) -> bool {
        let best = self.peers.best_accepted();
        best.is_some_and(|(best, _)| Some(best) > self.stamp())
    }

    /// Records whether the instance has learned from its peers and whether the sheet in force is confirmed.
    fn update_readiness(&mut self, now: ClockTime) {
        if self.is_behind_peer() || self.in_force.is_none() {
            return;
        }
        if self.is_peer_wait_over(now) {
            self.has_learned = true;
            self.is_confirmed = true;
        }
        if self.has_learned && (self.peers.has_ready_answer() || self.is_platform_sufficient()) {
            self.is_confirmed = true;
        }
    }

    /// Returns whether the platform alone confirms the sheet in force: it serves this sheet, and all queried peers are
    /// silent. The peers are queried first, since the platform may be stale and a peer may have a newer sheet.
    fn is_platform_sufficient(&self) -> bool {
        let queried = self.peers.peers_to_query(MAX_CONFIRMATION_QUERIES);
        self.is_served_by_platform && queried.iter().all(|peer| self.peers.is_silent(peer))
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
        let limit = match self.has_learned {
            true => MAX_CONFIRMATION_QUERIES,
            false => usize::MAX,
        };
        let peers = self.peers.peers_to_query(limit);
        if peers.is_empty() {
            return;
        }
        self.queried_at = Some(now);
        self.peers.record_query();
        actions.push(SheetAction::Query { peers });
    }

    /// Returns the stamp of a sheet that a peer had in force and that the candidate would revert. Returns `None` if a
    /// sheet is in force, since the candidate was then checked against it.
    pub(super) fn lost_sheet(&self) -> Option<SheetStamp> {
        let candidate = self.candidate()?;
        let seen = self.highest_seen.filter(|_| self.in_force.is_none())?;
        let reverts = candidate.version < seen.version || candidate.conflicts_with(&seen);
        reverts.then_some(seen)
    }

    fn update_alarms(&mut self, actions: &mut Vec<SheetAction>) {
        let current = self.current_alarms();
        for alarm in current.difference(&self.alarms) {
            actions.push(SheetAction::RaiseAlarm(alarm.clone()));
        }
        for alarm in self.alarms.difference(&current) {
            actions.push(SheetAction::ClearAlarm(alarm.clone()));
        }
        self.alarms = current;
    }

    fn current_alarms(&self) -> BTreeSet<SheetAlarm> {
        let mut alarms = BTreeSet::new();
        if self.is_platform_unreachable {
            alarms.insert(SheetAlarm::PlatformUnreachable);
        }
        alarms.extend(self.stale_alarm.clone());
        let conflict = self.conflict.map(|stamp| stamp.version);
        let version = self.in_force.as_ref().map(|sheet| sheet.version());
        alarms.extend(
            conflict
                .filter(|_| conflict >= version)
                .map(SheetAlarm::VersionConflict),
        );
        if !self.is_ready() {
            let silent_peers = self.peers.silent_peers().cloned();
            alarms.extend(silent_peers.map(SheetAlarm::PeerSilent));
            if self.peers.is_fleet_silent() {
                alarms.insert(SheetAlarm::FleetSilent);
            }
            if !self.peers.has_list() {
                alarms.insert(SheetAlarm::ListUnknown);
            }
            let lost_sheet = self.lost_sheet().filter(|_| !self.is_behind_peer());
            let lost_version = lost_sheet.map(|stamp| stamp.version);
            alarms.extend(lost_version.map(SheetAlarm::SheetLost));
        }
        alarms
    }
}
