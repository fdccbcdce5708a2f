//! Stand-in of the network between two processes: a TCP relay that can lose, cut and delay.

mod relay_command;
mod relay_link;
mod relay_server;

pub use relay_command::{RelayCommand, RelayMode};
pub use relay_server::RelayServer;
