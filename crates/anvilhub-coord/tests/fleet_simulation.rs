//! A simulated fleet of acceptors with a simulated platform and network partitions, driven by a manual clock.
//!
//! Every run checks that the sheet in force of a process never reverts, and that a restarted instance does not become
//! ready with a sheet that is too old: in a small fleet, its version must be at least the highest that a peer had in
//! force when the instance started, in a large fleet at least the lowest.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use anvilhub_coord::configuration::{
    AcceptorSettings, PeerIdentity, SheetAcceptor, SheetAction, SheetInput,
};
use anvilhub_coord::ids::{Incarnation, InstanceId, PlatformRevision, SheetVersion};
use anvilhub_coord::membership::SampleRule;
use anvilhub_coord::sheet::SheetStamp;
use anvilhub_coord::time::ClockTime;

/// Time between ticks.
const STEP_TIME: Duration = Duration::from_millis(100);

/// Number of steps between two rounds of exchanges and reads of the platform.
const STEPS_PER_ROUND: u64 = 5;

/// The process of an instance.
#[derive(Clone, Debug)]
pub struct AcceptorProcess {
    pub acceptor: SheetAcceptor,
    pub is_paused: bool,
    incarnation: u64,
    /// Highest stamp that was in force.
    highest_stamp: Option<SheetStamp>,
    /// Peers that ran when the process started, each with its incarnation and the version that it had in force.
    peer_versions: Vec<(InstanceId, u64, SheetVersion)>,
}

/// The fleet, the platform and the network.
#[derive(Clone, Debug, Default)]
pub struct FleetSimulation {
    pub now: ClockTime,
    pub processes: BTreeMap<InstanceId, AcceptorProcess>,
    pub listed: BTreeSet<InstanceId>,
    /// Revision and bytes that the platform serves, or `None` while it is unreachable.
    pub platform: Option<(u64, Vec<u8>)>,
    /// Interrupted network paths, as pairs of sender and receiver.
    pub partitions: BTreeSet<(InstanceId, InstanceId)>,
    pub settings: AcceptorSettings,
    /// Number of fetches that fail before one can succeed.
    pub fetches_to_fail: u32,
    pub log: Vec<String>,
    step_count: u64,
    last_incarnation: u64,
}

pub fn id(name: &str) -> InstanceId {
    name.parse().unwrap()
}

/// Returns a small sheet. `content` distinguishes two sheets of the same version.
pub fn sheet(version: u64, content: u64, services: &[&str]) -> Vec<u8> {
    let service = |(index, name): (usize, &&str)| {
        serde_json::json!({
            "name": name, "callers": ["foreman"], "urgency": "urgent", "repeatability": "idempotent",
            "route": {"default_deadline_ms": 100 + content},
            "shards": [{"name": "whole", "start": 0, "end": 4_294_967_296_u64, "replicas": [{
                "id": format!("{name}-0"), "address": format!("127.0.0.1:{}", 7_000 + index),
                "failure_domain": "domain-a", "slots": 2, "connections": 4}]}]
        })
    };
    let services: Vec<_> = services.iter().enumerate().map(service).collect();
    serde_json::to_vec(&serde_json::json!({"version": version, "services": services})).unwrap()
}

impl FleetSimulation {
    /// Creates a fleet of listed instances and starts all of them.
    pub fn new(names: &[&str]) -> Self {
        Self::with_sample(names, SampleRule::default())
    }

    /// Creates a fleet as `new` does, with another rule for the queries at a start.
    pub fn with_sample(names: &[&str], sample: SampleRule) -> Self {
        let mut fleet = Self {
            settings: AcceptorSettings {
                sample_rule: sample,
                ..AcceptorSettings::default()
            },
            listed: names.iter().map(|name| id(name)).collect(),
            now: ClockTime::from_millis(1_000),
            ..Self::default()
        };
        for name in names {
            fleet.start(&id(name));
        }
        fleet
    }

    /// Publishes a sheet of one service.
    pub fn publish(&mut self, revision: u64, version: u64, content: u64) {
        self.platform = Some((revision, sheet(version, content, &["stock"])));
    }

    /// Starts a process of the instance, which replaces an earlier one.
    pub fn start(&mut self, instance: &InstanceId) {
        self.last_incarnation += 1;
        let identity = PeerIdentity {
            instance: instance.clone(),
            incarnation: Incarnation(self.last_incarnation),
            peer_address: "127.0.0.1:7400".parse().unwrap(),
            failure_domain: "domain-a".parse().unwrap(),
        };
        let peers = self.processes.iter().filter(|(peer, _)| *peer != instance);
        let peer_versions = peers
            .filter_map(|(peer, process)| {
                Some((
                    peer.clone(),
                    process.incarnation,
                    process.highest_stamp?.version,
                ))
            })
            .collect();
        let process = AcceptorProcess {
            acceptor: SheetAcceptor::new(identity, self.settings.clone(), self.now),
            is_paused: false,
            incarnation: self.last_incarnation,
            highest_stamp: None,
            peer_versions,
        };
        self.processes.insert(instance.clone(), process);
        self.send_peer_list(instance);
    }

