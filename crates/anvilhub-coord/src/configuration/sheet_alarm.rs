use derive_more::Display;

use crate::ids::{InstanceId, SheetVersion};

/// A condition that needs an operator's attention.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum SheetAlarm {
    /// The platform's configuration service cannot be read.
    #[display(
        "the configuration service is unreachable; the last accepted sheet stays in force, restore the service"
    )]
    PlatformUnreachable,
    /// The platform's configuration service serves an older sheet than the one in force.
    #[display(
        "the configuration service serves version {served} while version {in_force} is in force; restore its data"
    )]
    PlatformStale {
        /// Version that the configuration service serves.
        served: SheetVersion,
        /// Version in force.
        in_force: SheetVersion,
    },
    /// A listed peer neither answers nor refuses connections, and the instance waits for it.
    #[display(
        "peer {_0} is listed but silent; remove it from the list, end it, or set isolated_start_after_ms"
    )]
    PeerSilent(InstanceId),
    /// Every listed peer of a large fleet was queried, too few have a confirmed sheet, and too many are silent.
    #[display(
        "too many listed peers are silent and too few are sure of a sheet; restore the network between \
         instances, remove ended ones from the list, or set isolated_start_after_ms"
    )]
    FleetSilent,
    /// No instance list is known, so the instance cannot learn the sheet in force.
    #[display(
        "no instance list is known; restore the platform's list or set isolated_start_after_ms"
    )]
    ListUnknown,
    /// One version was published with two different contents.
    #[display("version {_0} was published with two contents; publish again under a higher version")]
    VersionConflict(SheetVersion),
    /// A peer had a sheet in force that no peer can supply any more.
    #[display(
        "version {_0} was in force but no peer can supply it; publish it again or publish a higher version"
    )]
    SheetLost(SheetVersion),
}

impl SheetAlarm {
    /// Returns the stable name of the alarm for metrics and logs.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::PlatformUnreachable => "platform_unreachable",
            Self::PlatformStale { .. } => "platform_stale",
            Self::PeerSilent(_) => "peer_silent",
            Self::FleetSilent => "fleet_silent",
            Self::ListUnknown => "list_unknown",
            Self::VersionConflict(_) => "version_conflict",
            Self::SheetLost(_) => "sheet_lost",
        }
    }
}
