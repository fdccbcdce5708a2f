use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::ids::InstanceId;
use crate::membership::{SampleAnswer, SampleVerdict, StartSample};
use crate::sheet::SheetStamp;
use crate::time::ClockTime;

use super::ExchangeMessage;
use super::peer_report::{PeerContact, PeerReport};

/// How long an unlisted peer is kept after its last message. This is longer than a new instance usually takes to appear
/// in the list.
const UNLISTED_RETENTION: Duration = Duration::from_secs(60);

/// Reports of all peers about their sheets.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerTable {
    /// The listed peers, or `None` until a list is known.
    listed: Option<BTreeSet<InstanceId>>,
    /// The peers to query in a large fleet. `None` in a small fleet, where every listed peer is queried.
    sample: Option<StartSample>,
    /// Number of queries made in a large fleet.
    query_count: usize,
    reports: BTreeMap<InstanceId, PeerReport>,
}

impl PeerTable {
    pub(crate) fn has_list(&self) -> bool {
        self.listed.is_some()
    }

    /// Sets the listed peers and, in a large fleet, the sample of them to query. Removes outdated reports of unlisted
    /// peers.
    pub(crate) fn set_listed(
        &mut self,
        listed: BTreeSet<InstanceId>,
        sample: Option<StartSample>,
        now: ClockTime,
    ) {
        self.reports.retain(|id, report| {
            listed.contains(id) || now.since(report.last_message_at) < UNLISTED_RETENTION
        });
        self.listed = Some(listed);
        self.sample = sample;
    }

    /// Records the state in `message`. `is_answer` states whether the message answers an exchange that was sent after
    /// the start or the last pause.
    pub(crate) fn record_message(
        &mut self,
        message: &ExchangeMessage,
        is_answer: bool,
        now: ClockTime,
    ) {
        let report = self.report_mut(&message.sender.instance);
        report.stage = Some(message.stage);
        report.record_accepted(message.sender.incarnation, message.accepted);
        report.candidate = message.candidate;
        report.last_message_at = now;
        report.contact = match report.contact {
            _ if is_answer => PeerContact::Answered,
            PeerContact::Answered => PeerContact::Answered,
            _ => PeerContact::Unknown,
        };
    }

    /// Replaces the stamp that a peer announced by the stamp of the sheet that the peer supplied.
    pub(crate) fn record_supplied_sheet(
        &mut self,
        peer: &InstanceId,
        stamp: SheetStamp,
        is_accepted: bool,
    ) {
        let report = self.report_mut(peer);
        match is_accepted {
            true => (report.accepted, report.candidate) = (Some(stamp), None),
            false => report.candidate = Some(stamp),
        }
    }

    pub(crate) fn record_contact(&mut self, peer: &InstanceId, contact: PeerContact) {
        let report = self.report_mut(peer);
        report.contact = contact;
        if contact == PeerContact::Absent {
            report.stage = None;
            report.accepted = None;
            report.candidate = None;
        }
    }

    pub(crate) fn record_failed_fetch(&mut self, peer: &InstanceId) {
        let report = self.report_mut(peer);
        report.failed_fetches = report.failed_fetches.saturating_add(1);
    }

    pub(crate) fn reset_failed_fetches(&mut self, peer: &InstanceId) {
        self.report_mut(peer).failed_fetches = 0;
    }

    /// Resets the contact state of all peers, since answers from before a pause prove nothing.
    pub(crate) fn reset_contacts(&mut self) {
        for report in self.reports.values_mut() {
            report.contact = PeerContact::Unknown;
        }
    }

    /// Returns at most `limit` peers to query next, silent peers last. In a small fleet these are all listed peers that
    /// have neither answered nor are absent, in a large fleet those whose answers the sample still needs.
    pub(crate) fn peers_to_query(&self, limit: usize) -> Vec<InstanceId> {
        match self.evaluate_sample(limit) {
            Some(SampleVerdict::Query(peers)) => peers,
            Some(SampleVerdict::Enough) => Vec::new(),
            None => {
                let mut peers = self.unresolved_peers();
                peers.truncate(limit);
                peers
            }
        }
    }

