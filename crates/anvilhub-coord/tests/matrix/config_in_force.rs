//! Guards against an accepted sheet that does not take effect on every instance, or that is replaced by an older one.
//!
//! Each fault is injected at every step of the publication of version 2 and ends later. `FleetSimulation` checks at each
//! step that no instance reverts to an older version. Each test checks that version 2 is finally in force on every
//! instance.

use std::time::Duration;

use anvilhub_coord::configuration::{FetchRequest, SheetInput};
use anvilhub_coord::ids::InstanceId;

use crate::fleet_simulation::{FleetSimulation, id, sheet};

/// Number of steps of 100 ms from the publication until the sheet is in force, if there is no fault.
const PUBLICATION_STEP_COUNT: usize = 14;

/// Maximum time until an accepted sheet is in force on every instance, as the design page states it.
const MAX_SPREAD_TIME: Duration = Duration::from_secs(11);

/// Time between the start and the end of a fault.
const FAULT_DURATION: Duration = Duration::from_secs(3);

fn instance_ids() -> [InstanceId; 3] {
    ["a", "b", "c"].map(id)
}

/// Returns a fleet of three instances with version 1 in force.
fn create_settled_fleet() -> FleetSimulation {
    let mut fleet = FleetSimulation::new(&["a", "b", "c"]);
    fleet.publish(10, 1, 0);
    fleet.run(Duration::from_secs(3));
    assert!(
        instance_ids()
            .iter()
            .all(|instance| fleet.version(instance) == Some(1) && fleet.is_ready(instance))
    );
    fleet
}

/// Publishes version 2 in a new fleet for each step, starts the fault at that step and ends it later, and expects version
/// 2 on every instance.
fn inject_at_every_step(
    start_fault: impl Fn(&mut FleetSimulation),
    end_fault: impl Fn(&mut FleetSimulation),
) {
    for step in 0..PUBLICATION_STEP_COUNT {
        let mut fleet = create_settled_fleet();
        fleet.publish(11, 2, 0);
        for _ in 0..step {
            fleet.step();
        }
        start_fault(&mut fleet);
        fleet.run(FAULT_DURATION);
        end_fault(&mut fleet);
        fleet.run(MAX_SPREAD_TIME);
        for instance in instance_ids() {
            assert_eq!(
                fleet.version(&instance),
                Some(2),
                "{instance}, fault at step {step}"
            );
            assert!(
                fleet.is_ready(&instance),
                "{instance}, fault at step {step}"
            );
        }
        assert_eq!(fleet.stamps().len(), 1, "fault at step {step}");
    }
}

#[test]
fn config_down() {
    inject_at_every_step(
        |fleet| fleet.platform = None,
        |fleet| fleet.publish(11, 2, 0),
    );
}

#[test]
fn config_down_after_acceptance() {
    // The platform stays unreachable: the sheet that one instance accepted must still reach the others.
    let mut fleet = create_settled_fleet();
    fleet.add_partition(&id("a"), &id("b"));
    fleet.add_partition(&id("a"), &id("c"));
    fleet.publish(11, 2, 0);
    for _ in 0..6 {
        fleet.read_platform(&id("a"));
        fleet.run(Duration::from_millis(100));
    }
    fleet.platform = None;
    fleet.partitions.clear();
    fleet.run(MAX_SPREAD_TIME);
    assert!(
        instance_ids()
            .iter()
            .all(|instance| fleet.version(instance) == Some(2))
    );
}

#[test]
fn config_stale() {
    inject_at_every_step(
        |fleet| fleet.publish(9, 1, 7),
        |fleet| fleet.publish(12, 2, 0),
    );
}

