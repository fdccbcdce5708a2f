use std::sync::Arc;

use anvilhub_coord::ids::ByteSize;
use anvilhub_coord::memory::ClientPhase;
use bytes::Bytes;
use tokio::sync::Notify;

use crate::routes::LockCell;

use super::{HeldBytes, MemoryKind, MemoryLedger, MemoryReservation};

/// Size of a head that is part of every connection's memory. Longer heads count towards the ledger.
const FREE_HEAD_SIZE: usize = 2 * 1024;
/// Memory for each byte of a longer head. hyper moves it to buffers of twice the size as it grows, and the allocator does not
/// reuse all of the smaller ones: 48 kB a connection were measured for heads of 16 kB.
const HEAD_FACTOR: usize = 4;

/// The connection of a client, as the ledger sees it. It is removed from the ledger when this is dropped.
pub(crate) struct ClientAccount {
    ledger: Arc<MemoryLedger>,
    number: u64,
    eviction: Arc<Notify>,
    head: LockCell<HeadAccount>,
    /// What the answer to the request that is being served is expected to take.
    expected_answer: LockCell<MemoryReservation>,
}

/// The memory of the head that is being read or belongs to the request that is being served.
struct HeadAccount {
    /// Number of bytes that have arrived.
    size: usize,
    reservation: MemoryReservation,
}

impl ClientAccount {
    pub(super) fn new(ledger: Arc<MemoryLedger>, number: u64, eviction: Arc<Notify>) -> Self {
        let reservation = MemoryReservation::new(Arc::clone(&ledger), number, MemoryKind::Head);
        let expected_answer =
            MemoryReservation::new(Arc::clone(&ledger), number, MemoryKind::Answer);
        Self {
            ledger,
            number,
            eviction,
            head: LockCell::new(HeadAccount {
                size: 0,
                reservation,
            }),
            expected_answer: LockCell::new(expected_answer),
        }
    }

    /// Waits until the connection is chosen to be closed.
    pub(crate) async fn evicted(&self) {
        self.eviction.notified().await;
        // The connection's task and the task that reads a body may both wait.
        self.eviction.notify_one();
    }

    /// Returns whether the connection must be closed without an answer, once it was chosen to be closed: no request of
    /// it is being read or served.
    pub(crate) fn is_abortable(&self) -> bool {
        let mut is_abortable = true;
        self.ledger.update(self.number, |view, _| {
            is_abortable = match view.phase {
                ClientPhase::Idle | ClientPhase::Head => true,
                ClientPhase::Answer => view.is_blocked,
                ClientPhase::Body | ClientPhase::Served => false,
            };
        });
        is_abortable
    }

    /// Records that `size` bytes arrived. Returns whether there is room for them.
    pub(crate) fn record_read(&self, size: usize) -> bool {
        let phase = self.ledger.update(self.number, |view, now| {
            view.progress_at = now;
            if view.phase == ClientPhase::Idle {
                view.phase = ClientPhase::Head;
            }
            view.phase
        });
        match phase {
            Some(ClientPhase::Head) => self.head.with(|head| {
                let free = FREE_HEAD_SIZE.saturating_sub(head.size);
                head.size += size;
                match size.saturating_sub(free) {
                    0 => true,
                    counted => head.reservation.grow(counted * HEAD_FACTOR),
                }
            }),
            Some(_) => true,
            None => true,
        }
    }

    /// Records that the client took a part of an answer.
    pub(crate) fn record_written(&self) {
        self.ledger.update(self.number, |view, now| {
            view.progress_at = now;
            view.is_blocked = false;
            if view.phase == ClientPhase::Idle {
                view.phase = ClientPhase::Answer;
            }
        });
    }

    /// Records that an answer waits because the client does not take it.
    pub(crate) fn record_blocked(&self) {
        self.ledger.update(self.number, |view, _| {
            view.is_blocked = true;
            if view.phase == ClientPhase::Idle {
                view.phase = ClientPhase::Answer;
            }
        });
    }

    /// Records that everything that was to be sent was sent.
    pub(crate) fn record_flushed(&self) {
        let is_finished = self.ledger.update(self.number, |view, now| {
            let is_finished = view.phase == ClientPhase::Answer;
            if is_finished {
                view.phase = ClientPhase::Idle;
                view.progress_at = now;
            }
            is_finished
        });
        if is_finished == Some(true) {
            self.head.with(|head| {
                head.size = 0;
                head.reservation.clear();
            });
        }
    }

    /// Records that the connection enters `phase`. Returns false if it was chosen to be closed before.
    #[must_use]
    pub(crate) fn enter(&self, phase: ClientPhase) -> bool {
        let entered = self.ledger.update(self.number, |view, now| {
            view.phase = phase;
            view.progress_at = now;
        });
        entered.is_some()
    }

    /// Returns a reservation of nothing.
    pub(crate) fn reserve(&self, kind: MemoryKind) -> MemoryReservation {
        MemoryReservation::new(Arc::clone(&self.ledger), self.number, kind)
    }

    /// Reserves `size` bytes for the answer to the request that is being served, until the answer is held. Returns false if
    /// there is no room: the request must be refused before it is sent, since an answer that arrived is never refused.
    #[must_use]
    pub(crate) fn expect_answer(&self, size: ByteSize) -> bool {
        self.expected_answer.with(|expected| {
            expected.clear();
            expected.grow(size.get() as usize)
        })
    }

    /// Counts an answer until the client has taken it, in place of what was reserved for it.
    pub(crate) fn hold_answer(&self, answer: Bytes) -> Bytes {
        self.expected_answer.with(MemoryReservation::clear);
        if answer.is_empty() {
            return answer;
        }
        let mut reservation = self.reserve(MemoryKind::Answer);
        reservation.force(answer.len());
        HeldBytes::share(answer, reservation)
    }
}

impl Drop for ClientAccount {
    fn drop(&mut self) {
        self.ledger.close_account(self.number);
    }
}
