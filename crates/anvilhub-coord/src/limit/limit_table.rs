use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::CallRate;
use crate::time::ClockTime;

use super::{
    LimitChange, LimitNote, SendAllowance, SendCounts, SendPermit, StatedLimit, UpstreamProcess,
};

/// Time for which a statement of an upstream is believed without a newer one. An instance with a share hears from the
/// upstream within two seconds, and others hear of that within four.
const MAX_STATEMENT_AGE: Duration = Duration::from_secs(10);
/// Time between two requests with which an instance asks an upstream whose last statement is too old.
const ASKING_INTERVAL: Duration = Duration::from_secs(10);
/// Time for which a limit that has ended is remembered, so that older notes do not bring it back, and after which a
/// limit of which nothing is heard is forgotten.
const MEMORY: Duration = Duration::from_secs(60);
/// How long a share is used before it is computed again from the instances that are known then.
const SHARE_LIFETIME: Duration = Duration::from_millis(200);
/// Maximum number of limits that are passed on at once, the youngest first.
const MAX_NOTES: usize = 256;

/// The limits that upstreams have named, to this instance or to others, and what this instance may still send.
///
/// Designed for an upstream in need that hundreds of instances send to: each instance sees a part of its answers, and
/// hears of the others from its peers.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    limits: BTreeMap<UpstreamProcess, KnownLimit>,
}

#[derive(Clone, Debug, Default)]
struct KnownLimit {
    /// The limit; `None` if the upstream no longer names one.
    limit: Option<CallRate>,
    /// When an instance heard this from the upstream.
    stated_at: ClockTime,
    allowance: SendAllowance,
    /// When the share of this instance was computed; `None` before the first time.
    shared_at: Option<ClockTime>,
    /// When this instance last asked the upstream although its statement was too old; `None` if it never did.
    asked_at: Option<ClockTime>,
    sends: SendCounts,
}

impl KnownLimit {
    fn is_outdated(&self, now: ClockTime) -> bool {
        now.since(self.stated_at) >= MAX_STATEMENT_AGE
    }

    /// Replaces the statement; returns the change, if there is one.
    fn replace(&mut self, stated_at: ClockTime, limit: Option<CallRate>) -> Option<LimitChange> {
        self.stated_at = stated_at;
        let before = std::mem::replace(&mut self.limit, limit);
        if before == limit {
            return None;
        }
        self.shared_at = None;
        Some(LimitChange { before, limit })
    }

    /// Returns whether a request may be sent now. `compute_share` returns the share of this instance of a limit.
    fn permit(
        &mut self,
        now: ClockTime,
        compute_share: impl FnOnce(CallRate) -> CallRate,
    ) -> SendPermit {
        let Some(limit) = self.limit else {
            return SendPermit::Unlimited;
        };
        if self.is_outdated(now) {
            let wait = self.asked_at.map_or(Duration::ZERO, |asked_at| {
                ASKING_INTERVAL.saturating_sub(now.since(asked_at))
            });
            return match wait.is_zero() {
                true => SendPermit::Granted,
                false => SendPermit::Denied { wait },
            };
        }
        if self
            .shared_at
            .is_none_or(|shared_at| now.since(shared_at) >= SHARE_LIFETIME)
        {
            self.allowance.set_share(now, compute_share(limit));
            self.shared_at = Some(now);
        }
        match self.allowance.wait(now) {
            Some(Duration::ZERO) => SendPermit::Granted,
            Some(wait) => SendPermit::Denied { wait },
            // Other instances share the limit. One of them may have room after the time that one request takes of it.
            None => SendPermit::Denied {
                wait: Duration::try_from_secs_f64(1.0 / limit.get()).unwrap_or(ASKING_INTERVAL),
            },
        }
    }
}

