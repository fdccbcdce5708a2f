use std::time::Duration;

use crate::time::ClockTime;

/// The priorities of the attempts that wait in a queue, and for how long each has been passed over.
#[derive(Clone, Debug, Default)]
pub(super) struct PriorityLevels {
    /// The priorities with waiting attempts, the highest first.
    levels: Vec<PriorityLevel>,
}

/// The waiting attempts of one priority.
#[derive(Clone, Copy, Debug)]
struct PriorityLevel {
    priority: u32,
    waiting_count: usize,
    /// The shortest of the attempts' bounds on being passed over.
    max_passed_over: Duration,
    /// When a higher priority was first preferred since the last grant to this one.
    passed_over_since: Option<ClockTime>,
}

impl PriorityLevels {
    /// Adds a waiting attempt.
    pub(super) fn add(&mut self, priority: u32, max_passed_over: Duration) {
        let position = self
            .levels
            .binary_search_by_key(&priority, |level| level.priority);
        match position {
            Ok(index) => {
                let level = &mut self.levels[index];
                level.waiting_count += 1;
                level.max_passed_over = level.max_passed_over.min(max_passed_over);
            }
            Err(index) => {
                let level = PriorityLevel {
                    priority,
                    waiting_count: 1,
                    max_passed_over,
                    passed_over_since: None,
                };
                self.levels.insert(index, level);
            }
        }
    }

    /// Removes an attempt that no longer waits.
    pub(super) fn remove(&mut self, priority: u32) {
        let position = self
            .levels
            .binary_search_by_key(&priority, |level| level.priority);
        let Ok(index) = position else {
            return;
        };
        self.levels[index].waiting_count -= 1;
        if self.levels[index].waiting_count == 0 {
            self.levels.remove(index);
        }
    }

    /// Records that an attempt of this priority gets capacity and that the waiting ones of lower priorities do not. Call
    /// `remove` as well if the attempt waited.
    pub(super) fn record_grant(&mut self, now: ClockTime, priority: u32) {
        for level in &mut self.levels {
            if level.priority == priority {
                level.passed_over_since = None;
            } else if level.priority > priority {
                level.passed_over_since.get_or_insert(now);
            }
        }
    }

    /// Returns the priority that has been passed over up to its bound, and for how long; the one that reached it first if
    /// there are several.
    pub(super) fn overdue(&self, now: ClockTime) -> Option<(u32, Duration)> {
        let due = self.levels.iter().filter_map(|level| {
            let since = level.passed_over_since?;
            Some((since + level.max_passed_over, since, level.priority))
        });
        let (_, since, priority) = due.filter(|(bound, ..)| *bound <= now).min()?;
        Some((priority, now.since(since)))
    }

    /// Returns the highest priority that waits.
    pub(super) fn highest(&self) -> Option<u32> {
        self.levels.first().map(|level| level.priority)
    }
}
