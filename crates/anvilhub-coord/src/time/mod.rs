//! Monotonic time, pauses, and values that must be confirmed before use.

mod clock_time;

pub use clock_time::ClockTime;
