use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, UpstreamId};

/// One process of an upstream. A process that starts again under the same id knows nothing of the limits of the earlier
/// one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UpstreamProcess {
    /// Id of the upstream.
    pub id: UpstreamId,
    /// Distinguishes processes with the same id.
    pub incarnation: Incarnation,
}
