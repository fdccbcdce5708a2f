use eyre::Result;
use serde_json::Value;

use super::{ChildProcess, EntryPlan, HttpClient};

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
