use std::time::Duration;

use crate::ids::CallRate;
use crate::time::ClockTime;

/// Time whose share of a limit an instance may save up while it sends nothing. Short, since the instances that share a
/// limit may all send what they saved at the same moment.
const MAX_SAVED_TIME: Duration = Duration::from_millis(500);

/// The requests that an instance may send to an upstream now: a token bucket that is refilled at the instance's share
/// of the upstream's limit. It starts empty, so that instances that take over shares from each other do not send twice
/// what the limit allows.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SendAllowance {
    share: CallRate,
    level: f64,
    updated_at: ClockTime,
}

impl SendAllowance {
    /// Creates an allowance without room that is refilled at `share` from `now` on.
    pub fn new(now: ClockTime, share: CallRate) -> Self {
        Self {
            share,
            level: 0.0,
            updated_at: now,
        }
    }

    /// Changes the share; what was saved up before is kept as far as the new share allows.
    pub fn set_share(&mut self, now: ClockTime, share: CallRate) {
        self.refill(now);
        self.share = share;
        self.level = self.level.min(self.capacity());
    }

    /// Returns how long it takes until a request may be sent, zero if one may be sent now; `None` if none ever may.
    pub fn wait(&self, now: ClockTime) -> Option<Duration> {
        let missing = 1.0 - self.level_at(now);
        if missing <= 0.0 {
            return Some(Duration::ZERO);
        }
        let seconds = missing / self.share.get();
        Duration::try_from_secs_f64(seconds).ok()
    }

    /// Takes the room of one request; returns whether there was any.
    pub fn try_take(&mut self, now: ClockTime) -> bool {
        self.refill(now);
        let has_room = self.level >= 1.0;
        if has_room {
            self.level -= 1.0;
        }
        has_room
    }

    /// Gives back the room of a request that was not sent.
    pub fn give_back(&mut self) {
        self.level = (self.level + 1.0).min(self.capacity());
    }

    fn refill(&mut self, now: ClockTime) {
        self.level = self.level_at(now);
        self.updated_at = now;
    }

    fn level_at(&self, now: ClockTime) -> f64 {
        let refilled = self.share.get() * now.since(self.updated_at).as_secs_f64();
        (self.level + refilled).min(self.capacity())
    }

    /// Returns the largest level: a whole request at least, so that a small share is of use at all.
    fn capacity(&self) -> f64 {
        let saved = self.share.get() * MAX_SAVED_TIME.as_secs_f64();
        match self.share.get() > 0.0 {
            true => saved.max(1.0),
            false => 0.0,
        }
    }
}
