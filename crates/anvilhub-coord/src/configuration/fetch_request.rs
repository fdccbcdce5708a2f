use serde::{Deserialize, Serialize};

use crate::ids::SheetDigest;
use crate::sheet::CheckedSheet;

/// Request to a peer for a sheet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchRequest {
    /// Digest of the requested sheet.
    pub digest: SheetDigest,
    /// Digests of the services that the requester already holds, which are left out of the reply.
    pub held: Vec<SheetDigest>,
}

impl FetchRequest {
    /// Creates a request for the sheet with the given digest, from an instance that has the sheet `in_force`.
    pub fn new(digest: SheetDigest, in_force: Option<&CheckedSheet>) -> Self {
        let held = in_force.map(|sheet| sheet.service_digests().iter().map(|(_, digest)| digest));
        Self {
            digest,
            held: held.into_iter().flatten().collect(),
        }
    }
}
