use std::net::SocketAddr;

use anvilhub_coord::border::platform::InstanceEntry;
use eyre::Result;
use serde_json::json;

use super::{ChildProcess, HttpCall, LoopbackBlock, ScratchFolder};
use crate::standin::platform::PlatformCommand;

/// A platform stand-in.
#[derive(Debug)]
pub struct PlatformProcess {
    /// Where it listens.
    pub address: SocketAddr,
    /// The process.
    pub child: ChildProcess,
}

impl PlatformProcess {
    /// Starts a platform with a sheet and an instance list, and waits until it answers.
    ///
    /// # Errors
    ///
    /// Fails when it does not start.
    pub fn start(
        scratch: &ScratchFolder,
        block: &LoopbackBlock,
        sheet: &str,
        instances: &[InstanceEntry],
    ) -> Result<Self> {
        let address = block.next_address()?;
        let sheet = scratch.write("sheet.json", sheet)?;
        let list = json!({ "instances": instances }).to_string();
        let list = scratch.write("instances.json", &list)?;
        let arguments = [
            "platform".into(),
            "--listen".into(),
            address.to_string().into(),
            "--sheet".into(),
            sheet.into_os_string(),
            "--instances".into(),
            list.into_os_string(),
        ];
        let mut child = ChildProcess::start(scratch, "platform", "anvilhub-standin", arguments)?;
        let call = HttpCall::to(address);
        child.wait_ready(|| call.get("/calls").is_ok())?;
        Ok(Self { address, child })
    }

    /// Sends a command.
    ///
    /// # Errors
    ///
    /// Fails when the platform refuses it.
    pub fn control(&self, command: &PlatformCommand) -> Result<()> {
        HttpCall::to(self.address).control(command)
    }
}
