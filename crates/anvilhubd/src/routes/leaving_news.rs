//! News of leaving upstreams from the instance list and from peers.

use std::collections::HashMap;

use anvilhub_coord::border::platform::{InstanceList, InstanceRole, InstanceState};
use anvilhub_coord::ids::UpstreamId;
use anvilhub_coord::routing::LeavingSignal;
use anvilhub_coord::time::ClockTime;

use super::RouteTable;

/// Follows the instance list, which names an upstream by its identifier in the sheet.
pub(crate) fn follow_list(routes: &RouteTable, list: &InstanceList, now: ClockTime) {
    let upstreams = list.instances.iter();
    let upstreams = upstreams.filter(|instance| instance.role == InstanceRole::Upstream);
    let states: HashMap<&str, InstanceState> = upstreams
        .map(|instance| (instance.id.as_str(), instance.state))
        .collect();
    for upstream in routes.upstreams() {
        match states.get(upstream.spec.id.as_str()) {
            Some(InstanceState::Leaving) => upstream.mark_leaving(now, LeavingSignal::List),
            Some(InstanceState::Live) => upstream.mark_listed(),
            None => {}
        }
    }
}

/// Marks the upstreams that told a peer that they are leaving.
pub(crate) fn mark_told(routes: &RouteTable, draining: &[UpstreamId], now: ClockTime) {
    for upstream in draining {
        routes.mark_leaving(now, upstream, LeavingSignal::Peer);
    }
}

/// Upstreams that told this instance themselves that they are leaving. What a peer told is not passed on, or
/// instances would confirm each other forever.
pub(crate) fn direct(routes: &RouteTable) -> Vec<UpstreamId> {
    let is_direct =
        |signal: LeavingSignal| matches!(signal, LeavingSignal::Answer | LeavingSignal::Refusal);
    let leaving = routes.leaving().into_iter();
    leaving
        .filter(|(_, signal)| is_direct(*signal))
        .map(|(id, _)| id)
        .collect()
}
