use std::time::Duration;

use crate::time::ClockTime;

/// Time without a sign of any upstream, while attempts wait for one, after which an instance doubts its links. Answers of
/// sound upstreams arrive within a fraction of it.
const SILENCE: Duration = Duration::from_millis(250);
/// Maximum of the same time. It grows while probes reach upstreams that are merely slow to answer, so that these are not
/// probed without end.
const MAX_SILENCE: Duration = Duration::from_secs(1);
/// Maximum number of times that `SILENCE` is doubled; enough to exceed `MAX_SILENCE`.
const MAX_DOUBLINGS: u32 = 4;
/// Number of attempts waiting in a silence from which `SILENCE` holds. Fewer may all be at one upstream that has paused, so
/// that `MAX_SILENCE` holds for them.
const MANY_SILENT_SENDS: u32 = 3;
/// Failures in a row to open a connection from which an instance doubts its links.
const MIN_OPEN_FAILURES: u32 = 2;
/// Time for which a failure to open a connection is a reason for doubt.
const FAILURE_MEMORY: Duration = Duration::from_secs(1);
/// Minimum time between the starts of two rounds of probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum number of upstreams that must be out of reach at once. A single one may have ended.
const MIN_PROBES: usize = 2;
/// Time after the end of a cut in which an instance takes back more and more of its requests, so that many that return at
/// once do not open all their connections at the same moment.
const RETURN_TIME: Duration = Duration::from_secs(1);

/// A change of an instance's reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachChange {
    /// It reaches no upstream any more.
    CutOff,
    /// It reaches upstreams again, after this time.
    Returned {
        /// How long it reached none.
        after: Duration,
    },
}

/// Whether an instance reaches the upstreams at all.
///
/// Designed for an instance whose links to all upstreams are cut while callers and other instances reach it: connections
/// hang, or are reset and refused, or live on while new ones are refused. Failures of requests alone do not tell whether
/// the instance is cut off or upstreams have ended. They give reason for a few probes at once, of upstreams that have not
/// failed if there are any; only if all of these fail, with no sign of any upstream meanwhile, is the instance cut off.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReachState {
    /// When an upstream last gave a sign of itself.
    contact_at: Option<ClockTime>,
    /// When attempts began to wait for the next sign; `None` if none waits.
    waiting_since: Option<ClockTime>,
    /// Number of attempts that were sent since the last sign, or had not ended then.
    waiting_count: u32,
    /// Number of attempts that have not ended.
    in_flight_count: u32,
    /// Rounds of probes that reached an upstream, since one gave a sign of its own accord.
    reached_rounds: u32,
    /// Failures to open a connection since one was last opened.
    open_failures: u32,
    last_open_failure_at: Option<ClockTime>,
    probed_at: Option<ClockTime>,
    /// Whether the outcome of a round of probes is awaited.
    is_probing: bool,
    cut_off_since: Option<ClockTime>,
    returned_at: Option<ClockTime>,
}

impl ReachState {
    /// Records that an attempt begins.
    pub fn record_send(&mut self, now: ClockTime) {
        self.waiting_since.get_or_insert(now);
        self.waiting_count += 1;
        self.in_flight_count += 1;
    }

    /// Records that an attempt has ended, with or without an answer.
    pub fn record_end(&mut self) {
        self.in_flight_count = self.in_flight_count.saturating_sub(1);
    }

    /// Records that an upstream has sent something. Returns the change, if there is one.
    pub fn record_contact(&mut self, now: ClockTime) -> Option<ReachChange> {
        self.reached_rounds = 0;
        self.end_silence(now)
    }

    /// Records that a connection was opened. Returns the change, if there is one.
    pub fn record_open(&mut self, now: ClockTime) -> Option<ReachChange> {
        self.open_failures = 0;
        self.record_contact(now)
    }

