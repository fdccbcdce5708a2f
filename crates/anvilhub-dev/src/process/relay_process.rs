use std::net::SocketAddr;

use eyre::Result;

use super::{ChildProcess, HttpCall, LoopbackBlock, ScratchFolder};
use crate::standin::relay::{RelayCommand, RelayMode};

/// A relay between two processes.
#[derive(Debug)]
pub struct RelayProcess {
    /// Where it listens.
    pub address: SocketAddr,
    /// The process.
    pub child: ChildProcess,
    control_address: SocketAddr,
}

impl RelayProcess {
    /// Starts a relay to `target`, and waits until it answers commands.
    ///
    /// # Errors
    ///
    /// Fails when it does not start.
    pub fn start(
        scratch: &ScratchFolder,
        block: &LoopbackBlock,
        name: &str,
        target: SocketAddr,
    ) -> Result<Self> {
        let address = block.next_address()?;
        let control_address = block.next_address()?;
        let arguments = [
            "relay".to_owned(),
            "--listen".to_owned(),
            address.to_string(),
            "--to".to_owned(),
            target.to_string(),
            "--control".to_owned(),
            control_address.to_string(),
        ];
        let mut child = ChildProcess::start(scratch, name, "anvilhub-standin", arguments)?;
        let call = HttpCall::to(control_address);
        child.wait_ready(|| call.get("/links").is_ok())?;
        Ok(Self {
            address,
            child,
            control_address,
        })
    }

    /// Changes what happens to connections.
    ///
    /// # Errors
    ///
    /// Fails when the relay does not answer.
    pub fn set_mode(&self, mode: RelayMode) -> Result<()> {
        let command = RelayCommand {
            mode: Some(mode),
            ..RelayCommand::default()
        };
        HttpCall::to(self.control_address).control(&command)
    }
}
