use std::thread;
use std::time::Duration;

use eyre::{Result, eyre};

/// Attempts before a wait gives up: 20 s at least, on a machine that is busy longer.
const MAX_ATTEMPTS: u32 = 1_000;
/// Pause between two attempts.
const ATTEMPT_PAUSE: Duration = Duration::from_millis(20);

/// Tries `attempt` until it gives a value.
///
/// # Errors
///
/// Fails, naming `what`, after a bounded number of attempts.
pub fn wait_until<T>(what: &str, mut attempt: impl FnMut() -> Option<T>) -> Result<T> {
    for _ in 0..MAX_ATTEMPTS {
        if let Some(value) = attempt() {
            return Ok(value);
        }
        thread::sleep(ATTEMPT_PAUSE);
    }
    Err(eyre!(
        "{what} did not happen within {MAX_ATTEMPTS} attempts"
    ))
}
