use crate::ids::{PlatformRevision, SheetDigest};
use crate::mutation;
use crate::sheet::{CheckedSheet, SheetFault, SheetStamp, SheetTransition};
use crate::time::ClockTime;

use super::candidate_sheet::CandidateSheet;
use super::{SheetAcceptor, SheetAction, SheetAlarm};

/// The last sheet that was refused, and the sheet that was in force at that time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SheetRefusal {
    digest: SheetDigest,
    in_force: Option<SheetStamp>,
}

/// Decides whether an offered sheet becomes the candidate.
impl SheetAcceptor {
    /// Handles a value that the platform served.
    pub(super) fn handle_platform_value(
        &mut self,
        requested_at: ClockTime,
        revision: PlatformRevision,
        bytes: &[u8],
        actions: &mut Vec<SheetAction>,
    ) {
        self.is_platform_unreachable = false;
        let value = (revision, SheetDigest::compute(bytes));
        let is_repeated = self.last_read.replace(value) == Some(value);
        let mut new_actions = Vec::new();
        match CheckedSheet::from_bytes(bytes) {
            Ok(sheet) => {
                self.handle_platform_sheet(requested_at, sheet, revision, &mut new_actions);
            }
            Err(faults) => new_actions.push(SheetAction::Refuse { revision, faults }),
        }
        let is_log_action = |action: &SheetAction| {
            matches!(
                action,
                SheetAction::Refuse { .. } | SheetAction::IgnoreStale { .. }
            )
        };
        new_actions.retain(|action| !is_repeated || !is_log_action(action));
        actions.append(&mut new_actions);
    }

    fn handle_platform_sheet(
        &mut self,
        requested_at: ClockTime,
        sheet: CheckedSheet,
        revision: PlatformRevision,
        actions: &mut Vec<SheetAction>,
    ) {
        self.is_served_by_platform = self.stamp().is_some_and(|own_stamp| {
            own_stamp.digest == sheet.digest && requested_at >= self.valid_from
        });
        self.stale_alarm = self.check_stale(&sheet);
        self.offer_candidate(sheet, revision, actions);
    }

    /// Makes `sheet` the candidate, or the next candidate, if it may succeed the sheet in force and the current
    /// candidate.
    pub(super) fn offer_candidate(
        &mut self,
        sheet: CheckedSheet,
        revision: PlatformRevision,
        actions: &mut Vec<SheetAction>,
    ) {
        let candidate = CandidateSheet::new(sheet, revision);
        let stamp = candidate.stamp();
        if self.is_held(stamp.digest) || self.was_refused(stamp.digest) {
            return;
        }
        if self.is_older(stamp) {
            let version = stamp.version;
            actions.push(SheetAction::IgnoreStale { revision, version });
            return;
        }
        let must_wait = self.must_wait_for_candidate(stamp);
        // The step to a sheet that has to wait is checked when the candidate before it is in force or refused.
        let faults = match must_wait {
            true => self.conflict_faults(stamp),
            false => self.step_faults(&candidate.sheet, stamp),
        };
        if !faults.is_empty() {
            self.refuse(stamp, faults, actions);
            return;
        }
        let target = match must_wait {
            true => &mut self.next_candidate,
            false => &mut self.candidate,
        };
        if let Some(replaced) = target.replace(candidate) {
            self.report_conflict(replaced.stamp(), stamp, actions);
        }
    }

    /// Returns whether the sheet `stamp` has to wait because a candidate with a lower version is settling. A candidate
    /// that cannot be accepted, because it would revert a sheet that a peer had in force, is replaced instead.
    fn must_wait_for_candidate(&self, stamp: SheetStamp) -> bool {
        let is_settling = |candidate: &CandidateSheet| {
            candidate.settles_at.is_some() && candidate.sheet.version < stamp.version
        };
        self.candidate.as_ref().is_some_and(is_settling) && self.lost_sheet().is_none()
    }

    /// Makes the next candidate the candidate if there is none.
    pub(super) fn promote_next_candidate(&mut self, actions: &mut Vec<SheetAction>) {
        if self.candidate.is_some() {
            return;
        }
        if let Some(next) = self.next_candidate.take() {
            self.offer_candidate(next.sheet, next.revision, actions);
        }
    }

    /// Returns the higher stamp of the candidate and the next candidate.
    pub(super) fn highest_candidate(&self) -> Option<SheetStamp> {
        let next = self.next_candidate.as_ref().map(CandidateSheet::stamp);
        self.candidate().max(next)
    }

    /// Returns the stamps of the sheet in force, the candidate and the next candidate.
    fn own_stamps(&self) -> impl Iterator<Item = SheetStamp> {
        let next = self.next_candidate.as_ref().map(CandidateSheet::stamp);
        [self.stamp(), self.candidate(), next].into_iter().flatten()
    }

