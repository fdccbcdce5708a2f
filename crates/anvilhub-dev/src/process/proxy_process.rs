use std::net::SocketAddr;

use eyre::Result;

use super::{ChildProcess, HttpClient, LoopbackBlock, ScratchFolder};
use crate::standin::proxy::{ProxyCommand, ProxyMode};

/// A TCP proxy between two processes, running as a child process.
#[derive(Debug)]
pub struct ProxyProcess {
    /// Address on which the proxy accepts connections.
    pub address: SocketAddr,
    /// The child process.
    pub child: ChildProcess,
    control_address: SocketAddr,
}

impl ProxyProcess {
    /// Starts a proxy to `target` and waits until it answers control requests.
    ///
    /// # Errors
    ///
    /// Returns an error if the proxy does not start.
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
        let client = HttpClient::new(control_address);
        child.wait_ready(|| client.get("/links").is_ok())?;
        Ok(Self {
            address,
            child,
            control_address,
        })
    }

    /// Sets how the proxy treats connections.
    ///
    /// # Errors
    ///
    /// Returns an error if the proxy does not answer.
    pub fn set_mode(&self, mode: ProxyMode) -> Result<()> {
        let command = ProxyCommand {
            mode: Some(mode),
            ..ProxyCommand::default()
        };
        HttpClient::new(self.control_address).send_command(&command)
    }
}
