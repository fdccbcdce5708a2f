use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::border::sheet::{ServiceEntry, SheetDocument};
use crate::ids::{ServiceName, SheetDigest};
use crate::sheet::{CheckedSheet, DraftSheet, ServiceDigests, SheetStamp};

use super::{FetchError, FetchRequest, Result};

/// A sheet that is sent to a peer, with only the services that the peer does not hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FetchReply {
    /// Identity and precedence of the sheet.
    pub stamp: SheetStamp,
    /// Whether the sender has accepted the sheet. Otherwise the sheet is a candidate.
    #[serde(rename = "accepted")]
    pub is_accepted: bool,
    /// Services that may disappear or lose half or more of their upstreams.
    pub confirm_removals: Vec<ServiceName>,
    /// Digests of all services of the sheet.
    pub digests: ServiceDigests,
    /// Services that the requester does not hold.
    pub services: Vec<ServiceEntry>,
}

impl FetchReply {
    /// Creates the reply to `request` from `sheet`.
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

    /// Assembles the sheet from the services of the reply and of `held`, and verifies its digest.
    ///
    /// # Errors
    ///
    /// Returns an error if a service is missing, if the digest differs from the announced one, or if the sheet does not
    /// pass the check.
    pub fn assemble(self, held: Option<&CheckedSheet>) -> Result<CheckedSheet> {
        let announced = self.stamp.digest;
        let mut available: BTreeMap<SheetDigest, ServiceEntry> = BTreeMap::new();
        let held = held.map(|sheet| sheet.document().services.iter().cloned());
        for entry in held.into_iter().flatten().chain(self.services) {
            available.insert(ServiceDigests::compute_digest(&entry), entry);
        }
        let services = self
            .digests
            .iter()
            .map(|(name, digest)| {
                available
                    .remove(&digest)
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
        match sheet.digest == announced {
            true => Ok(sheet),
            false => Err(FetchError::DigestMismatch {
                announced,
                found: sheet.digest,
            }),
        }
    }
}
