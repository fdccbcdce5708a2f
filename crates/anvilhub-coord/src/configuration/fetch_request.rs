use serde::{Deserialize, Serialize};

use crate::ids::SheetDigest;
use crate::sheet::CheckedSheet;

/// Asks a peer for a sheet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchRequest {
    /// Digest of the wanted sheet.
    pub digest: SheetDigest,
    /// Digests of the services that the requester holds and that need not be sent.
    pub held: Vec<SheetDigest>,
}

impl FetchRequest {
    /// A request for the sheet `digest` by an instance that has `in_force`.
    pub fn new(digest: SheetDigest, in_force: Option<&CheckedSheet>) -> Self {
        let held = in_force.map(|sheet| sheet.service_digests().iter().map(|(_, digest)| digest));
        Self {
            digest,
            held: held.into_iter().flatten().collect(),
        }
    }
}
