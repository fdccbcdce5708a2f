use crate::ids::{PlatformRevision, SheetDigest};
use crate::mutation;
use crate::sheet::{CheckedSheet, SheetFault, SheetStamp, SheetStep};
use crate::time::ClockTime;

use super::candidate_sheet::CandidateSheet;
use super::{SheetAcceptor, SheetAction, SheetAlarm};

/// A candidate that was refused, and the sheet in force at that time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Refusal {
    digest: SheetDigest,
    in_force: Option<SheetStamp>,
}

impl SheetAcceptor {
    /// Takes a value that the platform served.
    pub(super) fn read_platform(
        &mut self,
        requested_at: ClockTime,
        revision: PlatformRevision,
        bytes: &[u8],
        actions: &mut Vec<SheetAction>,
    ) {
        self.platform_down = false;
        let value = (revision, SheetDigest::compute(bytes));
        let is_repeated = self.last_read.replace(value) == Some(value);
        let mut reactions = Vec::new();
        match CheckedSheet::from_bytes(bytes) {
            Ok(sheet) => self.compare_platform(requested_at, sheet, revision, &mut reactions),
            Err(faults) => reactions.push(SheetAction::Refuse { revision, faults }),
        }
        let is_log = |action: &SheetAction| {
            matches!(
                action,
                SheetAction::Refuse { .. } | SheetAction::IgnoreStale { .. }
            )
        };
        reactions.retain(|action| !is_repeated || !is_log(action));
        actions.append(&mut reactions);
    }

    fn compare_platform(
        &mut self,
        requested_at: ClockTime,
        sheet: CheckedSheet,
        revision: PlatformRevision,
        actions: &mut Vec<SheetAction>,
    ) {
        let is_same = self
            .stamp()
            .is_some_and(|own| own.digest == sheet.digest && requested_at >= self.valid_from);
        self.served = is_same;
        self.platform_stale = self.stale_alarm(&sheet);
        self.offer(sheet, revision, actions);
    }

    /// Makes `sheet` the candidate if it may succeed the sheet in force and the present candidate.
    pub(super) fn offer(
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
        let waits = self.waits_for_candidate(stamp);
        // The step of a sheet that waits is checked when the one before it is in force or refused.
        let faults = match waits {
            true => self.conflict_faults(stamp),
            false => self.step_faults(&candidate.sheet, stamp),
        };
        if !faults.is_empty() {
            self.refuse(stamp, faults, actions);
            return;
        }
        let slot = match waits {
            true => &mut self.next_candidate,
            false => &mut self.candidate,
        };
        if let Some(rival) = slot.replace(candidate) {
            self.report_rival(rival.stamp(), stamp, actions);
        }
    }

    /// Says whether a candidate of a lower version settles and comes first. One that may not be accepted, as
    /// it would revert a sheet that a peer had in force, gives way.
    fn waits_for_candidate(&self, stamp: SheetStamp) -> bool {
        let is_settling = |candidate: &CandidateSheet| {
            candidate.settles_at.is_some() && candidate.sheet.version < stamp.version
        };
        self.candidate.as_ref().is_some_and(is_settling) && self.lost_sheet().is_none()
    }

    /// Makes the waiting sheet the candidate when there is none.
    pub(super) fn promote_next(&mut self, actions: &mut Vec<SheetAction>) {
        if self.candidate.is_some() {
            return;
        }
        if let Some(next) = self.next_candidate.take() {
            self.offer(next.sheet, next.revision, actions);
        }
    }

    /// The candidate or the sheet that waits behind it.
    pub(super) fn highest_candidate(&self) -> Option<SheetStamp> {
        let next = self.next_candidate.as_ref().map(CandidateSheet::stamp);
        self.candidate().max(next)
    }

    /// Stamps of the sheet in force, the candidate and the sheet that waits behind it.
    fn own_stamps(&self) -> impl Iterator<Item = SheetStamp> {
        let next = self.next_candidate.as_ref().map(CandidateSheet::stamp);
        [self.stamp(), self.candidate(), next].into_iter().flatten()
    }

    /// Accepts the settled candidate.
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

    /// Checks the candidate against a sheet that was just put in force.
    pub(super) fn recheck_candidate(&mut self, actions: &mut Vec<SheetAction>) {
        let Some(candidate) = self.candidate.take() else {
            return;
        };
        let stamp = candidate.stamp();
        let own = self.stamp();
        if own.is_some_and(|own| own.digest == stamp.digest) {
            return;
        }
        if own.is_some_and(|own| stamp.version < own.version) {
            self.platform_stale = self.stale_alarm(&candidate.sheet);
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

    /// Says whether the sheet `digest` was refused against the sheet that is in force now.
    pub(super) fn was_refused(&self, digest: SheetDigest) -> bool {
        let in_force = self.stamp();
        self.refusal == Some(Refusal { digest, in_force })
    }

    fn refuse(
        &mut self,
        stamp: SheetStamp,
        faults: Vec<SheetFault>,
        actions: &mut Vec<SheetAction>,
    ) {
        self.refusal = Some(Refusal {
            digest: stamp.digest,
            in_force: self.stamp(),
        });
        let revision = stamp.revision;
        actions.push(SheetAction::Refuse { revision, faults });
    }

    fn is_held(&self, digest: SheetDigest) -> bool {
        self.own_stamps().any(|own| own.digest == digest)
    }

    /// Says whether `stamp` is below the sheet in force or a candidate.
    fn is_older(&self, stamp: SheetStamp) -> bool {
        if mutation::is_active("accept_older_sheet") {
            return false;
        }
        self.own_stamps().any(|own| stamp.version < own.version)
    }

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
        let step = SheetStep::new(in_force.sheet(), sheet);
        step.check().err().unwrap_or_default()
    }

    fn conflict_faults(&mut self, stamp: SheetStamp) -> Vec<SheetFault> {
        let in_force = self.stamp();
        let conflict = self
            .own_stamps()
            .filter(|own| Some(*own) == in_force || *own > stamp)
            .find(|own| own.conflicts_with(&stamp));
        let Some(other) = conflict else {
            return Vec::new();
        };
        self.conflict = Some(other);
        vec![conflict_fault(stamp, other)]
    }

    /// Reports a candidate that gave way to another one of the same version.
    fn report_rival(
        &mut self,
        rival: SheetStamp,
        winner: SheetStamp,
        actions: &mut Vec<SheetAction>,
    ) {
        if !rival.conflicts_with(&winner) {
            return;
        }
        self.conflict = Some(winner);
        actions.push(SheetAction::Refuse {
            revision: rival.revision,
            faults: vec![conflict_fault(rival, winner)],
        });
    }

    fn stale_alarm(&self, sheet: &CheckedSheet) -> Option<SheetAlarm> {
        let in_force = self.stamp()?.version;
        let served = sheet.version;
        (served < in_force).then_some(SheetAlarm::PlatformStale { served, in_force })
    }
}

fn conflict_fault(stamp: SheetStamp, other: SheetStamp) -> SheetFault {
    SheetFault::new(
        "/version",
        format!(
            "version {} with content {} of revision {}",
            stamp.version, stamp.digest, stamp.revision
        ),
        format!(
            "one content for each version; revision {} has {}",
            other.revision, other.digest
        ),
        "publish again under a higher version",
    )
}
