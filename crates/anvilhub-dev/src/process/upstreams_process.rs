use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use eyre::{Result, eyre};
use serde::Deserialize;
use serde_json::Value;

use super::{ChildProcess, HttpCall, LoopbackBlock, ScratchFolder};
use crate::standin::upstream::{EffectRecord, FleetCommand, RequestCounts};

/// The upstream stand-ins of a sheet.
#[derive(Debug)]
pub struct UpstreamsProcess {
    /// Where commands go.
    pub control_address: SocketAddr,
    /// The process.
    pub child: ChildProcess,
}

#[derive(Deserialize)]
struct EffectList {
    effects: Vec<EffectRecord>,
}

#[derive(Deserialize)]
struct CountList {
    upstreams: BTreeMap<String, RequestCounts>,
}

impl UpstreamsProcess {
    /// Starts every replica of the sheet in the file, and waits until they listen.
    ///
    /// # Errors
    ///
    /// Fails when they do not start.
    pub fn start(scratch: &ScratchFolder, block: &LoopbackBlock, sheet: &Path) -> Result<Self> {
        let control_address = block.next_address()?;
        let arguments = [
            "upstreams".into(),
            "--sheet".into(),
            sheet.as_os_str().to_owned(),
            "--control".into(),
            control_address.to_string().into(),
        ];
        let mut child = ChildProcess::start(scratch, "upstreams", "anvilhub-standin", arguments)?;
        let call = HttpCall::to(control_address);
        child.wait_ready(|| call.get("/requests").is_ok())?;
        Ok(Self {
            control_address,
            child,
        })
    }

    /// Sends a command.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in refuses it.
    pub fn control(&self, command: &FleetCommand) -> Result<()> {
        HttpCall::to(self.control_address).control(command)
    }

    /// Sends a command as `POST /control` takes it.
    ///
    /// # Errors
    ///
    /// Fails when it is not a command or the stand-in refuses it.
    pub fn command(&self, command: Value) -> Result<()> {
        let command: FleetCommand = serde_json::from_value(command)?;
        self.control(&command)
    }

    /// How often the work on requests with this query text was done, over all replicas.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not answer.
    pub fn effects_of(&self, query: &str) -> Result<u64> {
        let list: EffectList = HttpCall::to(self.control_address).get_json("/effects")?;
        let matching = list.effects.iter().filter(|effect| effect.query == query);
        Ok(matching.map(|effect| effect.count).sum())
    }

    /// The counts of every replica.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not answer.
    pub fn counts(&self) -> Result<BTreeMap<String, RequestCounts>> {
        let list: CountList = HttpCall::to(self.control_address).get_json("/requests")?;
        Ok(list.upstreams)
    }

    /// The counts of one replica.
    ///
    /// # Errors
    ///
    /// Fails when there is no such replica.
    pub fn counts_of(&self, upstream: &str) -> Result<RequestCounts> {
        self.counts()?
            .remove(upstream)
            .ok_or_else(|| eyre!("no upstream is called {upstream}"))
    }
}
