use std::time::Duration;

use crate::ids::InstanceId;
use crate::sheet::{AcceptedSheet, SheetStamp};
use crate::time::ClockTime;

use super::pending_fetch::PendingFetch;
use super::{FetchReply, FetchRequest, SheetAcceptor, SheetAction};

/// Time between a failed fetch and the next one. Without it, fetches that fail immediately would repeat in a tight
/// loop.
const FETCH_BACKOFF: Duration = Duration::from_millis(100);

/// Fetches sheets from peers, and answers the fetches of peers.
impl SheetAcceptor {
    /// Returns the reply to a peer's fetch: the requested sheet, or the one in force if this instance does not have the
    /// requested one.
    pub fn serve_fetch(&self, request: &FetchRequest) -> Option<FetchReply> {
        if let Some(candidate) = &self.candidate
            && candidate.sheet.digest == request.digest
            && self
                .stamp()
                .is_none_or(|stamp| stamp.digest != request.digest)
        {
            let stamp = candidate.stamp();
            return Some(FetchReply::new(&candidate.sheet, stamp, false, request));
        }
        let in_force = self.in_force.as_ref()?;
        let stamp = in_force.stamp();
        Some(FetchReply::new(in_force.sheet(), stamp, true, request))
    }

    /// Ends a pending fetch from `peer` as failed.
    pub(super) fn record_failed_fetch(&mut self, now: ClockTime, peer: &InstanceId) {
        if self.fetch.as_ref().is_some_and(|fetch| fetch.peer == *peer) {
            self.fetch = None;
            self.next_fetch_at = now + FETCH_BACKOFF;
            self.peers.record_failed_fetch(peer);
        }
    }

    /// Puts a fetched sheet in force, or makes it a candidate if the peer has not accepted it either.
    pub(super) fn apply_reply(
        &mut self,
        now: ClockTime,
        peer: InstanceId,
        reply: FetchReply,
        actions: &mut Vec<SheetAction>,
    ) {
        let (stamp, is_accepted) = (reply.stamp, reply.is_accepted);
        let held = self.in_force.as_ref().map(|sheet| sheet.sheet());
        let sheet = match reply.assemble(held) {
            Ok(sheet) => sheet,
            Err(error) => {
                self.record_failed_fetch(now, &peer);
                let reason = error.to_string();
                actions.push(SheetAction::DiscardReply { peer, reason });
                return;
            }
        };
        if self.fetch.as_ref().is_some_and(|fetch| fetch.peer == peer) {
            self.fetch = None;
        }
        self.peers.reset_failed_fetches(&peer);
        self.peers.record_supplied_sheet(&peer, stamp, is_accepted);
        match is_accepted {
            true => self.put_in_force(sheet.adopt(stamp.revision), actions),
            false => self.offer_candidate(sheet, stamp.revision, actions),
        }
    }

    /// Ends a pending fetch as failed when its deadline has passed.
    pub(super) fn expire_fetch(&mut self, now: ClockTime) {
        let expired = self.fetch.as_ref().filter(|fetch| now >= fetch.deadline);
        if let Some(peer) = expired.map(|fetch| fetch.peer.clone()) {
            self.record_failed_fetch(now, &peer);
        }
    }

    /// Gets the sheet that a peer has and this instance needs: from the sheets held here, or by a fetch.
    pub(super) fn start_fetch(&mut self, now: ClockTime, actions: &mut Vec<SheetAction>) {
        let Some((stamp, peer)) = self.needed_sheet() else {
            return;
        };
        if let Some(sheet) = self.held_content(stamp) {
            self.put_in_force(sheet, actions);
            return;
        }
        if self.fetch.is_some() || now < self.next_fetch_at {
            return;
        }
        let held = self.in_force.as_ref().map(|sheet| sheet.sheet());
        let request = FetchRequest::new(stamp.digest, held);
        self.fetch = Some(PendingFetch {
            peer: peer.clone(),
            stamp,
            deadline: now + self.settings.fetch_timeout,
        });
        actions.push(SheetAction::Fetch {
            peer,
            stamp,
            request,
        });
    }

    /// Returns the sheet to get from a peer, and the peer: a sheet in force that takes precedence over the sheet in
    /// force here, or else a candidate that takes precedence over the candidates here.
    fn needed_sheet(&self) -> Option<(SheetStamp, InstanceId)> {
        let accepted = self.peers.best_accepted();
        if let Some((stamp, peer)) = accepted
            && Some(stamp) > self.stamp()
        {
            return Some((stamp, peer));
        }
        let (stamp, peer) = self.peers.best_candidate()?;
        let is_needed = self.is_successor(stamp)
            && Some(stamp) > self.highest_candidate()
            && !self.was_refused(stamp.digest);
        is_needed.then_some((stamp, peer))
    }

    /// Returns whether `stamp` has a higher version than the sheet in force.
    fn is_successor(&self, stamp: SheetStamp) -> bool {
        self.stamp()
            .is_none_or(|own_stamp| stamp.version > own_stamp.version)
    }

    /// Returns the sheet `stamp` that a peer has in force, if this instance already holds its content.
    fn held_content(&self, stamp: SheetStamp) -> Option<AcceptedSheet> {
        let is_accepted = self.peers.best_accepted().map(|(best, _)| best) == Some(stamp);
        if !is_accepted {
            return None;
        }
        let in_force = self.in_force.as_ref().map(|sheet| sheet.sheet());
        let candidates = self.candidate.iter().chain(&self.next_candidate);
        in_force
            .into_iter()
            .chain(candidates.map(|candidate| &candidate.sheet))
            .find(|sheet| sheet.digest == stamp.digest)
            .map(|sheet| sheet.clone().adopt(stamp.revision))
    }
}
