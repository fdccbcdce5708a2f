use std::collections::VecDeque;
use std::time::Duration;

use crate::time::ClockTime;

/// Time within which an instance sends no more requests than its share to a cold upstream. A second, within which the
/// upstream counts, and a tenth, by which requests may arrive closer together than they were sent.
const WINDOW: Duration = Duration::from_millis(1_100);
/// Time for which room is kept for a request that was placed and not sent yet. An attempt may be dropped without notice.
const RESERVATION_LIFETIME: Duration = Duration::from_millis(500);

/// The requests that an instance may send to a cold upstream now.
///
/// Designed for an upstream that fails in the first second above its limit: unlike a token bucket, whose saved tokens
/// come on top of a second's refill, a sliding window never holds more requests than the share.
#[derive(Clone, Debug)]
pub struct ColdWindow {
    /// Number of requests in a window; 0 before the first call of `set_share`.
    share: u32,
    /// A larger share, and when it may be used. Until then another instance may still use its part of it.
    raised: Option<(u32, ClockTime)>,
    has_share: bool,
    /// Before this time nothing is sent: the upstream may just have got requests of which this window does not know.
    opens_at: ClockTime,
    /// Times at which requests were placed that were not sent yet.
    reserved: VecDeque<ClockTime>,
    /// Times at which requests were sent.
    sent: VecDeque<ClockTime>,
}

impl ColdWindow {
    /// Creates the window of an upstream that was found cold at `now`.
    pub fn new(now: ClockTime) -> Self {
        Self {
            share: 0,
            raised: None,
            has_share: false,
            opens_at: now + WINDOW,
            reserved: VecDeque::new(),
            sent: VecDeque::new(),
        }
    }

    /// Changes the share. A smaller one holds at once, a larger one after the length of a window.
    pub fn set_share(&mut self, now: ClockTime, share: u32) {
        self.apply_raise(now);
        if !self.has_share || share <= self.share {
            self.has_share = true;
            self.share = share;
            self.raised = None;
            return;
        }
        self.raised = match self.raised {
            Some((raised, from)) => Some((raised.min(share), from)),
            None => Some((share, now + WINDOW)),
        };
    }

    /// Returns how long it takes until a request may be placed, zero if one may be placed now; `None` if this instance
    /// has no share.
    pub fn wait(&mut self, now: ClockTime) -> Option<Duration> {
        self.forget_old(now);
        if self.share == 0 {
            return None;
        }
        let opening = self.opens_at.since(now);
        let taken = self.sent.len() + self.reserved.len();
        let Some(surplus) = taken.checked_sub(self.share as usize) else {
            return Some(opening);
        };
        let end = self
            .sent
            .get(surplus)
            .map_or(now + WINDOW, |sent_at| *sent_at + WINDOW);
        Some(end.since(now).max(opening))
    }

    /// Keeps room for a request that was placed.
    pub fn reserve(&mut self, now: ClockTime) {
        self.reserved.push_back(now);
    }

    /// Gives back the room of a request that was placed and not sent.
    pub fn release(&mut self) {
        self.reserved.pop_front();
    }

    /// Records that a request is sent now, if there is room for it; returns whether there is. The room may have been
    /// kept when the request was placed, but a request that was placed before the upstream became cold needs some too.
    pub fn try_send(&mut self, now: ClockTime) -> bool {
        self.forget_old(now);
        let has_room = now >= self.opens_at && self.sent.len() < self.share as usize;
        if has_room {
            self.reserved.pop_front();
            self.sent.push_back(now);
        }
        has_room
    }

    /// Records that a request for which there was room at `sent_at` did not reach the upstream. It counts as placed again,
    /// until it is released or too old.
    pub fn retract(&mut self, sent_at: ClockTime) {
        if let Some(index) = self.sent.iter().position(|time| *time == sent_at) {
            self.sent.remove(index);
            self.reserved.push_back(sent_at);
        }
    }

    fn forget_old(&mut self, now: ClockTime) {
        self.apply_raise(now);
        let is_old = |time: &ClockTime, lifetime| now.since(*time) >= lifetime;
        while self.sent.front().is_some_and(|time| is_old(time, WINDOW)) {
            self.sent.pop_front();
        }
        while self
            .reserved
            .front()
            .is_some_and(|time| is_old(time, RESERVATION_LIFETIME))
        {
            self.reserved.pop_front();
        }
    }

    fn apply_raise(&mut self, now: ClockTime) {
        if let Some((share, from)) = self.raised
            && now >= from
        {
            self.share = share;
            self.raised = None;
        }
    }
}
