use anvilhub_coord::border::platform::{InstanceEntry, InstanceRole, InstanceState};
use anvilhub_coord::border::sheet::SheetDocument;
use eyre::{Result, ensure};

use super::{
    EntryPlan, EntryProcess, LoopbackBlock, PlatformProcess, ProxyProcess, QueryCall,
    ScratchFolder, TierPlan, UpstreamsProcess,
};
use crate::standin::platform::PlatformCommand;
use crate::standin::proxy::ProxyMode;

/// A platform, the upstreams of a sheet and entry instances, running as child processes.
#[derive(Debug)]
pub struct TestTier {
    /// The platform stand-in.
    pub platform: PlatformProcess,
    /// The upstream stand-ins.
    pub upstreams: UpstreamsProcess,
    /// The entry instances; all are ready after the start.
    pub entries: Vec<EntryProcess>,
    /// The proxies in front of the peer addresses, if the plan has proxies.
    pub proxies: Vec<ProxyProcess>,
    /// The sheet that `publish_next_sheet` publishes. A test may change it before.
    pub sheet: SheetDocument,
    /// Allocates further addresses.
    pub block: LoopbackBlock,
    /// Files of the test. Declared last, so that it is dropped after the processes.
    pub scratch: ScratchFolder,
}

impl TestTier {
    /// Starts all processes and waits until every entry instance is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start or an entry instance does not become ready.
    pub fn start(plan: &TierPlan) -> Result<Self> {
        let block = LoopbackBlock::for_process();
        let scratch = ScratchFolder::create()?;
        let sheet = plan.sheet.document(&block)?;
        let text = serde_json::to_string(&sheet)?;
        let file = scratch.write("upstreams.json", &text)?;
        let upstreams = UpstreamsProcess::start(&scratch, &block, &file)?;
        let mut plans = Vec::new();
        let mut proxies = Vec::new();
        for number in 1..=plan.entry_count {
            let mut entry = EntryPlan::new(&format!("entry-{number}"), &block)?;
            entry.settings = plan.settings.clone();
            if plan.has_proxies {
                let bind_address = entry.peer_address;
                let name = format!("proxy-{number}");
                let proxy = ProxyProcess::start(&scratch, &block, &name, bind_address)?;
                entry.peer_address = proxy.address;
                let field = "peer_bind_address".to_owned();
                entry
                    .settings
                    .insert(field, bind_address.to_string().into());
                proxies.push(proxy);
            }
            plans.push(entry);
        }
        let instances = instance_list(&sheet, &plans)?;
        let platform = PlatformProcess::start(&scratch, &block, &text, &instances)?;
        let mut entries = plans
            .iter()
            .map(|plan| plan.start(&scratch, platform.address))
            .collect::<Result<Vec<_>>>()?;
        for entry in &mut entries {
            entry.wait_ready()?;
        }
        Ok(Self {
            platform,
            upstreams,
            entries,
            proxies,
            sheet,
            block,
            scratch,
        })
    }

    /// Sets how the proxies treat the connections between entry instances.
    ///
    /// # Errors
    ///
    /// Returns an error if a proxy does not answer.
    pub fn set_proxy_mode(&self, mode: ProxyMode) -> Result<()> {
        let mut proxies = self.proxies.iter();
        proxies.try_for_each(|proxy| proxy.set_mode(mode))
    }

    /// Publishes the sheet with the next version and returns that version.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer.
    pub fn publish_next_sheet(&mut self) -> Result<u64> {
        self.sheet.version.0 += 1;
        let command = PlatformCommand {
            publish_sheet: Some(serde_json::to_string(&self.sheet)?),
            ..PlatformCommand::default()
        };
        self.platform.send_command(&command)?;
        Ok(self.sheet.version.get())
    }

    /// Sends one search through the entry instance with this index and checks the answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the status is not 200 or the answer is not complete.
    pub fn check_search(&self, entry: usize) -> Result<()> {
        let call = QueryCall::search("stock", "foreman")?;
        let (status, answer) = call.send(self.entries[entry].plan.caller_address)?;
        let is_complete = answer
            .coverage
            .as_ref()
            .is_some_and(|coverage| coverage.complete);
        ensure!(status == 200 && is_complete, "status {status}: {answer:?}");
        Ok(())
    }
}

/// Returns the platform's instance list: the entry instances and every upstream of the sheet.
fn instance_list(sheet: &SheetDocument, plans: &[EntryPlan]) -> Result<Vec<InstanceEntry>> {
    let entries = plans.iter().map(EntryPlan::instance_entry);
    let shards = sheet.services.iter().flat_map(|service| &service.shards);
    let upstreams = shards.flat_map(|shard| &shard.replicas).map(|replica| {
        Ok(InstanceEntry {
            id: replica.id.as_str().parse()?,
            role: InstanceRole::Upstream,
            address: replica.address.clone(),
            peer_address: None,
            operator_address: None,
            state: InstanceState::Live,
        })
    });
    entries.chain(upstreams).collect()
}
