//! Monotonic time, pauses, and values that must be confirmed before use.

mod clock_time;
mod fresh_value;
mod pause_detector;

pub use clock_time::ClockTime;
pub use fresh_value::{FreshValue, StaleError};
pub use pause_detector::PauseDetector;
