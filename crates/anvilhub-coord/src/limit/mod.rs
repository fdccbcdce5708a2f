//! Decisions about upstreams that name how many requests a second they take from all instances together.

mod limit_change;
mod limit_table;
mod send_counts;
mod stated_limit;
mod upstream_process;

pub use limit_change::LimitChange;
pub use limit_table::LimitTable;
pub use send_counts::SendCounts;
pub use stated_limit::StatedLimit;
pub use upstream_process::UpstreamProcess;