#[test]
fn config_stale_after_acceptance() {
    // The platform reverts to the old sheet permanently: all instances keep the accepted one, even after a restart.
    let mut fleet = create_settled_fleet();
    fleet.publish(11, 2, 0);
    fleet.run(Duration::from_secs(2));
    fleet.publish(10, 1, 0);
    fleet.run(Duration::from_secs(2));
    for instance in instance_ids() {
        fleet.kill(&instance);
        fleet.run(Duration::from_millis(300));
        fleet.start(&instance);
        fleet.run(Duration::from_secs(3));
    }
    assert!(
        instance_ids()
            .iter()
            .all(|instance| fleet.version(instance) == Some(2) && fleet.is_ready(instance))
    );
}

#[test]
fn instance_killed() {
    for instance in instance_ids() {
        inject_at_every_step(
            |fleet| fleet.kill(&instance),
            |fleet| fleet.start(&instance),
        );
    }
}

#[test]
fn instance_killed_with_stale_platform() {
    // An instance restarts while the platform serves the old sheet.
    for instance in instance_ids() {
        inject_at_every_step(
            |fleet| {
                fleet.kill(&instance);
                fleet.publish(10, 1, 0);
                fleet.start(&instance);
            },
            |fleet| fleet.publish(11, 2, 0),
        );
    }
}

#[test]
fn planned_stop() {
    // Rolling restart during the publication: every instance is stopped and started once.
    inject_at_every_step(
        |fleet| {
            for instance in instance_ids() {
                fleet.kill(&instance);
                fleet.step();
                fleet.start(&instance);
                fleet.run(Duration::from_secs(2));
            }
        },
        |_| {},
    );
}

#[test]
fn process_paused() {
    for instance in instance_ids() {
        inject_at_every_step(
            |fleet| fleet.pause(&instance),
            |fleet| {
                fleet.resume(&instance);
                assert_eq!(
                    fleet.version(&instance),
                    Some(2),
                    "{instance} has an old version after the pause"
                );
            },
        );
    }
}

#[test]
fn paused_and_cut_off() {
    // An instance that resumes from a pause without reaching a peer or the platform must not be ready, because its sheet
    // may be outdated.
    let mut fleet = create_settled_fleet();
    fleet.pause(&id("a"));
    fleet.publish(11, 2, 0);
    fleet.run(Duration::from_secs(2));
    fleet.add_partition(&id("a"), &id("b"));
    fleet.add_partition(&id("a"), &id("c"));
    fleet.platform = None;
    fleet.resume(&id("a"));
    fleet.run(Duration::from_secs(2));
    assert!(!fleet.is_ready(&id("a")));
    fleet.partitions.clear();
    fleet.run(Duration::from_secs(2));
    assert_eq!(fleet.version(&id("a")), Some(2));
    assert!(fleet.is_ready(&id("a")));
}

#[test]
fn entry_partition() {
    inject_at_every_step(
        |fleet| {
            fleet.add_partition(&id("a"), &id("b"));
            fleet.add_partition(&id("a"), &id("c"));
        },
        |fleet| fleet.partitions.clear(),
    );
}

#[test]
fn entry_partition_with_stale_platform() {
    // An instance that restarts without reaching its peers must not use the old sheet that the platform serves.
    inject_at_every_step(
        |fleet| {
            fleet.kill(&id("a"));
            fleet.add_partition(&id("a"), &id("b"));
            fleet.add_partition(&id("a"), &id("c"));
            fleet.publish(10, 1, 0);
            fleet.start(&id("a"));
            fleet.run(FAULT_DURATION);
            assert_eq!(fleet.version(&id("a")), None);
        },
        |fleet| {
            fleet.partitions.clear();
            fleet.publish(11, 2, 0);
        },
    );
}

