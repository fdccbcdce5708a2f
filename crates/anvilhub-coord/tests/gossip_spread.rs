//! Guards against a change that does not reach every instance of a large fleet in time, and against a
//! control traffic above the budget of the target size.

use std::time::Duration;

use anvilhub_coord::configuration::{ExchangeMessage, PeerIdentity, PeerStage};
use anvilhub_coord::ids::{
    FailureDomain, Incarnation, InstanceId, PlatformRevision, SheetDigest, SheetVersion,
};
use anvilhub_coord::membership::GossipPlan;
use anvilhub_coord::sheet::SheetStamp;
use anvilhub_coord::time::ClockTime;

const FLEET: usize = 1_900;

/// Rounds within the 11 s in which a change must be in force, minus 1 s for settling and fetching.
const MAX_ROUNDS: usize = 20;

const SEED: u64 = 20_261_204;

fn instance(index: usize) -> InstanceId {
    format!("entry-{index:04}").parse().unwrap()
}

/// Runs rounds of pushes and pulls until all know a change that `readers` instances know at first. Returns
/// the rounds and the exchanges.
fn spread(readers: usize, lost_percent: usize) -> (usize, usize) {
    let peers: Vec<InstanceId> = (0..FLEET).map(instance).collect();
    let start = ClockTime::from_millis(1_000);
    let plan = |index: usize| GossipPlan::new(SEED + index as u64, start);
    let mut plans: Vec<GossipPlan> = (0..FLEET).map(plan).collect();
    let mut knows: Vec<bool> = (0..FLEET).map(|index| index < readers).collect();
    let mut exchanges = 0;
    for round in 0..MAX_ROUNDS {
        let now = start + Duration::from_millis(500) * u32::try_from(round).unwrap();
        for index in 0..FLEET {
            if knows[index] && round == 0 {
                plans[index].announce_change(now);
            }
            for peer in plans[index].select_peers(now, &peers) {
                exchanges += 1;
                if exchanges % 100 < lost_percent {
                    continue;
                }
                let other: usize = peer.as_str()["entry-".len()..].parse().unwrap();
                if knows[index] != knows[other] {
                    let learner = if knows[index] { other } else { index };
                    knows[learner] = true;
                    plans[learner].announce_change(now);
                }
            }
        }
        if knows.iter().all(|known| *known) {
            return (round + 1, exchanges);
        }
    }
    panic!(
        "{} of {FLEET} know the change, seed {SEED}",
        knows.iter().filter(|known| **known).count()
    );
}

#[test]
fn whole_fleet() {
    println!("seed {SEED}");
    for (readers, lost) in [(21, 0), (1, 0), (1, 40)] {
        let (rounds, exchanges) = spread(readers, lost);
        println!("{readers} readers, {lost}% lost: {rounds} rounds, {exchanges} exchanges");
    }
}

#[test]
fn average_traffic() {
    // A day's share of 3,100 changes, each announced as a candidate and once more when it is in force.
    const SECONDS: u64 = 280;
    const CHANGE_INTERVAL_MS: u64 = 86_400_000 / 3_100;
    // Three quarters of 6 KB/s; the rest is left to framing and to the fetched services.
    const BUDGET: u64 = 4_500;

    let mut plan = GossipPlan::new(SEED, ClockTime::default());
    let peers: Vec<InstanceId> = (0..FLEET).map(instance).collect();
    let mut bytes = 0;
    for millis in (0..SECONDS * 1_000).step_by(10) {
        let now = ClockTime::from_millis(millis);
        let since_change = millis % CHANGE_INTERVAL_MS;
        if since_change < 10 || (500..510).contains(&since_change) {
            plan.announce_change(now);
        }
        // One message out and one back, and as many exchanges are begun by peers.
        let messages = plan.select_peers(now, &peers).len() as u64 * 4;
        bytes += messages * message_bytes(since_change < 500);
    }
    println!("seed {SEED}: {} bytes a second", bytes / SECONDS);
    println!(
        "{} bytes a message, {} with a candidate",
        message_bytes(false),
        message_bytes(true)
    );
    assert!(bytes / SECONDS < BUDGET, "{}", bytes / SECONDS);
}

fn message_bytes(has_candidate: bool) -> u64 {
    let domain: FailureDomain = "region-1-domain-3".parse().unwrap();
    let stamp = SheetStamp {
        version: SheetVersion(2_263_000),
        revision: PlatformRevision(2_263_100),
        digest: SheetDigest::compute(b"sheet"),
    };
    let message = ExchangeMessage {
        sender: PeerIdentity {
            instance: instance(1_899),
            incarnation: Incarnation(u64::MAX),
            peer_address: "10.120.130.140:17400".parse().unwrap(),
            failure_domain: domain,
        },
        stage: PeerStage::Ready,
        accepted: Some(stamp),
        candidate: has_candidate.then_some(stamp),
        draining: Vec::new(),
    };
    serde_json::to_vec(&message).unwrap().len() as u64
}
