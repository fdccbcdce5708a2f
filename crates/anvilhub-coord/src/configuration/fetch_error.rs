use derive_more::{Display, Error};

use crate::ids::{ServiceName, SheetDigest};
use crate::sheet::SheetFault;

/// Reason why a fetched sheet cannot be used.
#[derive(Clone, Debug, PartialEq, Display, Error)]
pub enum FetchError {
    /// A service is neither in the reply nor in the sheet that the requester holds.
    #[display(
        "the reply lacks service {service}, which this instance does not hold either; fetch from another peer"
    )]
    MissingService {
        /// Name of the service.
        service: ServiceName,
    },
    /// The content differs from what the peer announced.
    #[display("the content has digest {found} instead of {announced}; fetch from another peer")]
    DigestMismatch {
        /// Digest that the peer announced.
        announced: SheetDigest,
        /// Digest of the content.
        found: SheetDigest,
    },
    /// The content does not pass the check.
    #[display("the fetched sheet has {} faults, first {}; fetch from another peer", faults.len(), faults[0])]
    InvalidSheet {
        /// Faults of the sheet; at least one.
        #[error(not(source))]
        faults: Vec<SheetFault>,
    },
}
