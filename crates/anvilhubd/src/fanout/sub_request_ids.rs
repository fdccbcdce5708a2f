use std::sync::atomic::{AtomicU64, Ordering};

use anvilhub_coord::ids::{InstanceId, RequestId};

/// Bytes of the instance's name in an identifier; the rest leaves room for the numbers.
const MAX_NAME_BYTES: usize = 80;

/// Identifiers of sub-requests, unique over all instances and their restarts.
///
/// Callers may repeat their request ids, so an id derived from them could match a late answer to another
/// request.
pub(crate) struct SubRequestIds {
    prefix: String,
    next: AtomicU64,
}

impl SubRequestIds {
    /// `nonce` differs between two starts of an instance.
    pub(crate) fn new(instance: &InstanceId, nonce: u64) -> Self {
        let name: String = instance.as_str().chars().take(MAX_NAME_BYTES).collect();
        Self {
            prefix: format!("{name}.{nonce:x}"),
            next: AtomicU64::new(0),
        }
    }

    pub(crate) fn next(&self) -> RequestId {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let text = format!("{}.{number}", self.prefix);
        text.parse().expect("the parts of the identifier are valid")
    }
}
