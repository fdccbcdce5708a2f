use std::thread;
use std::time::Duration;

use eyre::{Result, eyre};

/// Maximum number of attempts: at least 20 s, and longer on a busy machine.
const MAX_ATTEMPTS: u32 = 1_000;
/// Pause between two attempts.
const ATTEMPT_PAUSE: Duration = Duration::from_millis(20);

/// Calls `attempt` every 20 ms until it returns a value, at most 1,000 times.
///
/// # Errors
///
/// Returns an error that contains `description`, such as "the end of entry-1", if no attempt returns a value.
pub fn wait_until<T>(description: &str, mut attempt: impl FnMut() -> Option<T>) -> Result<T> {
    for _ in 0..MAX_ATTEMPTS {
        if let Some(value) = attempt() {
            return Ok(value);
        }
        thread::sleep(ATTEMPT_PAUSE);
    }
    Err(eyre!(
        "gave up after {MAX_ATTEMPTS} attempts, {ATTEMPT_PAUSE:?} apart, waiting for: {description}"
    ))
}
