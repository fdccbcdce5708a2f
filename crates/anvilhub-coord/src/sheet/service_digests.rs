use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::border::sheet::ServiceEntry;
use crate::ids::{ServiceName, SheetDigest, SheetVersion};

/// Digests of the services of a sheet. Instances compare them to fetch only the services that differ.
///
/// A digest covers the service as it was published, without defaults. Instances whose program versions have different
/// defaults therefore compute the same digest.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServiceDigests {
    digests: BTreeMap<ServiceName, SheetDigest>,
}

impl ServiceDigests {
    /// Computes the digests of `services`.
    pub fn from_services(services: &[ServiceEntry]) -> Self {
        let digests = services
            .iter()
            .map(|entry| (entry.name.clone(), Self::compute_digest(entry)))
            .collect();
        Self { digests }
    }

    /// Computes the digest of one service.
    pub fn compute_digest(entry: &ServiceEntry) -> SheetDigest {
        let bytes = serde_json::to_vec(entry).expect("entries have text keys and finite numbers");
        SheetDigest::compute(&bytes)
    }

    /// Returns the digest of the service `name`.
    pub fn get(&self, name: &ServiceName) -> Option<SheetDigest> {
        self.digests.get(name).copied()
    }

    /// Returns the services and their digests in the order of the names.
    pub fn iter(&self) -> impl Iterator<Item = (&ServiceName, SheetDigest)> {
        self.digests.iter().map(|(name, digest)| (name, *digest))
    }

    /// Computes the digest of a sheet with these services.
    pub fn sheet_digest(
        &self,
        version: SheetVersion,
        confirm_removals: &BTreeSet<ServiceName>,
    ) -> SheetDigest {
        let content = (version, confirm_removals, &self.digests);
        let bytes = serde_json::to_vec(&content).expect("digests have text keys");
        SheetDigest::compute(&bytes)
    }
}
