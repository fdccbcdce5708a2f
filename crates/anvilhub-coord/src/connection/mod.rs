//! Connections to upstreams: which one carries a request, and how many an instance may hold.

mod connection_id;
mod connection_ledger;
mod connection_share;
mod connection_state;
mod read_window;

pub use connection_id::ConnectionId;
pub use connection_ledger::{ConnectionLedger, ConnectionPlan, SilenceReport};
pub use connection_share::ConnectionShare;
pub use connection_state::ConnectionState;
pub use read_window::ReadWindow;
