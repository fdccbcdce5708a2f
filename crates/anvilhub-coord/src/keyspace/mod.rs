//! Ranges of the key space and sets of them.

mod key_range;
mod range_set;

pub use key_range::KeyRange;
pub use range_set::RangeSet;

/// First number after the last key: keys are 0 to 2^32 - 1.
pub const KEY_SPACE_END: u64 = 1 << 32;
