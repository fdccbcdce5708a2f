use std::ffi::OsString;
use std::net::SocketAddr;

use anvilhub_coord::border::platform::InstanceEntry;
use eyre::Result;
use serde_json::{Value, json};

use super::{ChildProcess, HttpClient, LoopbackBlock, ScratchFolder};
use crate::standin::platform::PlatformCommand;

/// File with the sheet that the platform serves at its start.
const SHEET_FILE: &str = "sheet.json";

/// A platform stand-in that runs as a child process.
#[derive(Debug)]
pub struct PlatformProcess {
    /// Address on which the platform listens.
    pub address: SocketAddr,
    /// The child process.
    pub child: ChildProcess,
    arguments: [OsString; 7],
}

impl PlatformProcess {
    /// Starts a platform with a sheet and an instance list and waits until it answers.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not start.
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

    /// Kills the platform and starts it again with `sheet`, which has revision 1.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not start.
    pub fn restart(&mut self, scratch: &ScratchFolder, sheet: &str) -> Result<()> {
        self.child.kill()?;
        scratch.write(SHEET_FILE, sheet)?;
        self.child = start_child(scratch, self.address, &self.arguments)?;
        Ok(())
    }

    /// Returns the number of calls that the platform has admitted since its start.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer.
    pub fn admitted_calls(&self) -> Result<u64> {
        let counts: Value = HttpClient::new(self.address).get_json("/calls")?;
        Ok(counts["admitted"].as_u64().unwrap_or_default())
    }

    /// Sends a command to the platform.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform rejects it.
    pub fn send_command(&self, command: &PlatformCommand) -> Result<()> {
        HttpClient::new(self.address).send_command(command)
    }
}

fn start_child(
    scratch: &ScratchFolder,
    address: SocketAddr,
    arguments: &[OsString],
) -> Result<ChildProcess> {
    let mut child = ChildProcess::start(scratch, "platform", "anvilhub-standin", arguments)?;
    let client = HttpClient::new(address);
    child.wait_ready(|| client.get("/calls").is_ok())?;
    Ok(child)
}