    /// Counts a query, so that the next one goes to other silent peers of a large fleet.
    pub(crate) fn record_query(&mut self) {
        if self.sample.is_some() {
            self.query_count = self.query_count.wrapping_add(1);
        }
    }

    fn evaluate_sample(&self, limit: usize) -> Option<SampleVerdict> {
        let sample = self.sample.as_ref()?;
        Some(sample.evaluate(self.query_count, limit, |id| self.sample_answer(id)))
    }

    fn sample_answer(&self, id: &InstanceId) -> SampleAnswer {
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

    fn unresolved_peers(&self) -> Vec<InstanceId> {
        let listed = self.listed.iter().flatten();
        let mut unresolved: Vec<InstanceId> = listed
            .filter(|id| !self.contact(id).is_resolved())
            .cloned()
            .collect();
        unresolved.sort_by_key(|id| self.contact(id) == PeerContact::Silent);
        unresolved
    }

    /// Returns the listed peers whose last exchange timed out. Returns none in a large fleet, which does not wait for
    /// individual peers.
    pub(crate) fn silent_peers(&self) -> impl Iterator<Item = &InstanceId> {
        let listed = self.listed.iter().flatten();
        listed.filter(|id| self.sample.is_none() && self.contact(id) == PeerContact::Silent)
    }

    /// Returns whether every peer of a large fleet was queried, too few are ready, and too many are silent.
    pub(crate) fn is_fleet_silent(&self) -> bool {
        let are_silent = |peers: Vec<InstanceId>| {
            !peers.is_empty()
                && peers
                    .iter()
                    .all(|id| self.contact(id) == PeerContact::Silent)
        };
        match self.evaluate_sample(usize::MAX) {
            Some(SampleVerdict::Query(peers)) => are_silent(peers),
            _ => false,
        }
    }

    /// Returns whether a list is known and no more peers have to be queried.
    pub(crate) fn is_resolved(&self) -> bool {
        self.has_list() && self.peers_to_query(usize::MAX).is_empty()
    }

    /// Returns whether a peer with a confirmed sheet in force has answered.
    pub(crate) fn has_ready_answer(&self) -> bool {
        self.reports
            .values()
            .any(|report| report.contact == PeerContact::Answered && report.is_ready())
    }

    /// Returns the stamp with the highest precedence among the sheets that peers have in force, and the peer to fetch
    /// that sheet from.
    pub(crate) fn best_accepted(&self) -> Option<(SheetStamp, InstanceId)> {
        self.best_stamp(|report| report.accepted)
    }

    /// Returns the stamp with the highest precedence among the candidates of peers, and the peer to fetch that sheet
    /// from.
    pub(crate) fn best_candidate(&self) -> Option<(SheetStamp, InstanceId)> {
        self.best_stamp(|report| report.candidate)
    }

    /// Returns the stamp with the highest precedence and the peer with the fewest failed fetches that reports it. Skips
    /// silent peers, which cannot supply a sheet.
    fn best_stamp(
        &self,
        stamp: impl Fn(&PeerReport) -> Option<SheetStamp>,
    ) -> Option<(SheetStamp, InstanceId)> {
        let stamps = self
            .reports
            .iter()
            .filter(|(_, report)| report.contact != PeerContact::Silent)
            .filter_map(|(id, report)| Some((stamp(report)?, report.failed_fetches, id)));
        let (best_stamp, _, peer) =
            stamps.max_by(|(left, left_failures, _), (right, right_failures, _)| {
                left.cmp(right).then(right_failures.cmp(left_failures))
            })?;
        Some((best_stamp, peer.clone()))
    }

    /// Returns whether the last exchange with a peer timed out.
    pub(crate) fn is_silent(&self, id: &InstanceId) -> bool {
        self.contact(id) == PeerContact::Silent
    }

    fn contact(&self, id: &InstanceId) -> PeerContact {
        let report = self.reports.get(id);
        report.map(|report| report.contact).unwrap_or_default()
    }

    fn report_mut(&mut self, id: &InstanceId) -> &mut PeerReport {
        self.reports.entry(id.clone()).or_default()
    }
}
