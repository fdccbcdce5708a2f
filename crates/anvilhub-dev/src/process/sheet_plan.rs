use anvilhub_coord::border::sheet::{
    ReplicaEntry, ServiceEntry, ShardEntry, SheetDocument, UrgencyClass,
};
use anvilhub_coord::ids::SheetVersion;
use anvilhub_coord::keyspace::KEY_SPACE_END;
use eyre::Result;

use super::{LoopbackBlock, ServicePlan};

/// Describes the sheet of a test. Every upstream gets an address of its own.
#[derive(Clone, Debug)]
pub struct SheetPlan {
    /// Version of the sheet.
    pub version: u64,
    /// Services in the sheet.
    pub services: Vec<ServicePlan>,
}

impl Default for SheetPlan {
    fn default() -> Self {
        Self {
            version: 1,
            services: vec![ServicePlan::stock(), ServicePlan::dispatch()],
        }
    }
}

impl SheetPlan {
    /// Builds the sheet document with addresses from `block`. For example, the second replica of shard 2 of
    /// `stock` is called `stock-2-b`.
    ///
    /// # Errors
    ///
    /// Returns an error if no address is free.
    pub fn document(&self, block: &LoopbackBlock) -> Result<SheetDocument> {
        let services = self
            .services
            .iter()
            .map(|service| service_entry(service, block))
            .collect::<Result<_>>()?;
        Ok(SheetDocument {
            version: SheetVersion(self.version),
            comment: None,
            confirm_removals: Vec::new(),
            services,
        })
    }
}

fn service_entry(service: &ServicePlan, block: &LoopbackBlock) -> Result<ServiceEntry> {
    let shards = (0..service.shard_count)
        .map(|index| shard_entry(service, index, block))
        .collect::<Result<_>>()?;
    Ok(ServiceEntry {
        name: service.name.parse()?,
        callers: vec![service.caller.parse()?],
        urgency: UrgencyClass::Urgent,
        repeatability: service.repeatability,
        route: None,
        shards,
    })
}

fn shard_entry(service: &ServicePlan, index: u64, block: &LoopbackBlock) -> Result<ShardEntry> {
    let name = format!("{}-{}", service.name, index + 1);
    let replicas = ('a'..='z')
        .take(service.replica_count)
        .map(|letter| {
            Ok(ReplicaEntry {
                id: format!("{name}-{letter}").parse()?,
                address: block.next_address()?.to_string(),
                failure_domain: format!("domain-{letter}").parse()?,
                slots: 2,
                connections: 25,
            })
        })
        .collect::<Result<_>>()?;
    Ok(ShardEntry {
        start: KEY_SPACE_END * index / service.shard_count,
        end: KEY_SPACE_END * (index + 1) / service.shard_count,
        name: name.parse()?,
        replicas,
    })
}
