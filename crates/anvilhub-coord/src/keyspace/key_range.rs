use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::KEY_SPACE_END;

/// A half-open range of keys, `start..end`.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{start}..{end}")]
pub struct KeyRange {
    /// First key of the range.
    pub start: u64,
    /// First key after the range.
    pub end: u64,
}

impl KeyRange {
    /// The whole key space.
    pub const WHOLE: Self = Self {
        start: 0,
        end: KEY_SPACE_END,
    };

    /// Creates the range `start..end`.
    pub fn new(start: u64, end: u64) -> Self {
        Self { start, end }
    }

    /// Creates the range that contains only `key`.
    pub fn single(key: u64) -> Self {
        Self {
            start: key,
            end: key.saturating_add(1),
        }
    }

    /// Returns the number of keys in the range.
    pub fn len(self) -> u64 {
        self.end.saturating_sub(self.start)
    }

    /// Returns whether the range contains no key.
    pub fn is_empty(self) -> bool {
        self.len() == 0
    }

    /// Returns whether the range contains `key`.
    pub fn contains(self, key: u64) -> bool {
        self.start <= key && key < self.end
    }

    /// Returns whether the range contains every key of `other`.
    pub fn covers(self, other: Self) -> bool {
        other.is_empty() || (self.start <= other.start && other.end <= self.end)
    }

    /// Returns the range of the keys that both ranges contain, which is empty if there are none.
    pub fn intersection(self, other: Self) -> Self {
        let start = self.start.max(other.start);
        Self {
            start,
            end: self.end.min(other.end).max(start),
        }
    }
}
