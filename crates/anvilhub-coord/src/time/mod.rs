//! Monotonic time, pauses, and values that must be confirmed before use.

mod clock_time;
mod fresh_value;
mod pause_detector;

pub use clock_time::ClockTime;
pub use fresh_value::{FreshValue, StaleValue};
pub use pause_detector::PauseDetector;
