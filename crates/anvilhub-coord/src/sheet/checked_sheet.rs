use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::border::sheet::{ReplicaEntry, RouteEntry, ServiceEntry, ShardEntry};
use crate::ids::{ServiceName, SheetDigest, SheetVersion};
use crate::keyspace::KeyRange;

use super::{ReplicaSpec, Result, RoutePolicy, ServiceSpec, ShardSpec, SheetDocument, SheetFault};

/// A sheet that passed the check of the whole document.
#[derive(Clone, Debug, PartialEq)]
pub struct CheckedSheet {
    /// Version of the sheet.
    pub version: SheetVersion,
    /// Digest of the document's bytes.
    pub digest: SheetDigest,
    /// Services that may disappear or lose half or more of their upstreams.
    pub confirm_removals: BTreeSet<ServiceName>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceSpec>,
}

impl CheckedSheet {
    /// Parses and checks a whole document.
    ///
    /// # Errors
    ///
    /// Every fault that the document has, each with its place and remedy.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self> {
        let document: SheetDocument =
            serde_json::from_slice(bytes).map_err(|error| vec![syntax_fault(&error)])?;
        let mut services = BTreeMap::new();
        for (index, entry) in document.services.iter().enumerate() {
            let service = convert_service(index, entry)?;
            services.insert(service.name.clone(), service);
        }
        Ok(Self {
            version: document.version,
            digest: SheetDigest::of(bytes),
            confirm_removals: document.confirm_removals.into_iter().collect(),
            services,
        })
    }
}

fn syntax_fault(error: &serde_json::Error) -> SheetFault {
    SheetFault {
        place: format!("line {} column {}", error.line(), error.column()),
        found: error.to_string(),
        expected: "a JSON document as `docs/sheet.md` describes".to_owned(),
        remedy: "export the sheet again and publish it whole".to_owned(),
    }
}

fn convert_service(index: usize, entry: &ServiceEntry) -> Result<ServiceSpec> {
    let place = format!("/services/{index}");
    let shards = entry
        .shards
        .iter()
        .enumerate()
        .map(|(shard, entry)| convert_shard(&format!("{place}/shards/{shard}"), entry))
        .collect::<Result<Vec<_>>>()?;
    Ok(ServiceSpec {
        name: entry.name.clone(),
        callers: entry.callers.iter().cloned().collect(),
        urgency: entry.urgency,
        repeatability: entry.repeatability,
        route: entry
            .route
            .as_ref()
            .map_or_else(RoutePolicy::default, convert_route),
        shards,
    })
}

fn convert_route(entry: &RouteEntry) -> RoutePolicy {
    let defaults = RoutePolicy::default();
    RoutePolicy {
        mode: entry.mode.unwrap_or(defaults.mode),
        extra_load: entry
            .extra_load_percent
            .map_or(defaults.extra_load, |percent| percent / 100.0),
        hedge_quantile: entry
            .hedge_percentile
            .map_or(defaults.hedge_quantile, |percentile| percentile / 100.0),
        default_deadline: entry
            .default_deadline_ms
            .map_or(defaults.default_deadline, Duration::from_millis),
    }
}

fn convert_shard(place: &str, entry: &ShardEntry) -> Result<ShardSpec> {
    let replicas = entry
        .replicas
        .iter()
        .enumerate()
        .map(|(index, entry)| convert_replica(&format!("{place}/replicas/{index}"), entry))
        .collect::<Result<Vec<_>>>()?;
    Ok(ShardSpec {
        name: entry.name.clone(),
        range: KeyRange::new(entry.start, entry.end),
        replicas,
    })
}

fn convert_replica(place: &str, entry: &ReplicaEntry) -> Result<ReplicaSpec> {
    let address = entry.address.parse().map_err(|_| {
        vec![SheetFault {
            place: format!("{place}/address"),
            found: format!("`{}`", entry.address),
            expected: "an IP address and a port, such as 127.0.0.1:7301".to_owned(),
            remedy: "replace host names by IP addresses".to_owned(),
        }]
    })?;
    Ok(ReplicaSpec {
        id: entry.id.clone(),
        address,
        failure_domain: entry.failure_domain.clone(),
        slots: entry.slots.into(),
        connections: entry.connections.into(),
    })
}
