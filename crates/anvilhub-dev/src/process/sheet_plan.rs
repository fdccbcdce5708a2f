use anvilhub_coord::border::sheet::{
    RepeatPolicy, ReplicaEntry, ServiceEntry, ShardEntry, SheetDocument, UrgencyClass,
};
use anvilhub_coord::ids::SheetVersion;
use anvilhub_coord::keyspace::KEY_SPACE_END;
use eyre::Result;

use super::LoopbackBlock;

/// Describes the sheet of a test. Every upstream gets an address of its own.
#[derive(Clone, Debug)]
pub struct SheetPlan {
    /// Version of the sheet.
    pub version: u64,
    /// Services in the sheet.
    pub services: Vec<ServicePlan>,
}

/// Describes a service whose shards divide the key space evenly.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// Name of the service.
    pub name: &'static str,
    /// The only caller that the service allows.
    pub caller: &'static str,
    /// Whether requests of the service may run more than once.
    pub repeatability: RepeatPolicy,
    /// Number of shards.
    pub shards: u64,
    /// Number of replicas of each shard.
    pub replicas: usize,
}

impl ServicePlan {
    /// A small service of searches: 4 shards with 2 replicas each.
    pub fn stock() -> Self {
        Self {
            name: "stock",
            caller: "foreman",
            repeatability: RepeatPolicy::Idempotent,
            shards: 4,
            replicas: 2,
        }
    }

    /// A small service of requests that must not run twice: 1 shard with 3 replicas.
    pub fn dispatch() -> Self {
        Self {
            name: "dispatch",
            caller: "dispatcher",
            repeatability: RepeatPolicy::NonIdempotent,
            shards: 1,
            replicas: 3,
        }
    }
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
    let shards = (0..service.shards)
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
        .take(service.replicas)
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
        start: KEY_SPACE_END * index / service.shards,
        end: KEY_SPACE_END * (index + 1) / service.shards,
        name: name.parse()?,
        replicas,
    })
}
