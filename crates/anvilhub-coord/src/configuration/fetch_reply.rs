use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::border::sheet::{ServiceEntry, SheetDocument};
use crate::ids::{ServiceName, SheetDigest};
use crate::sheet::{CheckedSheet, DraftSheet, ServiceDigests, SheetStamp};

use super::{FetchError, FetchRequest, Result};

/// A sheet on its way to a peer: only the services that the peer does not hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FetchReply {
    /// Identity of the sheet.
    pub stamp: SheetStamp,
    /// Whether the sender has accepted it; otherwise it is a candidate.
    #[serde(rename = "accepted")]
    pub is_accepted: bool,
    /// Services that may disappear or lose half or more of their upstreams.
    pub confirm_removals: Vec<ServiceName>,
    /// All services of the sheet with their digests.
    pub digests: ServiceDigests,
    /// The services that the requester does not hold.
    pub services: Vec<ServiceEntry>,
}

impl FetchReply {
    /// The part of `sheet` that `request` asks for.
    pub(crate) fn new(
        sheet: &CheckedSheet,
        stamp: SheetStamp,
        is_accepted: bool,
        request: &FetchRequest,
    ) -> Self {
        let digests = sheet.service_digests();
        let is_missing = |entry: &&ServiceEntry| {
            let digest = digests.get(&entry.name);
            digest.is_none_or(|digest| !request.held.contains(&digest))
        };
        let services = &sheet.document().services;
        Self {
            stamp,
            is_accepted,
            confirm_removals: sheet.confirm_removals.iter().cloned().collect(),
            digests: digests.clone(),
            services: services.iter().filter(is_missing).cloned().collect(),
        }
    }

    /// Puts the sheet together from the reply and the services of `held`, and verifies its digest.
    ///
    /// # Errors
    ///
    /// Fails when a service is missing, when the digest differs from the announced one, or when the sheet
    /// does not pass the check.
    pub fn assemble(self, held: Option<&CheckedSheet>) -> Result<CheckedSheet> {
        let wanted = self.stamp.digest;
        let mut pool: BTreeMap<SheetDigest, ServiceEntry> = BTreeMap::new();
        let held = held.map(|sheet| sheet.document().services.iter().cloned());
        for entry in held.into_iter().flatten().chain(self.services) {
            pool.insert(ServiceDigests::compute_digest(&entry), entry);
        }
        let services = self
            .digests
            .iter()
            .map(|(name, digest)| {
                pool.remove(&digest)
                    .ok_or_else(|| FetchError::MissingService {
                        service: name.clone(),
                    })
            })
            .collect::<Result<Vec<_>>>()?;
        let document = SheetDocument {
            version: self.stamp.version,
            comment: None,
            confirm_removals: self.confirm_removals,
            services,
        };
        let sheet = DraftSheet::from_document(document)
            .check()
            .map_err(|faults| FetchError::InvalidSheet { faults })?;
        match sheet.digest == wanted {
            true => Ok(sheet),
            false => Err(FetchError::DigestMismatch {
                wanted,
                found: sheet.digest,
            }),
        }
    }
}
