//! A fleet of acceptors with a fake platform and fake links, driven by a manual clock.
//!
//! Every run checks that the sheet in force of a process never goes back, and that a restarted instance is
//! not ready with an older sheet than its peers had when it started: any of them in a small fleet, all of them in
//! a large one.

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
const STEP: Duration = Duration::from_millis(100);

/// Ticks between exchanges and between reads of the platform.
const ROUND_STEPS: u64 = 5;

#[derive(Clone, Debug)]
pub struct Process {
    pub acceptor: SheetAcceptor,
    pub paused: bool,
    incarnation: u64,
    highest: Option<SheetStamp>,
    /// Versions that peers had in force when the process started, with their incarnations.
    floors: Vec<(InstanceId, u64, SheetVersion)>,
}

#[derive(Clone, Debug, Default)]
pub struct Fleet {
    pub now: ClockTime,
    pub processes: BTreeMap<InstanceId, Process>,
    pub listed: BTreeSet<InstanceId>,
    /// Revision and bytes that the platform serves; none while it is down.
    pub platform: Option<(u64, Vec<u8>)>,
    pub cuts: BTreeSet<(InstanceId, InstanceId)>,
    pub settings: AcceptorSettings,
    /// Fetches that fail before one succeeds.
    pub lost_fetches: u32,
    pub log: Vec<String>,
    steps: u64,
    incarnations: u64,
}

pub fn id(name: &str) -> InstanceId {
    name.parse().unwrap()
}

/// A small sheet; `content` distinguishes two sheets of one version.
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

impl Fleet {
    /// A fleet of listed instances that start at once.
    pub fn new(names: &[&str]) -> Self {
        Self::with_sample(names, SampleRule::default())
    }

    /// The same, with another rule of whom to ask at a start.
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

    pub fn start(&mut self, instance: &InstanceId) {
        self.incarnations += 1;
        let identity = PeerIdentity {
            instance: instance.clone(),
            incarnation: Incarnation(self.incarnations),
            peer_address: "127.0.0.1:7400".parse().unwrap(),
            failure_domain: "domain-a".parse().unwrap(),
        };
        let floors = self
            .processes
            .iter()
            .filter(|(other, _)| *other != instance);
        let floors = floors
            .filter_map(|(other, process)| {
                Some((other.clone(), process.incarnation, process.highest?.version))
            })
            .collect();
        let process = Process {
            acceptor: SheetAcceptor::new(identity, self.settings.clone(), self.now),
            paused: false,
            incarnation: self.incarnations,
            highest: None,
            floors,
        };
        self.processes.insert(instance.clone(), process);
        self.list_peers(instance);
    }

    pub fn kill(&mut self, instance: &InstanceId) {
        self.processes.remove(instance);
    }

    pub fn set_listed(&mut self, listed: BTreeSet<InstanceId>) {
        self.listed = listed;
        for instance in self.running() {
            self.list_peers(&instance);
        }
    }

    pub fn pause(&mut self, instance: &InstanceId) {
        self.processes.get_mut(instance).unwrap().paused = true;
    }

    pub fn resume(&mut self, instance: &InstanceId) {
        self.processes.get_mut(instance).unwrap().paused = false;
        self.input(instance, SheetInput::Resumed);
    }

    pub fn cut(&mut self, left: &InstanceId, right: &InstanceId) {
        self.cuts.insert((left.clone(), right.clone()));
        self.cuts.insert((right.clone(), left.clone()));
    }

