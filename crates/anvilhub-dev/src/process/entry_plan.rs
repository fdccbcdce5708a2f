use std::net::SocketAddr;

use anvilhub_coord::border::platform::{InstanceEntry, InstanceRole, InstanceState};
use eyre::Result;
use serde_json::{Map, Value, json};

use super::{ChildProcess, EntryProcess, LoopbackBlock, ScratchFolder};

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
    /// Further settings. They override those that the plan sets itself.
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
        let file_name = format!("{}.json", self.instance);
        let path = scratch.write(&file_name, &settings.to_string())?;
        let arguments = ["--settings".into(), path.into_os_string()];
        let child = ChildProcess::start(scratch, &self.instance, "anvilhubd", arguments)?;
        Ok(EntryProcess {
            plan: self.clone(),
            child,
        })
    }
}
