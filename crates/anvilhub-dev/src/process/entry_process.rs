use std::net::SocketAddr;

use anvilhub_coord::border::platform::{InstanceEntry, InstanceRole, InstanceState};
use eyre::Result;
use serde_json::{Map, Value, json};

use super::{ChildProcess, HttpCall, LoopbackBlock, ScratchFolder};

/// The settings of an entry instance of a test.
#[derive(Clone, Debug)]
pub struct EntryPlan {
    /// Identifier of the instance.
    pub instance: String,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where other instances connect.
    pub peer_address: SocketAddr,
    /// Where operators connect.
    pub operator_address: SocketAddr,
    /// Further settings, and replacements of those above.
    pub settings: Map<String, Value>,
}

impl EntryPlan {
    /// Chooses addresses for an instance.
    ///
    /// # Errors
    ///
    /// Fails when no address is free.
    pub fn new(instance: &str, block: &LoopbackBlock) -> Result<Self> {
        Ok(Self {
            instance: instance.to_owned(),
            caller_address: block.next_address()?,
            peer_address: block.next_address()?,
            operator_address: block.next_address()?,
            settings: Map::new(),
        })
    }

    /// The entry of the instance in the platform's list.
    ///
    /// # Errors
    ///
    /// Fails when the instance's name is no identifier.
    pub fn list_entry(&self) -> Result<InstanceEntry> {
        Ok(InstanceEntry {
            id: self.instance.parse()?,
            role: InstanceRole::Entry,
            address: self.caller_address.to_string(),
            peer_address: Some(self.peer_address.to_string()),
            operator_address: Some(self.operator_address.to_string()),
            state: InstanceState::Live,
        })
    }

    /// Starts the instance without waiting for it.
    ///
    /// # Errors
    ///
    /// Fails when the daemon was not built.
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

/// An entry instance.
#[derive(Debug)]
pub struct EntryProcess {
    /// What it was started with.
    pub plan: EntryPlan,
    /// The process.
    pub child: ChildProcess,
}

impl EntryProcess {
    /// Waits until the instance is ready.
    ///
    /// # Errors
    ///
    /// Fails with the instance's output when it is not.
    pub fn wait_ready(&mut self) -> Result<()> {
        let call = HttpCall::to(self.plan.operator_address);
        self.child
            .wait_ready(|| call.get("/ready").is_ok_and(|(status, _)| status == 200))
    }

    /// Says whether the instance reports that it is ready.
    pub fn is_ready(&self) -> bool {
        let call = HttpCall::to(self.plan.operator_address);
        call.get("/ready").is_ok_and(|(status, _)| status == 200)
    }

    /// The instance's `/state` document.
    ///
    /// # Errors
    ///
    /// Fails when the instance does not answer.
    pub fn state(&self) -> Result<Value> {
        HttpCall::to(self.plan.operator_address).get_json("/state")
    }

    /// The version of the sheet in force, if there is one.
    pub fn sheet_version(&self) -> Option<u64> {
        self.state().ok()?.pointer("/sheet/version")?.as_u64()
    }
}