    /// Lets time pass with ticks, exchanges and reads.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now = self.now + STEP;
        self.steps += 1;
        for instance in self.running() {
            if self.steps.is_multiple_of(ROUND_STEPS) {
                self.read(&instance);
                self.exchange_all(&instance);
            }
            self.input(&instance, SheetInput::Tick);
        }
    }

    /// Lets time pass without exchanges and reads.
    pub fn tick(&mut self, duration: Duration) {
        self.now = self.now + duration;
        for instance in self.running() {
            self.input(&instance, SheetInput::Tick);
        }
    }

    /// Processes that run and are not paused.
    pub fn running(&self) -> Vec<InstanceId> {
        let processes = self.processes.iter();
        processes
            .filter(|(_, process)| !process.paused)
            .map(|(instance, _)| instance.clone())
            .collect()
    }

    pub fn read(&mut self, instance: &InstanceId) {
        let input = match self.platform.clone() {
            Some((revision, bytes)) => SheetInput::PlatformValue {
                requested_at: self.now,
                revision: PlatformRevision(revision),
                bytes,
            },
            None => SheetInput::PlatformUnreachable,
        };
        self.input(instance, input);
    }

    /// One exchange; the answer is lost when `lose_answer`.
    pub fn exchange(&mut self, from: &InstanceId, to: &InstanceId, lose_answer: bool) {
        let mut queue = VecDeque::new();
        self.exchange_into(from, to, lose_answer, &mut queue);
        self.perform(queue);
    }

    pub fn input(&mut self, instance: &InstanceId, input: SheetInput) {
        let mut queue = VecDeque::new();
        self.input_into(instance, input, &mut queue);
        self.perform(queue);
    }

    pub fn version(&self, instance: &InstanceId) -> Option<u64> {
        let sheet = self.processes.get(instance)?.acceptor.in_force()?;
        Some(sheet.version().get())
    }

    pub fn is_ready(&self, instance: &InstanceId) -> bool {
        let process = self.processes.get(instance);
        process.is_some_and(|process| process.acceptor.is_ready())
    }

    /// Stamps in force in all processes, without repetition.
    pub fn stamps(&self) -> BTreeSet<Option<SheetStamp>> {
        let processes = self.processes.values();
        processes
            .map(|process| process.acceptor.in_force().map(|sheet| sheet.stamp()))
            .collect()
    }

    fn list_peers(&mut self, instance: &InstanceId) {
        let listed = self.listed.clone();
        self.input(instance, SheetInput::PeersListed(listed));
    }

    fn exchange_all(&mut self, from: &InstanceId) {
        for to in self.listed.clone() {
            self.exchange(from, &to, false);
        }
    }

    fn exchange_into(
        &mut self,
        from: &InstanceId,
        to: &InstanceId,
        lose_answer: bool,
        queue: &mut VecDeque<(InstanceId, SheetAction)>,
    ) {
        if from == to {
            return;
        }
        let is_cut = self.cuts.contains(&(from.clone(), to.clone()));
        let failure = match self.processes.get(to) {
            _ if is_cut => Some(SheetInput::PeerSilent(to.clone())),
            None => Some(SheetInput::PeerAbsent(to.clone())),
            Some(process) if process.paused => Some(SheetInput::PeerSilent(to.clone())),
            Some(_) => None,
        };
        if let Some(failure) = failure {
            return self.input_into(from, failure, queue);
        }
        let push = SheetInput::PeerMessage {
            message: self.processes[from].acceptor.message(false, Vec::new()),
            sent_at: None,
        };
        self.input_into(to, push, queue);
        if lose_answer {
            return;
        }
        let answer = SheetInput::PeerMessage {
            message: self.processes[to].acceptor.message(false, Vec::new()),
            sent_at: Some(self.now),
        };
        self.input_into(from, answer, queue);
    }

    fn input_into(
        &mut self,
        instance: &InstanceId,
        input: SheetInput,
        queue: &mut VecDeque<(InstanceId, SheetAction)>,
    ) {
        let process = self.processes.get_mut(instance).unwrap();
        let actions = process.acceptor.handle(self.now, input);
        queue.extend(actions.into_iter().map(|action| (instance.clone(), action)));
        self.check_floors(instance);
    }

    fn perform(&mut self, mut queue: VecDeque<(InstanceId, SheetAction)>) {
        while let Some((instance, action)) = queue.pop_front() {
            match action {
                SheetAction::Announce => {
                    for peer in self.listed.clone() {
                        self.exchange_into(&instance, &peer, false, &mut queue);
                    }
                }
                SheetAction::Query { peers } => {
                    for peer in peers {
                        self.exchange_into(&instance, &peer, false, &mut queue);
                    }
                }
                SheetAction::Fetch { peer, request, .. } => {
                    let is_cut = self.cuts.contains(&(instance.clone(), peer.clone()));
                    let is_lost = is_cut || self.lost_fetches > 0;
                    self.lost_fetches = self.lost_fetches.saturating_sub(1);
                    let source = self
                        .processes
                        .get(&peer)
                        .filter(|peer| !peer.paused && !is_lost);
                    let reply = source.and_then(|process| process.acceptor.serve_fetch(&request));
                    let input = match reply {
                        Some(reply) => SheetInput::FetchAnswered { peer, reply },
                        None => SheetInput::FetchFailed(peer),
                    };
                    self.input_into(&instance, input, &mut queue);
                }
                SheetAction::PutInForce(sheet) => self.check_rise(&instance, sheet.stamp()),
                other => self.note(&instance, other.to_string()),
            }
        }
    }

    fn check_rise(&mut self, instance: &InstanceId, stamp: SheetStamp) {
        let process = self.processes.get_mut(instance).unwrap();
        assert!(
            process.highest < Some(stamp),
            "config_in_force: {instance} went from {:?} back to {stamp}",
            process.highest
        );
        process.highest = Some(stamp);
        let (version, revision) = (stamp.version, stamp.revision);
        self.note(
            instance,
            format!("version {version} of revision {revision} in force"),
        );
    }

    fn check_floors(&self, instance: &InstanceId) {
        let process = &self.processes[instance];
        if !process.acceptor.is_ready() {
            return;
        }
        let version = process.acceptor.in_force().unwrap().version();
        let running = |(peer, incarnation, _): &&(InstanceId, u64, SheetVersion)| {
            self.processes.get(peer).map(|peer| peer.incarnation) == Some(*incarnation)
        };
        let floors = process.floors.iter().filter(running);
        let is_large = self.listed.len() > self.settings.sample_rule.small_fleet_size + 1;
        // A sample may miss a sheet that has not reached all peers yet, but not one that all of them have.
        let floor = match is_large {
            true => floors.min_by_key(|(_, _, version)| *version),
            false => floors.max_by_key(|(_, _, version)| *version),
        };
        if let Some((peer, _, floor)) = floor {
            assert!(
                version >= *floor,
                "config_in_force: {instance} is ready with version {version}, {peer} had {floor}"
            );
        }
    }

    fn note(&mut self, instance: &InstanceId, text: String) {
        let millis = self.now.0 / 1_000 - 1_000;
        self.log.push(format!("{millis}ms {instance}: {text}"));
    }
}
