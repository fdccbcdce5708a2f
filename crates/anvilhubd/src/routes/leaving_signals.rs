//! Signals that upstreams are leaving, from the instance list and from peers.

use std::collections::HashMap;

use anvilhub_coord::border::platform::{InstanceList, InstanceRole, InstanceState};
use anvilhub_coord::ids::UpstreamId;
use anvilhub_coord::routing::LeavingSignal;
use anvilhub_coord::time::ClockTime;

use super::RouteTable;

/// Applies the states of upstreams in the instance list, which names an upstream by its identifier in the sheet.
pub(crate) fn apply_instance_list(routes: &RouteTable, list: &InstanceList, now: ClockTime) {
    let upstreams = list.instances.iter();
    let upstreams = upstreams.filter(|instance| instance.role == InstanceRole::Upstream);
    let states: HashMap<&str, InstanceState> = upstreams
        .map(|instance| (instance.id.as_str(), instance.state))
        .collect();
    for upstream in routes.upstreams() {
        match states.get(upstream.spec.id.as_str()) {
            Some(InstanceState::Leaving) => upstream.mark_leaving(now, LeavingSignal::List),
            Some(InstanceState::Live) => upstream.mark_listed_live(),
            None => {}
        }
    }
}

/// Marks the upstreams that a peer reported as `draining`.
pub(crate) fn apply_peer_report(routes: &RouteTable, draining: &[UpstreamId], now: ClockTime) {
    for upstream in draining {
        routes.mark_leaving(now, upstream, LeavingSignal::Peer);
    }
}

/// Returns the upstreams that announced in an answer or a refusal to this instance that they are leaving. Only these
/// are reported to peers.
///
/// What a peer reported is not reported to other peers: instances would confirm it to each other forever.
pub(crate) fn directly_announced_upstreams(routes: &RouteTable) -> Vec<UpstreamId> {
    let is_direct =
        |signal: LeavingSignal| matches!(signal, LeavingSignal::Answer | LeavingSignal::Refusal);
    let leaving = routes.leaving_upstreams().into_iter();
    leaving
        .filter(|(_, signal)| is_direct(*signal))
        .map(|(id, _)| id)
        .collect()
}
