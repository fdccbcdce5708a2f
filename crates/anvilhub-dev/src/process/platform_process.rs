use std::ffi::OsString;
use std::net::SocketAddr;

use anvilhub_coord::border::platform::InstanceEntry;
use eyre::Result;
use serde_json::{Value, json};

use super::{ChildProcess, HttpCall, LoopbackBlock, ScratchFolder};
use crate::standin::platform::PlatformCommand;

/// File that holds the sheet for the platform's start.
const SHEET_FILE: &str = "sheet.json";

/// A platform stand-in.
#[derive(Debug)]
pub struct PlatformProcess {
    /// Where it listens.
    pub address: SocketAddr,
    /// The process.
    pub child: ChildProcess,
    arguments: [OsString; 7],
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
        let sheet = scratch.write(SHEET_FILE, sheet)?;
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
        let child = start_child(scratch, address, &arguments)?;
        Ok(Self {
            address,
            child,
            arguments,
        })
    }

    /// Ends the platform, and starts it again with `sheet` and revisions that count from 1.
    ///
    /// # Errors
    ///
    /// Fails when it does not start.
    pub fn restart(&mut self, scratch: &ScratchFolder, sheet: &str) -> Result<()> {
        self.child.kill()?;
        scratch.write(SHEET_FILE, sheet)?;
        self.child = start_child(scratch, self.address, &self.arguments)?;
        Ok(())
    }

    /// Calls that the platform answered since its start.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    pub fn admitted_calls(&self) -> Result<u64> {
        let counts: Value = HttpCall::to(self.address).get_json("/calls")?;
        Ok(counts["admitted"].as_u64().unwrap_or_default())
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

fn start_child(
    scratch: &ScratchFolder,
    address: SocketAddr,
    arguments: &[OsString],
) -> Result<ChildProcess> {
    let mut child = ChildProcess::start(scratch, "platform", "anvilhub-standin", arguments)?;
    let call = HttpCall::to(address);
    child.wait_ready(|| call.get("/calls").is_ok())?;
    Ok(child)
}
