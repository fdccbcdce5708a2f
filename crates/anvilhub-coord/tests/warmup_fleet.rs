//! Replays a burst of callers beside an upstream that is cold, at fleets whose instances hear of each other as in operation:
//! the sum over all instances must stay under the bound in every second, also at the start of the fleet, while members join
//! and leave, and while the fleet is split in two.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use anvilhub_coord::fleet::{CpuCores, FeedRole, FleetTable, MemberInfo, ReaderRule};
use anvilhub_coord::ids::{CallRate, Incarnation, InstanceId};
use anvilhub_coord::limit::{
    LimitSharers, UpstreamProcess, WarmupBound, WarmupReport, WarmupTable,
};
use anvilhub_coord::time::ClockTime;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const BOUND: WarmupBound = WarmupBound {
    overage: 1.5,
    slack: 5.0,
};
const SEED: u64 = 20_261_206;
/// Time between two looks of each instance at the upstream, in milliseconds.
const STEP_MS: u64 = 50;
/// Number of steps for which a list of the instances that share limits is used.
const SHARERS_STEPS: u64 = 4;
/// Maximum time between sending a request and its arrival, in milliseconds.
const MAX_TRAVEL_MS: u64 = 80;

struct Instance {
    table: FleetTable,
    warmups: WarmupTable,
    /// The instances that shared limits when they were last listed.
    sharers: Rc<LimitSharers>,
    /// Group whose members this instance reaches.
    group: u32,
}

/// A fleet, all of whose instances have a request for the cold upstream at every moment.
struct BurstFleet {
    now_ms: u64,
    cold_rate: f64,
    instances: BTreeMap<usize, Instance>,
    /// Times at which requests arrive at the upstream, in milliseconds.
    arrivals: Vec<u64>,
    /// Lists of sharers that occurred before, since hashing them anew takes most of the time of the test.
    known_sharers: HashMap<Vec<InstanceId>, Rc<LimitSharers>>,
    random: StdRng,
}

fn upstream() -> UpstreamProcess {
    UpstreamProcess {
        id: "i-1".parse().expect("an id"),
        incarnation: Incarnation(1),
    }
}

fn info(number: usize) -> MemberInfo {
    let address = "127.0.0.1:1".parse().expect("an address");
    MemberInfo {
        instance: format!("entry-{number}").parse().expect("an id"),
        incarnation: Incarnation(1),
        failure_domain: format!("domain-{}", number % 9).parse().expect("an id"),
        cores: CpuCores([0.5, 0.25, 0.12, 0.3, 0.12][number % 5]),
        peer_address: address,
        relay_address: address,
        is_leaving: false,
        is_cut_off: false,
    }
}

impl BurstFleet {
    /// Starts instances 0 to `count` - 1 at the same moment, beside an upstream that is cold for the whole test.
    fn start(count: usize, cold_rate: f64) -> Self {
        let mut fleet = Self {
            now_ms: 100_000,
            cold_rate,
            instances: BTreeMap::new(),
            arrivals: Vec::new(),
            known_sharers: HashMap::new(),
            random: StdRng::seed_from_u64(SEED),
        };
        for number in 0..count {
            fleet.add(number, 0);
        }
        fleet
    }

    fn now(&self) -> ClockTime {
        ClockTime::from_millis(self.now_ms)
    }

    /// Starts an instance, which asks the seeds 0, 1 and 2 at once.
    fn add(&mut self, number: usize, group: u32) {
        let mut warmups = WarmupTable::new(BOUND);
        let report = WarmupReport {
            process: upstream(),
            number: 1,
            left: Duration::from_secs(1_000),
            max_left: None,
            cold_rate: Some(CallRate(self.cold_rate)),
        };
        warmups.record_reports(self.now(), [report]);
        let instance = Instance {
            table: FleetTable::new(info(number)),
            warmups,
            sharers: Rc::default(),
            group,
        };
        self.instances.insert(number, instance);
        for seed in 0..3 {
            self.exchange(number, seed);
        }
    }

    /// Lets two instances tell each other of the members that they know.
    fn exchange(&mut self, first: usize, second: usize) {
        let group = |number| self.instances.get(&number).map(|instance| instance.group);
        if first == second || group(first).is_none() || group(first) != group(second) {
            return;
        }
        let now = self.now();
        for (from, to) in [(first, second), (second, first)] {
            let gossip = self.instance(from).table.collect_gossip(now);
            let table = &mut self.instance(to).table;
            for member in gossip {
                table.record_gossip(now, member);
            }
        }
    }

    fn instance(&mut self, number: usize) -> &mut Instance {
        self.instances.get_mut(&number).expect("it runs")
    }

    /// Runs the calls between instances of one moment: followers call their readers twice a second, readers call another
    /// one or a seed once a second.
    fn gossip(&mut self) {
        let now = self.now();
        let round = self.now_ms / STEP_MS;
        let numbers: Vec<usize> = self.instances.keys().copied().collect();
        for number in numbers {
            let phase = round + number as u64 * 7;
            let is_due = |interval_ms| phase.is_multiple_of(interval_ms / STEP_MS);
            if !is_due(500) {
                continue;
            }
            let seed = self.random.random_range(0..3);
            let choice = self.random.random_range(0..1_000);
            let table = &self.instances[&number].table;
            let role = ReaderRule::default().choose_role(table, now, |count| choice % count);
            let number_of = |member: &MemberInfo| {
                let id = member.instance.as_str();
                id["entry-".len()..].parse().expect("a number")
            };
            let partner = match role {
                FeedRole::Follower(reader) => Some(number_of(&reader)),
                FeedRole::Reader if is_due(1_000) => {
                    let readers = ReaderRule::default().remote_readers(table, now);
                    match readers.len() {
                        count if count > 0 && choice % 4 > 0 => {
                            Some(number_of(readers[choice % count]))
                        }
                        _ => Some(seed),
                    }
                }
                FeedRole::Reader => None,
            };
            let Some(partner) = partner else {
                continue;
            };
            let is_reached = self
                .instances
                .get(&partner)
                .is_some_and(|other| other.group == self.instances[&number].group);
            match is_reached {
                true => self.exchange(number, partner),
                false => {
                    let member = info(partner).instance;
                    self.instance(number).table.mark_suspect(now, &member);
                }
            }
        }
    }