#[test]
fn entry_partition_with_two_contents() {
    // Both sides of a partition accept version 2, with different contents. After the partition all instances must use
    // the content with the lower revision.
    let mut fleet = create_settled_fleet();
    fleet.add_partition(&id("a"), &id("b"));
    fleet.add_partition(&id("a"), &id("c"));
    fleet.publish(11, 2, 1);
    for _ in 0..8 {
        fleet.read_platform(&id("a"));
        fleet.apply_input(&id("a"), SheetInput::Tick);
        fleet.now = fleet.now + Duration::from_millis(100);
    }
    fleet.publish(12, 2, 2);
    fleet.run(Duration::from_secs(2));
    assert_eq!(fleet.stamps().len(), 2);
    fleet.partitions.clear();
    fleet.run(MAX_SPREAD_TIME);
    let stamps = fleet.stamps();
    assert_eq!(stamps.len(), 1);
    assert_eq!(stamps.first().unwrap().unwrap().revision.get(), 11);
}

#[test]
fn late_answer() {
    // Version 1 arrives when version 2 is in force or about to be: in late answers to exchanges and fetches, as an
    // accepted sheet and as a candidate, twice, and as the reply of another peer.
    let old = create_settled_fleet();
    let acceptor = &old.processes[&id("b")].acceptor;
    let request = FetchRequest {
        digest: acceptor.in_force().unwrap().stamp().digest,
        held: Vec::new(),
    };
    let reply = acceptor.serve_fetch(&request).unwrap();
    let message = acceptor.exchange_message(false, Vec::new());
    let deliver = |fleet: &mut FleetSimulation| {
        for (peer, accepted) in [("b", true), ("b", false), ("c", true), ("b", true)] {
            let mut reply = reply.clone();
            reply.is_accepted = accepted;
            let peer = id(peer);
            let input = SheetInput::FetchAnswered { peer, reply };
            fleet.apply_input(&id("a"), input);
            let input = SheetInput::PeerMessage {
                message: message.clone(),
                sent_at: Some(old.now),
            };
            fleet.apply_input(&id("a"), input);
        }
    };
    inject_at_every_step(deliver, deliver);
}

#[test]
fn lagging_list() {
    // The list contains an instance that was removed, and lacks an instance that is running.
    inject_at_every_step(
        |fleet| fleet.set_listed([id("a"), id("b"), id("gone")].into()),
        |fleet| fleet.set_listed(instance_ids().into()),
    );
}

#[test]
fn burst_of_changes() {
    // A new version every 100 ms: each acceptance must complete although a newer sheet is already available.
    let mut fleet = create_settled_fleet();
    for version in 2..32 {
        fleet.publish(9 + version, version, 0);
        for instance in instance_ids() {
            fleet.read_platform(&instance);
        }
        fleet.step();
    }
    let during: Vec<Option<u64>> = instance_ids()
        .iter()
        .map(|instance| fleet.version(instance))
        .collect();
    assert!(
        during.iter().all(|version| *version >= Some(20)),
        "{during:?}"
    );
    fleet.run(MAX_SPREAD_TIME);
    assert!(
        instance_ids()
            .iter()
            .all(|instance| fleet.version(instance) == Some(31))
    );
}

#[test]
fn removal_in_burst() {
    // Version 2 has a confirmed removal and is followed by version 3 at once, which must be checked against version 2,
    // not version 1. Each value is read once, as by a watch.
    let mut fleet = FleetSimulation::new(&["a"]);
    fleet.platform = Some((10, sheet(1, 0, &["stock", "portal"])));
    fleet.run(Duration::from_secs(3));
    let text = String::from_utf8(sheet(2, 0, &["stock"])).unwrap();
    let confirmed = text.replacen('{', r#"{"confirm_removals":["portal"],"#, 1);
    fleet.platform = Some((11, confirmed.into_bytes()));
    fleet.read_platform(&id("a"));
    fleet.publish(12, 3, 0);
    fleet.read_platform(&id("a"));
    for _ in 0..4 {
        fleet.tick(Duration::from_millis(600));
    }
    assert_eq!(fleet.version(&id("a")), Some(3));
}

#[test]
fn silent_connection() {
    // Connections to peers become silent during a fetch.
    inject_at_every_step(
        |fleet| fleet.fetches_to_fail = 5,
        |fleet| fleet.fetches_to_fail = 0,
    );
}
