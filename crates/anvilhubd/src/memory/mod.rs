//! The memory that clients make this process hold, and the connections that are closed when it runs out.

mod client_account;
mod held_bytes;
mod ledger_state;
mod memory_ledger;
mod memory_reservation;

pub(crate) use client_account::ClientAccount;
pub(crate) use held_bytes::HeldBytes;
use ledger_state::{ClientEntry, LedgerState};
pub(crate) use memory_ledger::{MemoryKind, MemoryLedger, ServerKind};
pub(crate) use memory_reservation::MemoryReservation;