    /// Begins to wait for the next sign of an upstream, at `now`. Attempts in flight go on waiting: a cut may begin while
    /// upstreams hold them, with no further attempt to show it.
    fn end_silence(&mut self, now: ClockTime) -> Option<ReachChange> {
        self.contact_at = Some(now);
        self.waiting_since = (self.in_flight_count > 0).then_some(now);
        self.waiting_count = self.in_flight_count;
        let since = self.cut_off_since.take()?;
        self.returned_at = Some(now);
        Some(ReachChange::Returned {
            after: now.since(since),
        })
    }

    /// Records that a connection could not be opened.
    pub fn record_open_failure(&mut self, now: ClockTime) {
        self.open_failures += 1;
        self.last_open_failure_at = Some(now);
    }

    /// Returns whether probes are due, and records that they begin.
    pub fn begin_probes(&mut self, now: ClockTime) -> bool {
        let is_due = self.next_probes_at(now).is_some_and(|due_at| due_at <= now);
        if is_due {
            self.probed_at = Some(now);
            self.is_probing = true;
        }
        is_due
    }

    /// Returns when the next probes are due if no upstream gives a sign and nothing else changes; `None` if there is no
    /// reason for any.
    pub fn next_probes_at(&self, now: ClockTime) -> Option<ClockTime> {
        let needed_at = match self.is_cut_off() || self.is_open_doubtful(now) {
            true => now,
            false => self.silent_at()?,
        };
        let allowed_at = self.probed_at.map(|probed_at| probed_at + PROBE_INTERVAL);
        Some(allowed_at.map_or(needed_at, |allowed_at| allowed_at.max(needed_at)))
    }

    /// Records the outcome of probes that began at `began_at`: how many of `asked` upstreams were reached. Returns the
    /// change, if there is one.
    pub fn record_probes(
        &mut self,
        now: ClockTime,
        began_at: ClockTime,
        asked: usize,
        reached: usize,
    ) -> Option<ReachChange> {
        self.is_probing = false;
        if reached > 0 {
            self.open_failures = 0;
            self.reached_rounds = self.reached_rounds.saturating_add(1);
            return self.end_silence(now);
        }
        let has_contact = self.contact_at.is_some_and(|contact| contact >= began_at);
        if asked < MIN_PROBES || has_contact || self.is_cut_off() {
            return None;
        }
        self.cut_off_since = Some(now);
        Some(ReachChange::CutOff)
    }

    /// Returns whether the instance reaches no upstream.
    pub fn is_cut_off(&self) -> bool {
        self.cut_off_since.is_some()
    }

    /// Returns whether the instance may reach no upstream: what it sends now may be lost.
    pub fn is_in_doubt(&self, now: ClockTime) -> bool {
        let is_silent = self.silent_at().is_some_and(|silent_at| silent_at <= now);
        is_silent || self.is_probing || self.is_cut_off()
    }

    /// Returns whether new connections have failed lately, whatever the open ones do.
    pub fn is_open_doubtful(&self, now: ClockTime) -> bool {
        let is_recent = self
            .last_open_failure_at
            .is_some_and(|failure| now.since(failure) < FAILURE_MEMORY);
        is_recent && self.open_failures >= MIN_OPEN_FAILURES
    }

    /// Returns whether a request is to go through another instance. `random` is a number from 0 to 1.
    pub fn prefers_relay(&self, now: ClockTime, random: f64) -> bool {
        let is_returning = self.returned_at.is_some_and(|returned_at| {
            now.since(returned_at).as_secs_f64() < RETURN_TIME.as_secs_f64() * random
        });
        self.is_cut_off() || is_returning
    }

    /// Returns when attempts will have waited too long for a sign of any upstream; `None` if none waits.
    fn silent_at(&self) -> Option<ClockTime> {
        let silence = match self.waiting_count >= MANY_SILENT_SENDS {
            true => {
                // The second round follows as soon as the first one, since a cut may have begun right after it.
                let doublings = self.reached_rounds.saturating_sub(1).min(MAX_DOUBLINGS);
                (SILENCE * (1 << doublings)).min(MAX_SILENCE)
            }
            false => MAX_SILENCE,
        };
        self.waiting_since.map(|since| since + silence)
    }
}
