use std::net::SocketAddr;

use anvilhub_coord::border::platform::{InstanceEntry, InstanceRole, InstanceState};
use eyre::Result;
use serde_json::{Map, Value, json};

use super::{ChildProcess, HttpClient, LoopbackBlock, ScratchFolder};

/// Settings with which a test starts an entry instance.
#[derive(Clone, Debug)]
pub struct EntryPlan {
    /// Id of the instance.
    pub instance: String,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for peers.
    pub peer_address: SocketAddr,
    /// Address for operators.
    pub operator_address: SocketAddr,
    /// Further settings; they override those above.
    pub settings: Map<String, Value>,
}

impl EntryPlan {
    /// Creates a plan with addresses from `block`.
    ///
    /// # Errors
    ///
    /// Returns an error if no address is free.
    pub fn new(instance: &str, block: &LoopbackBlock) -> Result<Self> {
        Ok(Self {
            instance: instance.to_owned(),
            caller_address: block.next_address()?,
            peer_address: block.next_address()?,
            operator_address: block.next_address()?,
            settings: Map::new(),
        })
    }

    /// Returns the record of the instance for the platform's instance list.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance's name is not a valid id.
    pub fn instance_entry(&self) -> Result<InstanceEntry> {
        Ok(InstanceEntry {
            id: self.instance.parse()?,
            role: InstanceRole::Entry,
            address: self.caller_address.to_string(),
            peer_address: Some(self.peer_address.to_string()),
            operator_address: Some(self.operator_address.to_string()),
            state: InstanceState::Live,
        })
    }

    /// Starts the instance without waiting until it is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon was not built or cannot be started.
    pub fn start(&self, scratch: &ScratchFolder, platform: SocketAddr) -> Result<EntryProcess> {
        let mut settings = json!({
            "instance": self.instance,
            "failure_domain": "domain-a",
            "caller_address": self.caller_address,
            "peer_address": self.peer_address,
            "operator_address": self.operator_address,
            "platform_address": platform,
        });
        if let Value::Object(fields) = &mut settings {
            fields.extend(self.settings.clone());
        }
        let file = format!("{}.json", self.instance);
        let file = scratch.write(&file, &settings.to_string())?;
        let arguments = ["--settings".into(), file.into_os_string()];
        let child = ChildProcess::start(scratch, &self.instance, "anvilhubd", arguments)?;
        Ok(EntryProcess {
            plan: self.clone(),
            child,
        })
    }
}

/// An entry instance that runs as a child process.
#[derive(Debug)]
pub struct EntryProcess {
    /// The settings that it was started with.
    pub plan: EntryPlan,
    /// The child process.
    pub child: ChildProcess,
}

impl EntryProcess {
    /// Waits until the instance is ready.
    ///
    /// # Errors
    ///
    /// Returns an error with the instance's last output lines if it does not become ready.
    pub fn wait_ready(&mut self) -> Result<()> {
        let client = HttpClient::new(self.plan.operator_address);
        self.child
            .wait_ready(|| client.get("/ready").is_ok_and(|(status, _)| status == 200))
    }

    /// Returns whether the instance reports that it is ready.
    pub fn is_ready(&self) -> bool {
        let client = HttpClient::new(self.plan.operator_address);
        client.get("/ready").is_ok_and(|(status, _)| status == 200)
    }

    /// Returns the instance's `/state` document.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance does not answer.
    pub fn state(&self) -> Result<Value> {
        HttpClient::new(self.plan.operator_address).get_json("/state")
    }

    /// Returns the version of the sheet in force, or `None` if there is none or the instance does not answer.
    pub fn sheet_version(&self) -> Option<u64> {
        self.state().ok()?.pointer("/sheet/version")?.as_u64()
    }
}