impl LimitTable {
    /// Records what an answer of `process` that arrived at `now` states; returns the change, if there is one. An answer
    /// without a limit ends a known limit only if the upstream ran the request, since a refusal may come from a part of
    /// it that names none.
    pub fn record_answer(
        &mut self,
        now: ClockTime,
        process: &UpstreamProcess,
        stated: StatedLimit,
        has_run: bool,
    ) -> Option<LimitChange> {
        let limit = match stated {
            StatedLimit::Rate(rate) => Some(rate),
            StatedLimit::Absent if has_run && self.is_limited(process) => None,
            StatedLimit::Absent | StatedLimit::Malformed => return None,
        };
        self.known(now, process).replace(now, limit)
    }

    /// Records what another instance passed on; returns the change, if there is one. A note that is no younger than
    /// what is known is ignored.
    pub fn record_note(&mut self, now: ClockTime, note: &LimitNote) -> Option<LimitChange> {
        let age = Duration::from_millis(note.age_ms);
        let is_rate = |rate: CallRate| rate.get().is_finite() && rate.get() >= 0.0;
        if age >= MAX_STATEMENT_AGE || !note.limit.is_none_or(is_rate) {
            return None;
        }
        let stated_at = now - age;
        let known = self.limits.get(&note.upstream);
        if known.is_some_and(|known| known.stated_at >= stated_at) {
            return None;
        }
        self.known(now, &note.upstream)
            .replace(stated_at, note.limit)
    }

    /// Returns what to pass on to other instances.
    pub fn notes(&self, now: ClockTime) -> Vec<LimitNote> {
        let current = self
            .limits
            .iter()
            .filter(|(_, known)| !known.is_outdated(now));
        let mut notes: Vec<LimitNote> = current
            .map(|(process, known)| LimitNote {
                upstream: process.clone(),
                limit: known.limit,
                age_ms: u64::try_from(now.since(known.stated_at).as_millis()).unwrap_or(u64::MAX),
            })
            .collect();
        notes.sort_by_key(|note| note.age_ms);
        notes.truncate(MAX_NOTES);
        notes
    }

    /// Returns whether a request may be sent to `process`. `compute_share` returns the share of this instance of a
    /// limit that the upstream names.
    pub fn permit(
        &mut self,
        now: ClockTime,
        process: &UpstreamProcess,
        compute_share: impl FnOnce(CallRate) -> CallRate,
    ) -> SendPermit {
        match self.limits.get_mut(process) {
            Some(known) => known.permit(now, compute_share),
            None => SendPermit::Unlimited,
        }
    }

    /// Takes the room of a request for which `permit` was not denied. `is_extra` is whether it is a hedge or a retry.
    pub fn record_send(&mut self, now: ClockTime, process: &UpstreamProcess, is_extra: bool) {
        let Some(known) = self.limits.get_mut(process) else {
            return;
        };
        known.sends.add(is_extra);
        match known.is_outdated(now) {
            true => known.asked_at = Some(now),
            false => _ = known.allowance.try_take(now),
        }
    }

    /// Gives back the room of a request that was not sent after all.
    pub fn record_unsent(&mut self, process: &UpstreamProcess) {
        if let Some(known) = self.limits.get_mut(process) {
            known.allowance.give_back();
        }
    }

    /// Forgets the limits of which nothing was heard for long.
    pub fn forget_old(&mut self, now: ClockTime) {
        self.limits
            .retain(|_, known| now.since(known.stated_at) < MEMORY);
    }

    /// Returns the limits in force, with the attempts sent since the last call.
    pub fn take_send_counts(&mut self) -> Vec<(UpstreamProcess, CallRate, SendCounts)> {
        let taken = self.limits.iter_mut().filter_map(|(process, known)| {
            let sends = std::mem::take(&mut known.sends);
            Some((process.clone(), known.limit?, sends))
        });
        taken.collect()
    }

    fn is_limited(&self, process: &UpstreamProcess) -> bool {
        let known = self.limits.get(process);
        known.is_some_and(|known| known.limit.is_some())
    }

    fn known(&mut self, now: ClockTime, process: &UpstreamProcess) -> &mut KnownLimit {
        let new_limit = || KnownLimit {
            allowance: SendAllowance::new(now, CallRate::default()),
            ..KnownLimit::default()
        };
        self.limits.entry(process.clone()).or_insert_with(new_limit)
    }
}
