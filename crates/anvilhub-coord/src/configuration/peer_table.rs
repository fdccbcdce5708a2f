use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::ids::InstanceId;
use crate::membership::{SampleAnswer, SampleVerdict, StartSample};
use crate::sheet::SheetStamp;
use crate::time::ClockTime;

use super::ExchangeMessage;
use super::peer_report::{PeerContact, PeerReport};

/// How long a peer that is not listed is remembered. Longer than a list usually lags behind a new instance.
const UNLISTED_RETENTION: Duration = Duration::from_secs(60);

/// What every peer said about its sheets.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerTable {
    /// None until a list is known.
    listed: Option<BTreeSet<InstanceId>>,
    /// Peers to ask in a large fleet; none in a small one, where every listed peer is asked.
    sample: Option<StartSample>,
    /// Queries made in a large fleet.
    turn: usize,
    reports: BTreeMap<InstanceId, PeerReport>,
}

impl PeerTable {
    pub(crate) fn has_list(&self) -> bool {
        self.listed.is_some()
    }

    /// Takes the listed peers, and in a large fleet the sample of them to ask.
    pub(crate) fn set_listed(
        &mut self,
        listed: BTreeSet<InstanceId>,
        sample: Option<StartSample>,
        now: ClockTime,
    ) {
        self.reports.retain(|id, report| {
            listed.contains(id) || now.since(report.heard_at) < UNLISTED_RETENTION
        });
        self.listed = Some(listed);
        self.sample = sample;
    }

    /// Records a message; `is_answer` when it answers an exchange sent since the start or the last pause.
    pub(crate) fn record(&mut self, message: &ExchangeMessage, is_answer: bool, now: ClockTime) {
        let report = self.entry(&message.sender.instance);
        report.stage = Some(message.stage);
        report.accepted = message.accepted;
        report.candidate = message.candidate;
        report.heard_at = now;
        report.contact = match report.contact {
            _ if is_answer => PeerContact::Answered,
            PeerContact::Answered => PeerContact::Answered,
            _ => PeerContact::Unknown,
        };
    }

    /// Replaces what a peer said by the sheet that it supplied.
    pub(crate) fn correct(&mut self, peer: &InstanceId, stamp: SheetStamp, accepted: bool) {
        let report = self.entry(peer);
        match accepted {
            true => (report.accepted, report.candidate) = (Some(stamp), None),
            false => report.candidate = Some(stamp),
        }
    }

    pub(crate) fn mark(&mut self, peer: &InstanceId, contact: PeerContact) {
        let report = self.entry(peer);
        report.contact = contact;
        if contact == PeerContact::Absent {
            report.stage = None;
            report.accepted = None;
            report.candidate = None;
        }
    }

    pub(crate) fn count_fetch(&mut self, peer: &InstanceId, failed: bool) {
        let report = self.entry(peer);
        report.failed_fetches = match failed {
            true => report.failed_fetches.saturating_add(1),
            false => 0,
        };
    }

    /// Forgets which peers answered, as after a pause.
    pub(crate) fn forget_contacts(&mut self) {
        for report in self.reports.values_mut() {
            report.contact = PeerContact::Unknown;
        }
    }

    /// Peers to ask next, silent ones last: all listed ones that have neither answered nor are absent, or in a
    /// large fleet those that the sample lacks. At most `limit`.
    pub(crate) fn to_ask(&self, limit: usize) -> Vec<InstanceId> {
        match self.judge_sample(limit) {
            Some(SampleVerdict::Ask(peers)) => peers,
            Some(SampleVerdict::Enough) => Vec::new(),
            None => {
                let mut peers = self.unresolved();
                peers.truncate(limit);
                peers
            }
        }
    }

    /// Notes that peers were asked.
    pub(crate) fn count_query(&mut self) {
        if self.sample.is_some() {
            self.turn = self.turn.wrapping_add(1);
        }
    }

