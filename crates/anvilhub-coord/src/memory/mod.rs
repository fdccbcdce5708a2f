//! How the memory of an instance is divided, and which client's connection is closed when memory or connections run
//! out.

mod client_view;
mod eviction_rule;
mod ledger_limit;
mod memory_plan;

pub use client_view::{ClientPhase, ClientView};
pub use eviction_rule::EvictionRule;
pub use ledger_limit::LedgerLimit;
pub use memory_plan::MemoryPlan;
