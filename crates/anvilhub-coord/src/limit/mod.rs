//! Decisions about upstreams that name how many requests a second they take from all instances together: which
//! instances share a limit, when each of them may send, and how instances tell each other of limits.

mod limit_change;
mod limit_note;
mod limit_sharers;
mod limit_table;
mod send_allowance;
mod send_counts;
mod send_permit;
mod stated_limit;
mod upstream_process;

pub use limit_change::LimitChange;
pub use limit_note::LimitNote;
pub use limit_sharers::LimitSharers;
pub use limit_table::LimitTable;
pub use send_allowance::SendAllowance;
pub use send_counts::SendCounts;
pub use send_permit::SendPermit;
pub use stated_limit::StatedLimit;
pub use upstream_process::UpstreamProcess;
