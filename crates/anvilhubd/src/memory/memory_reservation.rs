use std::sync::Arc;

use super::{MemoryKind, MemoryLedger};

/// Memory that the ledger counts for a client; it is given back when this is dropped.
pub(crate) struct MemoryReservation {
    ledger: Arc<MemoryLedger>,
    client: u64,
    kind: MemoryKind,
    size: u64,
}

impl MemoryReservation {
    pub(super) fn new(ledger: Arc<MemoryLedger>, client: u64, kind: MemoryKind) -> Self {
        Self {
            ledger,
            client,
            kind,
            size: 0,
        }
    }

    /// Reserves `size` more bytes. Returns false if they are refused: the client must be refused too.
    #[must_use]
    pub(crate) fn grow(&mut self, size: usize) -> bool {
        let size = size as u64;
        let is_granted = self.ledger.take(self.client, self.kind, size);
        if is_granted {
            self.size += size;
        }
        is_granted
    }

    /// Counts `size` more bytes, which are held whether or not there is room for them.
    pub(super) fn force(&mut self, size: usize) {
        self.size += size as u64;
        self.ledger.force(self.client, self.kind, size as u64);
    }

    /// Gives everything back.
    pub(super) fn clear(&mut self) {
        if self.size > 0 {
            self.ledger.give_back(self.client, self.kind, self.size);
            self.size = 0;
        }
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.clear();
    }
}