    /// Lets time pass; every instance sends whenever it may.
    fn run(&mut self, seconds: u64) {
        for _ in 0..seconds * 1_000 / STEP_MS {
            self.now_ms += STEP_MS;
            self.gossip();
            let now = self.now();
            for (number, instance) in &mut self.instances {
                if (self.now_ms / STEP_MS + *number as u64).is_multiple_of(SHARERS_STEPS) {
                    let listed = instance.table.cold_sharers(now, false).into_iter().cloned();
                    let listed: Vec<InstanceId> = listed.collect();
                    let sharers = self
                        .known_sharers
                        .entry(listed)
                        .or_insert_with_key(|listed| Rc::new(LimitSharers::new(listed.clone())));
                    instance.sharers = Rc::clone(sharers);
                }
                let Instance {
                    table,
                    warmups,
                    sharers,
                    ..
                } = instance;
                let own = &table.own_info().instance;
                let share = |count| sharers.whole_share(own, &upstream(), count);
                while !warmups.permit(now, &upstream(), share).is_denied() {
                    warmups.reserve(now, &upstream());
                    assert!(warmups.try_send(now, &upstream(), share));
                    let travel = self.random.random_range(0..=MAX_TRAVEL_MS);
                    self.arrivals.push(self.now_ms + travel);
                }
            }
        }
    }

    /// Checks the bound in every second so far. Returns the requests a second since the last call.
    fn check(&mut self, name: &str, seconds: u64) -> f64 {
        self.arrivals.sort_unstable();
        let bound = self.cold_rate * BOUND.overage + BOUND.slack;
        let in_second = |start: usize| {
            let end = self.arrivals[start] + 1_000;
            self.arrivals[start..].partition_point(|arrival| *arrival < end)
        };
        let most = (0..self.arrivals.len()).map(in_second).max().unwrap_or(0);
        let begin = self.now_ms - seconds * 1_000;
        let recent = self.arrivals.iter().filter(|arrival| **arrival >= begin);
        let rate = recent.count() as f64 / seconds as f64;
        println!(
            "{name}: {} instances, cold_per_s {}: {most} in a second of {bound}, {rate:.1} a second, seed {SEED}",
            self.instances.len(),
            self.cold_rate
        );
        assert!(most as f64 <= bound, "{most} of {bound}");
        rate
    }
}

/// Sizes of the fleets and rates that cold upstreams tolerate.
const FLEETS: [(usize, f64); 4] = [(6, 8.0), (6, 30.0), (86, 25.0), (295, 12.0)];

/// No instance knows of the others when all start at the same moment.
#[test]
fn fleet_starts() {
    for (count, cold_rate) in FLEETS {
        let mut fleet = BurstFleet::start(count, cold_rate);
        fleet.run(10);
        fleet.check("start", 10);
        fleet.run(10);
        let rate = fleet.check("settled", 10);
        assert!(
            rate >= 0.6 * cold_rate,
            "{rate} of {cold_rate} a second are used"
        );
    }
}

/// Members that stop, are killed or start take and leave shares at different moments.
#[test]
fn members_change() {
    for (count, cold_rate) in FLEETS {
        let mut fleet = BurstFleet::start(count, cold_rate);
        fleet.run(8);
        let mut next = count;
        for number in 0..count {
            match number % 4 {
                1 => fleet.instance(number).table.mark_own_leaving(),
                2 => {
                    fleet.instances.remove(&number);
                    fleet.add(next, 0);
                    next += 1;
                }
                _ => {}
            }
            fleet.run(u64::from(number % (count / 6) == 0));
        }
        fleet.run(3);
        fleet.instances.retain(|number, _| number % 4 != 1);
        fleet.run(15);
        fleet.check("change", 10);
    }
}

/// The members of each group take the others for stopped at last. The groups find each other again.
#[test]
fn fleet_split() {
    for (count, cold_rate) in FLEETS {
        let mut fleet = BurstFleet::start(count, cold_rate);
        fleet.run(8);
        for (number, instance) in &mut fleet.instances {
            instance.group = u32::from(number % 9 % 3 == 0);
        }
        fleet.run(70);
        fleet.check("split", 70);
        for instance in fleet.instances.values_mut() {
            instance.group = 0;
        }
        fleet.run(8);
        fleet.check("healed", 8);
    }
}

/// Groups that had no contact from their start on.
#[test]
fn split_from_start() {
    for (count, cold_rate) in FLEETS {
        let mut fleet = BurstFleet::start(0, cold_rate);
        for number in 0..count {
            fleet.add(number, u32::from(number % 2 == 1));
        }
        fleet.run(15);
        fleet.check("split from start", 10);
    }
}

/// Instances that reach no other one do not know what the others send.
#[test]
fn lone_instances_withheld() {
    for (count, cold_rate) in FLEETS {
        let mut fleet = BurstFleet::start(0, cold_rate);
        for number in 0..count {
            fleet.add(number, number as u32);
        }
        fleet.run(6);
        fleet.check("lone", 6);
    }
}