    fn judge_sample(&self, limit: usize) -> Option<SampleVerdict> {
        let sample = self.sample.as_ref()?;
        Some(sample.evaluate(self.turn, limit, |id| self.answer_of(id)))
    }

    fn answer_of(&self, id: &InstanceId) -> SampleAnswer {
        let Some(report) = self.reports.get(id) else {
            return SampleAnswer::Pending;
        };
        match report.contact {
            PeerContact::Unknown => SampleAnswer::Pending,
            PeerContact::Silent => SampleAnswer::Silent,
            PeerContact::Absent => SampleAnswer::Absent,
            PeerContact::Answered if report.is_ready() => SampleAnswer::Ready,
            PeerContact::Answered => SampleAnswer::NotReady,
        }
    }

    fn unresolved(&self) -> Vec<InstanceId> {
        let listed = self.listed.iter().flatten();
        let mut unresolved: Vec<InstanceId> = listed
            .filter(|id| !self.contact(id).is_resolved())
            .cloned()
            .collect();
        unresolved.sort_by_key(|id| self.contact(id) == PeerContact::Silent);
        unresolved
    }

    /// Listed peers whose last exchange timed out and that are waited for one by one, as in a small fleet.
    pub(crate) fn silent(&self) -> impl Iterator<Item = &InstanceId> {
        let listed = self.listed.iter().flatten();
        listed.filter(|id| self.sample.is_none() && self.contact(id) == PeerContact::Silent)
    }

    /// Says whether a large fleet was asked as a whole, and too few answered.
    pub(crate) fn is_fleet_silent(&self) -> bool {
        let is_silent = |peers: Vec<InstanceId>| {
            !peers.is_empty()
                && peers
                    .iter()
                    .all(|id| self.contact(id) == PeerContact::Silent)
        };
        match self.judge_sample(usize::MAX) {
            Some(SampleVerdict::Ask(peers)) => is_silent(peers),
            _ => false,
        }
    }

    /// Says whether a list is known and nobody has to be asked any more.
    pub(crate) fn is_resolved(&self) -> bool {
        self.has_list() && self.to_ask(usize::MAX).is_empty()
    }

    /// Says whether a peer that is sure of its sheet has answered.
    pub(crate) fn has_ready_answer(&self) -> bool {
        self.reports
            .values()
            .any(|report| report.contact == PeerContact::Answered && report.is_ready())
    }

    /// The sheet that takes precedence among those that peers have in force, and who supplies it.
    pub(crate) fn best_accepted(&self) -> Option<(SheetStamp, InstanceId)> {
        self.best(|report| report.accepted)
    }

    /// The sheet that takes precedence among those that peers are about to accept, and who supplies it.
    pub(crate) fn best_candidate(&self) -> Option<(SheetStamp, InstanceId)> {
        self.best(|report| report.candidate)
    }

    /// Skips silent peers: they cannot supply a sheet.
    fn best(
        &self,
        stamp: impl Fn(&PeerReport) -> Option<SheetStamp>,
    ) -> Option<(SheetStamp, InstanceId)> {
        let stamps = self
            .reports
            .iter()
            .filter(|(_, report)| report.contact != PeerContact::Silent)
            .filter_map(|(id, report)| Some((stamp(report)?, report.failed_fetches, id)));
        let best = stamps.max_by(|left, right| left.0.cmp(&right.0).then(right.1.cmp(&left.1)))?;
        Some((best.0, best.2.clone()))
    }

    /// Says whether the last exchange with a peer timed out.
    pub(crate) fn is_silent(&self, id: &InstanceId) -> bool {
        self.contact(id) == PeerContact::Silent
    }

    fn contact(&self, id: &InstanceId) -> PeerContact {
        let report = self.reports.get(id);
        report.map(|report| report.contact).unwrap_or_default()
    }

    fn entry(&mut self, id: &InstanceId) -> &mut PeerReport {
        self.reports.entry(id.clone()).or_default()
    }
}
