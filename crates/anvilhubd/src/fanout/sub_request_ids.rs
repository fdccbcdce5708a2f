use std::sync::atomic::{AtomicU64, Ordering};

use anvilhub_coord::ids::{InstanceId, RequestId};

/// Maximum number of characters of the instance's name in an identifier, which leaves room for the numbers.
const MAX_NAME_CHARS: usize = 80;

/// Generates identifiers of sub-requests that are unique across instances and restarts.
///
/// They are not derived from the request ids of callers: those may be repeated, and then a late answer to one
/// request could be accepted for another.
pub(crate) struct SubRequestIds {
    prefix: String,
    next_number: AtomicU64,
}

impl SubRequestIds {
    /// Creates the generator. `nonce` must differ between two starts of an instance.
    pub(crate) fn new(instance: &InstanceId, nonce: u64) -> Self {
        let name: String = instance.as_str().chars().take(MAX_NAME_CHARS).collect();
        Self {
            prefix: format!("{name}.{nonce:x}"),
            next_number: AtomicU64::new(0),
        }
    }

    /// Returns the next identifier.
    pub(crate) fn next(&self) -> RequestId {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let text = format!("{}.{number}", self.prefix);
        text.parse().expect("the parts of the identifier are valid")
    }
}
