//! Guards against a fetched sheet that differs from the announced one, and against needless traffic.

use anvilhub_coord::configuration::{FetchError, FetchReply, FetchRequest};
use anvilhub_coord::sheet::CheckedSheet;

use crate::fleet::{FleetSimulation, id, sheet};

const SERVICES: [&str; 3] = ["stock", "portal", "reports"];

/// A fetch of version 2, whose service `reports` is new, by an instance that has version 1.
fn fetch() -> (CheckedSheet, CheckedSheet, FetchReply) {
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
fn differing_services_only() {
    let (old, new, reply) = fetch();
    assert_eq!(reply.services.len(), 1);
    let wire = serde_json::to_string(&reply).unwrap();
    let received: FetchReply = serde_json::from_str(&wire).unwrap();
    let assembled = received.assemble(Some(&old)).unwrap();
    assert_eq!(assembled.digest, new.digest);
    assert_eq!(assembled.services, new.services);
}

#[test]
fn altered_service() {
    let (old, _, mut reply) = fetch();
    reply.services[0].shards[0].replicas[0].slots = 3;
    let outcome = reply.assemble(Some(&old));
    assert!(
        matches!(outcome, Err(FetchError::MissingService { .. })),
        "{outcome:?}"
    );
}

#[test]
fn altered_head() {
    let (old, _, mut reply) = fetch();
    reply.confirm_removals = vec!["stock".parse().unwrap()];
    let outcome = reply.assemble(Some(&old));
    assert!(
        matches!(outcome, Err(FetchError::DigestMismatch { .. })),
        "{outcome:?}"
    );
}

#[test]
fn lost_base() {
    // The requester restarted in between and no longer holds what it claimed to hold.
    let (_, _, reply) = fetch();
    assert!(matches!(
        reply.assemble(None),
        Err(FetchError::MissingService { .. })
    ));
}
