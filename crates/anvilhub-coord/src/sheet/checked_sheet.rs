use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use crate::border::sheet::{ReplicaEntry, RouteEntry, ServiceEntry, ShardEntry};
use crate::ids::{PlatformRevision, ServiceName, SheetDigest, SheetVersion};
use crate::keyspace::KeyRange;

use super::{
    AcceptedSheet, DraftSheet, ReplicaSpec, Result, RoutePolicy, ServiceDigests, ServiceSpec,
    ShardSpec, SheetDocument, SheetFault, SheetTransition,
};

/// A sheet whose whole document has passed the check.
#[derive(Clone, PartialEq)]
pub struct CheckedSheet {
    /// Version of the sheet.
    pub version: SheetVersion,
    /// Digest of the content, which is the version, the confirmed removals and the services, but not the comment.
    pub digest: SheetDigest,
    /// Services that may disappear or lose half or more of their upstreams.
    pub confirm_removals: BTreeSet<ServiceName>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceSpec>,
    digests: ServiceDigests,
    document: Arc<SheetDocument>,
}

impl CheckedSheet {
    /// Parses and checks a whole document.
    ///
    /// # Errors
    ///
    /// Returns all faults of the document, each with its place and remedy.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self> {
        DraftSheet::from_bytes(bytes)?.check()
    }

    /// Returns the digests of the services.
    pub fn service_digests(&self) -> &ServiceDigests {
        &self.digests
    }

    /// Returns the document from which the sheet was read.
    pub fn document(&self) -> &SheetDocument {
        &self.document
    }

    /// Accepts the sheet as the successor of the sheet in force, if there is one.
    ///
    /// # Errors
    ///
    /// Returns all faults for which [`SheetTransition::check`] rejects the transition.
    pub fn accept(
        self,
        in_force: Option<&AcceptedSheet>,
        revision: PlatformRevision,
    ) -> Result<AcceptedSheet> {
        if let Some(in_force) = in_force {
            SheetTransition::new(in_force.sheet(), &self).check()?;
        }
        Ok(AcceptedSheet::new(self, revision))
    }

    /// Accepts a sheet that a peer has already accepted. That peer has checked the transition.
    pub fn adopt(self, revision: PlatformRevision) -> AcceptedSheet {
        AcceptedSheet::new(self, revision)
    }

    /// Converts a document that has passed `SheetCheck`.
    pub(crate) fn from_document(document: SheetDocument) -> Result<Self> {
        let digests = ServiceDigests::from_services(&document.services);
        let confirm_removals = document.confirm_removals.iter().cloned().collect();
        let services = document
            .services
            .iter()
            .enumerate()
            .map(|(index, entry)| convert_service(index, entry))
            .collect::<Result<_>>()?;
        Ok(Self {
            version: document.version,
            digest: digests.sheet_digest(document.version, &confirm_removals),
            confirm_removals,
            services,
            digests,
            document: Arc::new(document),
        })
    }
}

/// Shows only the version and the digest, which determine the rest.
impl fmt::Debug for CheckedSheet {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("CheckedSheet")
            .field("version", &self.version)
            .field("digest", &self.digest)
            .finish_non_exhaustive()
    }
}

fn convert_service(index: usize, entry: &ServiceEntry) -> Result<(ServiceName, ServiceSpec)> {
    let place = format!("/services/{index}");
    let mut shards = entry
        .shards
        .iter()
        .enumerate()
        .map(|(shard, entry)| convert_shard(&format!("{place}/shards/{shard}"), entry))
        .collect::<Result<Vec<_>>>()?;
    shards.sort_by_key(|shard| shard.range);
    let route = entry.route.as_ref();
    let spec = ServiceSpec {
        name: entry.name.clone(),
        callers: entry.callers.iter().cloned().collect(),
        urgency: entry.urgency,
        repeatability: entry.repeatability,
        route: route.map_or_else(RoutePolicy::default, convert_route),
        shards,
    };
    Ok((entry.name.clone(), spec))
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
        vec![SheetFault::new(
            format!("{place}/address"),
            format!("`{}`", entry.address),
            "an IP address and a port, such as 127.0.0.1:7301",
            "replace host names by IP addresses",
        )]
    })?;
    Ok(ReplicaSpec {
        id: entry.id.clone(),
        address,
        failure_domain: entry.failure_domain.clone(),
        slots: entry.slots.into(),
        max_connections: entry.connections.into(),
    })
}
