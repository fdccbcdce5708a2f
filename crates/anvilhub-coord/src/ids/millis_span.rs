use std::time::Duration;

use super::real_number::real_number;
use super::time_span::bounded_span;

real_number! {
    /// A length of time in milliseconds, as documents and headers state it: with or without a fraction.
    MillisSpan
}

impl MillisSpan {
    /// Returns the length of time, with its fraction. A negative one counts as 0, and one of over a day as a day.
    pub fn to_duration(self) -> Duration {
        bounded_span(self.get() / 1_000.0)
    }
}
