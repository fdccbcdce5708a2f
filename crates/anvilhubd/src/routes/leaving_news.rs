//! News of leaving upstreams from the instance list and from peers.

use std::collections::HashSet;

use anvilhub_coord::border::platform::{InstanceEntry, InstanceList, InstanceRole, InstanceState};
use anvilhub_coord::ids::UpstreamId;
use anvilhub_coord::routing::LeavingSignal;

use super::RouteTable;

/// Marks the upstreams that the instance list names as leaving. The list names an upstream by its identifier
/// in the sheet.
pub(crate) fn mark_listed(routes: &RouteTable, list: &InstanceList) {
    let is_leaving = |instance: &&InstanceEntry| {
        instance.role == InstanceRole::Upstream && instance.state == InstanceState::Leaving
    };
    let leaving = list.instances.iter().filter(is_leaving);
    let leaving: HashSet<&str> = leaving.map(|instance| instance.id.as_str()).collect();
    for upstream in routes.upstreams() {
        if leaving.contains(upstream.spec.id.as_str()) {
            upstream.mark_leaving(LeavingSignal::List);
        }
    }
}

/// Marks the upstreams that told a peer that they are leaving.
pub(crate) fn mark_told(routes: &RouteTable, draining: &[UpstreamId]) {
    for upstream in draining {
        routes.mark_leaving(upstream, LeavingSignal::Peer);
    }
}

/// Upstreams that told this instance themselves that they are leaving. What a peer told is not passed on, or
/// instances would confirm each other for ever.
pub(crate) fn direct(routes: &RouteTable) -> Vec<UpstreamId> {
    let is_direct =
        |signal: LeavingSignal| matches!(signal, LeavingSignal::Answer | LeavingSignal::Refusal);
    let leaving = routes.leaving().into_iter();
    leaving
        .filter(|(_, signal)| is_direct(*signal))
        .map(|(id, _)| id)
        .collect()
}
