use std::time::Duration;

/// Maximum length of time that a document can state: one day.
const MAX_SPAN: Duration = Duration::from_secs(86_400);

/// Converts seconds to a duration, with their fraction. A negative number counts as 0, and more than a day as a day.
pub(crate) fn bounded_span(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).map_or(MAX_SPAN, |span| span.min(MAX_SPAN))
}