    /// Puts the candidate in force when its settling time has passed, or refuses it if it may not succeed the sheet in
    /// force.
    pub(super) fn accept_candidate(&mut self, actions: &mut Vec<SheetAction>) {
        let Some(candidate) = self.candidate.take() else {
            return;
        };
        let stamp = candidate.stamp();
        if mutation::is_active("accept_older_sheet") {
            self.put_in_force(candidate.sheet.adopt(stamp.revision), actions);
            return;
        }
        let in_force = self.in_force.clone();
        match candidate.sheet.accept(in_force.as_deref(), stamp.revision) {
            Ok(sheet) => self.put_in_force(sheet, actions),
            Err(faults) => self.refuse(stamp, faults, actions),
        }
    }

    /// Checks the candidate again after another sheet was put in force.
    pub(super) fn recheck_candidate(&mut self, actions: &mut Vec<SheetAction>) {
        let Some(candidate) = self.candidate.take() else {
            return;
        };
        let stamp = candidate.stamp();
        let in_force = self.stamp();
        if in_force.is_some_and(|in_force| in_force.digest == stamp.digest) {
            return;
        }
        if in_force.is_some_and(|in_force| stamp.version < in_force.version) {
            self.stale_alarm = self.check_stale(&candidate.sheet);
            actions.push(SheetAction::IgnoreStale {
                revision: stamp.revision,
                version: stamp.version,
            });
            return;
        }
        let faults = self.step_faults(&candidate.sheet, stamp);
        if !faults.is_empty() {
            self.refuse(stamp, faults, actions);
            return;
        }
        self.candidate = Some(candidate);
    }

    /// Returns whether the sheet with the given digest was the last one refused, with the same sheet in force as now.
    pub(super) fn was_refused(&self, digest: SheetDigest) -> bool {
        let in_force = self.stamp();
        self.refusal == Some(SheetRefusal { digest, in_force })
    }

    fn refuse(
        &mut self,
        stamp: SheetStamp,
        faults: Vec<SheetFault>,
        actions: &mut Vec<SheetAction>,
    ) {
        self.refusal = Some(SheetRefusal {
            digest: stamp.digest,
            in_force: self.stamp(),
        });
        let revision = stamp.revision;
        actions.push(SheetAction::Refuse { revision, faults });
    }

    /// Returns whether the sheet in force or a candidate has the given digest.
    fn is_held(&self, digest: SheetDigest) -> bool {
        self.own_stamps()
            .any(|own_stamp| own_stamp.digest == digest)
    }

    /// Returns whether `stamp` has a lower version than the sheet in force or a candidate.
    fn is_older(&self, stamp: SheetStamp) -> bool {
        if mutation::is_active("accept_older_sheet") {
            return false;
        }
        self.own_stamps()
            .any(|own_stamp| stamp.version < own_stamp.version)
    }

    /// Returns the reasons why `sheet` may not succeed the sheet in force.
    fn step_faults(&mut self, sheet: &CheckedSheet, stamp: SheetStamp) -> Vec<SheetFault> {
        if mutation::is_active("accept_older_sheet") {
            return Vec::new();
        }
        let faults = self.conflict_faults(stamp);
        if !faults.is_empty() {
            return faults;
        }
        let Some(in_force) = &self.in_force else {
            return Vec::new();
        };
        let transition = SheetTransition::new(in_force.sheet(), sheet);
        transition.check().err().unwrap_or_default()
    }

    /// Returns a fault if the version of `stamp` has another content in the sheet in force or in a candidate that takes
    /// precedence.
    fn conflict_faults(&mut self, stamp: SheetStamp) -> Vec<SheetFault> {
        let in_force = self.stamp();
        let conflict = self
            .own_stamps()
            .filter(|own_stamp| Some(*own_stamp) == in_force || *own_stamp > stamp)
            .find(|own_stamp| own_stamp.conflicts_with(&stamp));
        let Some(kept) = conflict else {
            return Vec::new();
        };
        self.conflict = Some(kept);
        vec![conflict_fault(stamp, kept)]
    }

    /// Reports a candidate that was replaced by another one of the same version.
    fn report_conflict(
        &mut self,
        replaced: SheetStamp,
        kept: SheetStamp,
        actions: &mut Vec<SheetAction>,
    ) {
        if !replaced.conflicts_with(&kept) {
            return;
        }
        self.conflict = Some(kept);
        actions.push(SheetAction::Refuse {
            revision: replaced.revision,
            faults: vec![conflict_fault(replaced, kept)],
        });
    }

    /// Returns an alarm if the platform serves a lower version than the one in force.
    fn check_stale(&self, sheet: &CheckedSheet) -> Option<SheetAlarm> {
        let in_force = self.stamp()?.version;
        let served = sheet.version;
        (served < in_force).then_some(SheetAlarm::PlatformStale { served, in_force })
    }
}

fn conflict_fault(refused: SheetStamp, kept: SheetStamp) -> SheetFault {
    SheetFault::new(
        "/version",
        format!(
            "version {} with content {} of revision {}",
            refused.version, refused.digest, refused.revision
        ),
        format!(
            "one content for each version; revision {} has {}",
            kept.revision, kept.digest
        ),
        "publish again under a higher version",
    )
}
