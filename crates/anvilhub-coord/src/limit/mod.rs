//! Decisions about upstreams that name how many requests a second they take from all instances together: which
//! instances share a limit, when each of them may send, and how instances tell each other of limits. An upstream that is cold
//! after its start has such a limit too.

mod cold_window;
mod limit_change;
mod limit_note;
mod limit_sharers;
mod limit_table;
mod send_allowance;
mod send_counts;
mod send_permit;
mod stated_limit;
mod upstream_process;
mod warmup_bound;
mod warmup_change;
mod warmup_report;
mod warmup_table;

pub use cold_window::ColdWindow;
pub use limit_change::LimitChange;
pub use limit_note::LimitNote;
pub use limit_sharers::LimitSharers;
pub use limit_table::LimitTable;
pub use send_allowance::SendAllowance;
pub use send_counts::SendCounts;
pub use send_permit::SendPermit;
pub use stated_limit::StatedLimit;
pub use upstream_process::UpstreamProcess;
pub use warmup_bound::WarmupBound;
pub use warmup_change::WarmupChange;
pub use warmup_report::WarmupReport;
pub use warmup_table::WarmupTable;
