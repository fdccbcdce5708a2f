//! Guards against a fetched sheet that differs from the announced one, and against sending services that the requester
//! already holds.

use anvilhub_coord::configuration::{FetchError, FetchReply, FetchRequest};
use anvilhub_coord::sheet::CheckedSheet;

use crate::fleet_simulation::{FleetSimulation, id, sheet};

const SERVICES: [&str; 3] = ["stock", "portal", "reports"];

/// Fetches version 2, which adds the service `reports`, for an instance that has version 1. Returns both sheets and the
/// reply.
fn fetch_version_2() -> (CheckedSheet, CheckedSheet, FetchReply) {
    let old = CheckedSheet::from_bytes(&sheet(1, 0, &SERVICES[..2])).unwrap();
    let new = CheckedSheet::from_bytes(&sheet(2, 0, &SERVICES)).unwrap();
    let mut fleet = FleetSimulation::new(&["a"]);
    fleet.platform = Some((10, sheet(2, 0, &SERVICES)));
    fleet.run(std::time::Duration::from_secs(2));
    let request = FetchRequest::new(new.digest, Some(&old));
    let acceptor = &fleet.processes[&id("a")].acceptor;
    let reply = acceptor.serve_fetch(&request).unwrap();
    (old, new, reply)
}

#[test]
fn unchanged_services_omitted() {
    let (old, new, reply) = fetch_version_2();
    assert_eq!(reply.services.len(), 1);
    let text = serde_json::to_string(&reply).unwrap();
    let received: FetchReply = serde_json::from_str(&text).unwrap();
    let assembled = received.assemble(Some(&old)).unwrap();
    assert_eq!(assembled.digest, new.digest);
    assert_eq!(assembled.services, new.services);
}

#[test]
fn altered_service_rejected() {
    let (old, _, mut reply) = fetch_version_2();
    reply.services[0].shards[0].replicas[0].slots = 3;
    let outcome = reply.assemble(Some(&old));
    assert!(
        matches!(outcome, Err(FetchError::MissingService { .. })),
        "{outcome:?}"
    );
}

#[test]
fn altered_removals_rejected() {
    let (old, _, mut reply) = fetch_version_2();
    reply.confirm_removals = vec!["stock".parse().unwrap()];
    let outcome = reply.assemble(Some(&old));
    assert!(
        matches!(outcome, Err(FetchError::DigestMismatch { .. })),
        "{outcome:?}"
    );
}

#[test]
fn missing_services_rejected() {
    // The requester has restarted since the request and no longer holds the services that it named.
    let (_, _, reply) = fetch_version_2();
    assert!(matches!(
        reply.assemble(None),
        Err(FetchError::MissingService { .. })
    ));
}
