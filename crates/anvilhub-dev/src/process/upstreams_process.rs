use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use eyre::{Result, eyre};
use serde::Deserialize;
use serde_json::Value;

use super::{ChildProcess, HttpClient, LoopbackBlock, ScratchFolder};
use crate::standin::upstream::{EffectRecord, FleetCommand, RequestCounts};

/// The upstream stand-ins of a sheet, running in one child process.
#[derive(Debug)]
pub struct UpstreamsProcess {
    /// Address for control requests.
    pub control_address: SocketAddr,
    /// The child process.
    pub child: ChildProcess,
}

/// Body of `GET /effects`.
#[derive(Deserialize)]
struct EffectList {
    effects: Vec<EffectRecord>,
}

/// Body of `GET /requests`: the counts by upstream id.
#[derive(Deserialize)]
struct CountList {
    upstreams: BTreeMap<String, RequestCounts>,
}

impl UpstreamsProcess {
    /// Starts every replica of the sheet in the file `sheet` and waits until they listen.
    ///
    /// # Errors
    ///
    /// Returns an error if they do not start.
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
        let client = HttpClient::new(control_address);
        child.wait_ready(|| client.get("/requests").is_ok())?;
        Ok(Self {
            control_address,
            child,
        })
    }

    /// Sends a command to the stand-ins.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-ins reject it.
    pub fn send_fleet_command(&self, command: &FleetCommand) -> Result<()> {
        HttpClient::new(self.control_address).send_command(command)
    }

    /// Sends a command in its JSON form to the stand-ins.
    ///
    /// # Errors
    ///
    /// Returns an error if the JSON is not a valid command or the stand-ins reject it.
    pub fn send_command(&self, command: Value) -> Result<()> {
        let command: FleetCommand = serde_json::from_value(command)?;
        self.send_fleet_command(&command)
    }

    /// Returns how often non-idempotent requests with this query text took effect, over all replicas.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-ins do not answer.
    pub fn effect_count(&self, query: &str) -> Result<u64> {
        let list: EffectList = HttpClient::new(self.control_address).get_json("/effects")?;
        let matching = list.effects.iter().filter(|effect| effect.query == query);
        Ok(matching.map(|effect| effect.count).sum())
    }

    /// Returns the request counts of every replica.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-ins do not answer.
    pub fn request_counts(&self) -> Result<BTreeMap<String, RequestCounts>> {
        let list: CountList = HttpClient::new(self.control_address).get_json("/requests")?;
        Ok(list.upstreams)
    }

    /// Returns the request counts of one replica.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such replica.
    pub fn replica_counts(&self, upstream: &str) -> Result<RequestCounts> {
        self.request_counts()?.remove(upstream).ok_or_else(|| {
            eyre!("the stand-ins have no upstream {upstream}; check the id against the sheet")
        })
    }
}