    pub fn kill(&mut self, instance: &InstanceId) {
        self.processes.remove(instance);
    }

    /// Replaces the instance list and sends it to all running instances.
    pub fn set_listed(&mut self, listed: BTreeSet<InstanceId>) {
        self.listed = listed;
        for instance in self.running() {
            self.send_peer_list(&instance);
        }
    }

    pub fn pause(&mut self, instance: &InstanceId) {
        self.processes.get_mut(instance).unwrap().is_paused = true;
    }

    pub fn resume(&mut self, instance: &InstanceId) {
        self.processes.get_mut(instance).unwrap().is_paused = false;
        self.apply_input(instance, SheetInput::Resumed);
    }

    /// Interrupts the network between two instances in both directions.
    pub fn add_partition(&mut self, left: &InstanceId, right: &InstanceId) {
        self.partitions.insert((left.clone(), right.clone()));
        self.partitions.insert((right.clone(), left.clone()));
    }

    /// Runs the fleet for `duration` with ticks, exchanges and reads.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    /// Advances the time by one step: a tick of every running instance, and exchanges and reads in every round.
    pub fn step(&mut self) {
        self.now = self.now + STEP_TIME;
        self.step_count += 1;
        for instance in self.running() {
            if self.step_count.is_multiple_of(STEPS_PER_ROUND) {
                self.read_platform(&instance);
                self.exchange_all(&instance);
            }
            self.apply_input(&instance, SheetInput::Tick);
        }
    }

    /// Advances the time by `duration` with one tick, without regular exchanges and reads.
    pub fn tick(&mut self, duration: Duration) {
        self.now = self.now + duration;
        for instance in self.running() {
            self.apply_input(&instance, SheetInput::Tick);
        }
    }

    /// Returns the instances whose processes run and are not paused.
    pub fn running(&self) -> Vec<InstanceId> {
        let processes = self.processes.iter();
        processes
            .filter(|(_, process)| !process.is_paused)
            .map(|(instance, _)| instance.clone())
            .collect()
    }

    /// Lets `instance` read the platform.
    pub fn read_platform(&mut self, instance: &InstanceId) {
        let input = match self.platform.clone() {
            Some((revision, bytes)) => SheetInput::PlatformValue {
                requested_at: self.now,
                revision: PlatformRevision(revision),
                bytes,
            },
            None => SheetInput::PlatformUnreachable,
        };
        self.apply_input(instance, input);
    }

    /// Performs one exchange, whose answer is lost if `lose_answer` is set.
    pub fn exchange(&mut self, from: &InstanceId, to: &InstanceId, lose_answer: bool) {
        let mut queue = VecDeque::new();
        self.queue_exchange(from, to, lose_answer, &mut queue);
        self.perform_actions(queue);
    }

    pub fn apply_input(&mut self, instance: &InstanceId, input: SheetInput) {
        let mut queue = VecDeque::new();
        self.queue_input(instance, input, &mut queue);
        self.perform_actions(queue);
    }

    /// Returns the version in force at `instance`.
    pub fn version(&self, instance: &InstanceId) -> Option<u64> {
        let sheet = self.processes.get(instance)?.acceptor.in_force()?;
        Some(sheet.version().get())
    }

    pub fn is_ready(&self, instance: &InstanceId) -> bool {
        let process = self.processes.get(instance);
        process.is_some_and(|process| process.acceptor.is_ready())
    }

    /// Returns the distinct stamps in force in all processes.
    pub fn stamps(&self) -> BTreeSet<Option<SheetStamp>> {
        let processes = self.processes.values();
        processes
            .map(|process| process.acceptor.in_force().map(|sheet| sheet.stamp()))
            .collect()
    }

    fn send_peer_list(&mut self, instance: &InstanceId) {
        let listed = self.listed.clone();
        self.apply_input(instance, SheetInput::PeersListed(listed));
    }

    fn exchange_all(&mut self, from: &InstanceId) {
        for to in self.listed.clone() {
            self.exchange(from, &to, false);
        }
    }

