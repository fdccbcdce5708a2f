use std::sync::{Mutex, MutexGuard, PoisonError};

/// Bytes to send in addition to or instead of a response of the HTTP server.
#[derive(Debug, Default)]
pub(crate) struct ByteInjector {
    pending: Mutex<PendingInjection>,
}

/// The change to the next response.
#[derive(Debug, Default)]
pub(crate) struct PendingInjection {
    /// Whether the bytes that the HTTP server writes are dropped.
    pub(crate) discards_response: bool,
    /// Bytes to send after the response, or instead of it if it is dropped.
    pub(crate) bytes: Vec<u8>,
}

impl ByteInjector {
    /// Sends `bytes` after the next response.
    pub(crate) fn append_to_response(&self, bytes: Vec<u8>) {
        self.lock().bytes = bytes;
    }

    /// Sends `bytes` instead of the next response.
    pub(crate) fn replace_response(&self, bytes: Vec<u8>) {
        *self.lock() = PendingInjection {
            discards_response: true,
            bytes,
        };
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, PendingInjection> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
