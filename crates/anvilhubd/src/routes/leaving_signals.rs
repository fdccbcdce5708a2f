//! Signals that upstreams are leaving, from the instance list and from peers.

use std::collections::HashMap;

use anvilhub_coord::border::platform::{InstanceList, InstanceRole, InstanceState};
use anvilhub_coord::configuration::ExchangeMessage;
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

/// Marks the upstreams that a peer's message names as leaving.
pub(crate) fn apply_peer_message(routes: &RouteTable, message: &ExchangeMessage, now: ClockTime) {
    for upstream in &message.draining {
        routes.mark_leaving(now, upstream, LeavingSignal::Peer);
    }
    for upstream in &message.reported_draining {
        routes.mark_leaving(now, upstream, LeavingSignal::PeerReport);
    }
}