    fn queue_exchange(
        &mut self,
        from: &InstanceId,
        to: &InstanceId,
        lose_answer: bool,
        queue: &mut VecDeque<(InstanceId, SheetAction)>,
    ) {
        if from == to {
            return;
        }
        let is_partitioned = self.partitions.contains(&(from.clone(), to.clone()));
        let (peer, sent_at) = (to.clone(), self.now);
        let failure = match self.processes.get(to) {
            _ if is_partitioned => Some(SheetInput::PeerSilent { peer, sent_at }),
            None => Some(SheetInput::PeerAbsent { peer, sent_at }),
            Some(process) if process.is_paused => Some(SheetInput::PeerSilent { peer, sent_at }),
            Some(_) => None,
        };
        if let Some(failure) = failure {
            return self.queue_input(from, failure, queue);
        }
        let request = SheetInput::PeerMessage {
            message: self.processes[from]
                .acceptor
                .exchange_message(false, Vec::new()),
            sent_at: None,
        };
        self.queue_input(to, request, queue);
        if lose_answer {
            return;
        }
        let answer = SheetInput::PeerMessage {
            message: self.processes[to]
                .acceptor
                .exchange_message(false, Vec::new()),
            sent_at: Some(self.now),
        };
        self.queue_input(from, answer, queue);
    }

    fn queue_input(
        &mut self,
        instance: &InstanceId,
        input: SheetInput,
        queue: &mut VecDeque<(InstanceId, SheetAction)>,
    ) {
        let process = self.processes.get_mut(instance).unwrap();
        let actions = process.acceptor.handle(self.now, input);
        queue.extend(actions.into_iter().map(|action| (instance.clone(), action)));
        self.check_ready_version(instance);
    }

    fn perform_actions(&mut self, mut queue: VecDeque<(InstanceId, SheetAction)>) {
        while let Some((instance, action)) = queue.pop_front() {
            match action {
                SheetAction::Announce => {
                    for peer in self.listed.clone() {
                        self.queue_exchange(&instance, &peer, false, &mut queue);
                    }
                }
                SheetAction::Query { peers } => {
                    for peer in peers {
                        self.queue_exchange(&instance, &peer, false, &mut queue);
                    }
                }
                SheetAction::Fetch { peer, request, .. } => {
                    let is_partitioned =
                        self.partitions.contains(&(instance.clone(), peer.clone()));
                    let is_lost = is_partitioned || self.fetches_to_fail > 0;
                    self.fetches_to_fail = self.fetches_to_fail.saturating_sub(1);
                    let source = self
                        .processes
                        .get(&peer)
                        .filter(|peer| !peer.is_paused && !is_lost);
                    let reply = source.and_then(|process| process.acceptor.serve_fetch(&request));
                    let input = match reply {
                        Some(reply) => SheetInput::FetchAnswered { peer, reply },
                        None => SheetInput::FetchFailed(peer),
                    };
                    self.queue_input(&instance, input, &mut queue);
                }
                SheetAction::PutInForce(sheet) => self.check_stamp_rises(&instance, sheet.stamp()),
                other => self.log_event(&instance, other.to_string()),
            }
        }
    }

    /// Checks that a sheet put in force takes precedence over all earlier ones of the process.
    fn check_stamp_rises(&mut self, instance: &InstanceId, stamp: SheetStamp) {
        let process = self.processes.get_mut(instance).unwrap();
        assert!(
            process.highest_stamp < Some(stamp),
            "config_in_force: {instance} reverted from {:?} to {stamp}",
            process.highest_stamp
        );
        process.highest_stamp = Some(stamp);
        let (version, revision) = (stamp.version, stamp.revision);
        self.log_event(
            instance,
            format!("version {version} of revision {revision} in force"),
        );
    }

    /// Checks that a ready instance does not have an older sheet than its peers had when it started.
    fn check_ready_version(&self, instance: &InstanceId) {
        let process = &self.processes[instance];
        if !process.acceptor.is_ready() {
            return;
        }
        let version = process.acceptor.in_force().unwrap().version();
        let still_runs = |(peer, incarnation, _): &&(InstanceId, u64, SheetVersion)| {
            self.processes.get(peer).map(|peer| peer.incarnation) == Some(*incarnation)
        };
        let versions = process.peer_versions.iter().filter(still_runs);
        let is_large = self.listed.len() > self.settings.sample_rule.max_small_fleet_peers + 1;
        // A sample may miss a sheet that has not reached all peers yet, but not one that all of them have.
        let required = match is_large {
            true => versions.min_by_key(|(_, _, version)| *version),
            false => versions.max_by_key(|(_, _, version)| *version),
        };
        if let Some((peer, _, required)) = required {
            assert!(
                version >= *required,
                "config_in_force: {instance} is ready with version {version}, {peer} had {required}"
            );
        }
    }

    /// Adds a line to the log, with the time in milliseconds since the simulation started at 1,000 ms.
    fn log_event(&mut self, instance: &InstanceId, text: String) {
        let millis = self.now.0 / 1_000 - 1_000;
        self.log.push(format!("{millis}ms {instance}: {text}"));
    }
}
