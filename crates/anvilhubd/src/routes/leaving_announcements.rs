use anvilhub_coord::ids::UpstreamId;
use anvilhub_coord::routing::LeavingSignal;
use anvilhub_coord::time::ClockTime;

use super::RouteTable;

/// Upstreams of which this instance tells its peers that they are leaving.
///
/// What a peer said is not passed on: instances would confirm it to each other forever.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct LeavingAnnouncements {
    /// Upstreams that announced it to this instance in an answer or a refusal.
    pub(crate) direct: Vec<UpstreamId>,
    /// Upstreams whose load report says so, which can be false. An instance that doesn't own their shard requests no reports,
    /// but may send to them when the owner is silent.
    pub(crate) reported: Vec<UpstreamId>,
}

impl LeavingAnnouncements {
    /// Collects the upstreams of `routes` that are known to be leaving.
    pub(crate) fn collect(routes: &RouteTable, now: ClockTime) -> Self {
        let mut announcements = Self::default();
        for (upstream, signal) in routes.announced_upstreams(now) {
            match signal {
                LeavingSignal::Answer | LeavingSignal::Refusal => {
                    announcements.direct.push(upstream);
                }
                LeavingSignal::Report => announcements.reported.push(upstream),
                LeavingSignal::List | LeavingSignal::Peer | LeavingSignal::PeerReport => {}
            }
        }
        announcements
    }
}
