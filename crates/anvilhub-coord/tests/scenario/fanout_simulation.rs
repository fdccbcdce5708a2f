//! Simulation of one fan-out by an entry instance to three shards with two fake upstreams each.

use std::collections::{BTreeSet, VecDeque};

use anvilhub_coord::border::query::RowEntry;
use anvilhub_coord::border::upstream::SubAnswer;
use anvilhub_coord::gather::{
    AnswerFault, AnswerGather, GatherLimits, GatheredAnswer, MissingReason, ReplicaHolding,
    ShardHolding, SnapshotChooser, SnapshotPlan,
};
use anvilhub_coord::ids::{RequestId, SnapshotId};
use anvilhub_coord::keyspace::{KeyRange, RangeSet};

use super::EventOrder;

pub(super) const REQUESTED_RANGE: KeyRange = KeyRange { start: 0, end: 30 };
const KEYS_PER_SHARD: u64 = 10;
const REPLICAS_PER_SHARD: usize = 2;
const SHARD_COUNT: usize = 3;

/// An upstream that has one row for every key in every snapshot.
#[derive(Debug)]
pub(super) struct FakeUpstream {
    pub(super) range: KeyRange,
    pub(super) held_snapshots: BTreeSet<SnapshotId>,
    /// Whether it answers from its newest snapshot, whichever was requested.
    pub(super) ignores_snapshot: bool,
    /// Whether its answers claim to cover keys past its range.
    pub(super) claims_extra_keys: bool,
    pub(super) is_lost: bool,
    pub(super) is_silent: bool,
    pub(super) is_slow: bool,
    /// The reason with which it refuses sub-requests, if it does.
    pub(super) refusal: Option<MissingReason>,
}

#[derive(Clone, Debug)]
pub(super) struct SubRequest {
    pub(super) id: RequestId,
    pub(super) upstream: usize,
    pub(super) range: KeyRange,
    pub(super) snapshot: Option<SnapshotId>,
}

#[derive(Debug)]
pub(super) enum FanoutEvent {
    SubRequestArrived(SubRequest),
    AnswerArrived(SubRequest, SubAnswer),
    SnapshotNotHeld(SubRequest),
    Refused(SubRequest, MissingReason),
}

#[derive(Debug)]
pub struct FanoutSimulation {
    pub(super) upstreams: Vec<FakeUpstream>,
    pub(super) shards: Vec<ShardHolding>,
    pub(super) plan: Option<SnapshotPlan>,
    pub(super) chooser: SnapshotChooser,
    pub(super) gather: AnswerGather,
    pub(super) events: VecDeque<FanoutEvent>,
    /// Answers of slow upstreams. They arrive when no other event is left.
    pub(super) slow_answers: Vec<(SubRequest, SubAnswer)>,
    /// Answers that arrive after the request has ended.
    pub(super) late_answers: Vec<(SubRequest, SubAnswer)>,
    pub(super) sub_requests: Vec<SubRequest>,
    pub(super) resent_ranges: RangeSet,
    /// Whether newly learned snapshots require another choice of the snapshot.
    pub(super) must_choose_again: bool,
    pub(super) is_past_deadline: bool,
    /// Whether all further answers arrive late.
    pub(super) delays_answers: bool,
    /// Whether an answer to another request arrives before each answer.
    pub(super) has_crossed_answers: bool,
    pub(super) duplicates_answers: bool,
}

impl FanoutSimulation {
    pub fn new() -> Self {
        let upstreams = (0..SHARD_COUNT * REPLICAS_PER_SHARD).map(|index| {
            let start = (index / REPLICAS_PER_SHARD) as u64 * KEYS_PER_SHARD;
            FakeUpstream {
                range: KeyRange::new(start, start + KEYS_PER_SHARD),
                held_snapshots: [SnapshotId(1)].into(),
                ignores_snapshot: false,
                claims_extra_keys: false,
                is_lost: false,
                is_silent: false,
                is_slow: false,
                refusal: None,
            }
        });
        let shards = (0..SHARD_COUNT).map(|shard| ShardHolding {
            range: KeyRange::new(
                shard as u64 * KEYS_PER_SHARD,
                (shard as u64 + 1) * KEYS_PER_SHARD,
            ),
            replicas: (0..REPLICAS_PER_SHARD)
                .map(|replica| ReplicaHolding {
                    upstream: upstream_name(shard * REPLICAS_PER_SHARD + replica)
                        .parse()
                        .unwrap(),
                    held_snapshots: Some(vec![SnapshotId(1)]),
                })
                .collect(),
        });
        Self {
            upstreams: upstreams.collect(),
            shards: shards.collect(),
            plan: None,
            chooser: SnapshotChooser::new(REQUESTED_RANGE, Vec::new()),
            gather: AnswerGather::new(REQUESTED_RANGE, GatherLimits::default()),
            events: VecDeque::new(),
            slow_answers: Vec::new(),
            late_answers: Vec::new(),
            sub_requests: Vec::new(),
            resent_ranges: RangeSet::default(),
            must_choose_again: false,
            is_past_deadline: false,
            delays_answers: false,
            has_crossed_answers: false,
            duplicates_answers: false,
        }
    }

    /// Runs the next step in the given order. Returns `false` once the answer can be sent.
    pub fn step(&mut self, order: &mut EventOrder) -> bool {
        if self.plan.is_none() {
            self.chooser = SnapshotChooser::new(REQUESTED_RANGE, self.shards.clone());
            let plan = self.chooser.choose();
            self.apply_plan(plan);
            return true;
        }
        if self.is_past_deadline {
            return self.end_at_deadline();
        }
        if self.events.is_empty() {
            return self.handle_idle();
        }
        let event = self.events.remove(order.pick(self.events.len()));
        event.into_iter().for_each(|event| self.handle_event(event));
        true
    }

    /// Delivers the late answers and returns the gathered answer.
    pub fn finish(mut self) -> GatheredAnswer {
        for (sub_request, answer) in std::mem::take(&mut self.late_answers) {
            self.accept_answer(sub_request, answer);
        }
        self.gather.finish()
    }

    /// Pins the plan's snapshot and sends a sub-request for every range that is still missing.
    fn apply_plan(&mut self, plan: SnapshotPlan) {
        if let Some(snapshot) = plan.snapshot {
            self.gather.pin_snapshot(snapshot);
        }
        for missing in plan.unserved_ranges() {
            self.gather.record_missing(missing.range, missing.reason);
        }
        let gaps = self.gather.gaps();
        for shard in &plan.shards {
            let ranges = gaps
                .ranges()
                .iter()
                .map(|gap| gap.intersection(shard.range));
            for range in ranges.filter(|range| !range.is_empty()) {
                if let Some(upstream) = shard.replicas.first() {
                    self.send_sub_request(upstream_index(upstream.as_str()), range, plan.snapshot);
                }
            }
        }
        self.resent_ranges = RangeSet::default();
        self.plan = Some(plan);
    }

    fn send_sub_request(&mut self, upstream: usize, range: KeyRange, snapshot: Option<SnapshotId>) {
        let sub_request = SubRequest {
            id: format!("own-{}", self.sub_requests.len()).parse().unwrap(),
            upstream,
            range,
            snapshot,
        };
        self.gather.register(sub_request.id.clone(), range);
        self.sub_requests.push(sub_request.clone());
        self.events
            .push_back(FanoutEvent::SubRequestArrived(sub_request));
    }

    fn handle_event(&mut self, event: FanoutEvent) {
        match event {
            FanoutEvent::SubRequestArrived(sub_request) => self.execute_at_upstream(sub_request),
            FanoutEvent::AnswerArrived(sub_request, answer) if self.delays_answers => {
                self.late_answers.push((sub_request, answer))
            }
            FanoutEvent::AnswerArrived(sub_request, answer) => {
                self.receive_answer(sub_request, answer)
            }
            FanoutEvent::SnapshotNotHeld(sub_request) => {
                self.gather
                    .record_failure(&sub_request.id, MissingReason::SnapshotUnavailable);
                self.record_held_snapshots(sub_request.upstream);
            }
            FanoutEvent::Refused(sub_request, reason) => {
                self.gather.record_failure(&sub_request.id, reason);
                self.send_to_other_replica(&sub_request);
            }
        }
    }

    fn execute_at_upstream(&mut self, sub_request: SubRequest) {
        let upstream = &self.upstreams[sub_request.upstream];
        if upstream.is_silent {
            return;
        }
        if upstream.is_lost {
            return (self.events)
                .push_back(FanoutEvent::Refused(sub_request, MissingReason::NoReplica));
        }
        if let Some(reason) = upstream.refusal {
            return self
                .events
                .push_back(FanoutEvent::Refused(sub_request, reason));
        }
        let newest = *upstream.held_snapshots.last().unwrap();
        let snapshot = match upstream.ignores_snapshot {
            true => newest,
            false => sub_request.snapshot.unwrap_or(newest),
        };
        if !upstream.held_snapshots.contains(&snapshot) {
            return self
                .events
                .push_back(FanoutEvent::SnapshotNotHeld(sub_request));
        }
        let range = upstream.range.intersection(sub_request.range);
        let mut answer = build_answer(sub_request.id.clone(), snapshot, range, "own");
        answer.held = upstream.held_snapshots.iter().copied().collect();
        if upstream.claims_extra_keys {
            answer.end += 5;
        }
        match upstream.is_slow {
            true => self.slow_answers.push((sub_request, answer)),
            false => self
                .events
                .push_back(FanoutEvent::AnswerArrived(sub_request, answer)),
        }
    }

    fn receive_answer(&mut self, sub_request: SubRequest, answer: SubAnswer) {
        if self.has_crossed_answers {
            let other_id = "other-0".parse().unwrap();
            let range = KeyRange::new(answer.start, answer.end);
            let foreign = build_answer(other_id, answer.snapshot, range, "other");
            self.accept_answer(sub_request.clone(), foreign);
        }
        if self.duplicates_answers {
            self.accept_answer(sub_request.clone(), answer.clone());
        }
        self.accept_answer(sub_request, answer);
    }

    /// Passes an answer to the gather, and tries the other replica if it is rejected.
    fn accept_answer(&mut self, sub_request: SubRequest, answer: SubAnswer) {
        let held = answer.held.clone();
        let Err(fault) = self.gather.accept_answer(&sub_request.id, answer) else {
            let upstream = upstream_name(sub_request.upstream).parse().unwrap();
            return self.chooser.record_held_snapshots(&upstream, &held);
        };
        if let AnswerFault::WrongSnapshot { .. } = fault {
            self.record_held_snapshots(sub_request.upstream);
        }
        match fault {
            AnswerFault::Duplicate { .. } | AnswerFault::Late { .. } => {}
            _ => self.send_to_other_replica(&sub_request),
        }
    }

    /// Records the snapshots that an upstream holds, as its refusals state them.
    fn record_held_snapshots(&mut self, upstream: usize) {
        let held: Vec<_> = self.upstreams[upstream]
            .held_snapshots
            .iter()
            .copied()
            .collect();
        let upstream = upstream_name(upstream).parse().unwrap();
        self.chooser.record_held_snapshots(&upstream, &held);
        self.must_choose_again = true;
    }

    /// Sends the sub-request's range to the other replica of its shard, unless that was done before.
    fn send_to_other_replica(&mut self, sub_request: &SubRequest) {
        let plan = self.plan.as_ref().unwrap();
        let shards = plan.shards.iter();
        let mut replicas = shards
            .filter(|shard| shard.range.covers(sub_request.range))
            .flat_map(|shard| &shard.replicas)
            .map(|replica| upstream_index(replica.as_str()));
        let other = replicas.find(|&replica| replica != sub_request.upstream);
        let snapshot = plan.snapshot;
        match other {
            Some(other) if !self.resent_ranges.covers(sub_request.range) => {
                self.resent_ranges.insert(sub_request.range);
                self.send_sub_request(other, sub_request.range, snapshot);
            }
            _ => {}
        }
    }

    /// Handles a state without events. Sends hedges and delivers slow answers; if no event follows, records timeouts,
    /// requests moved ranges and chooses the snapshot again. Returns `false` if still no event follows.
    fn handle_idle(&mut self) -> bool {
        let awaited: BTreeSet<_> = self.gather.awaited_requests().cloned().collect();
        let sub_requests = self.sub_requests.clone();
        for sub_request in sub_requests
            .iter()
            .filter(|sub_request| awaited.contains(&sub_request.id))
        {
            self.send_to_other_replica(sub_request);
        }
        if self.events.is_empty() {
            let slow = std::mem::take(&mut self.slow_answers);
            self.events.extend(
                slow.into_iter()
                    .map(|(sub_request, answer)| FanoutEvent::AnswerArrived(sub_request, answer)),
            );
        }
        if !self.events.is_empty() {
            return true;
        }
        for id in &awaited {
            self.gather.record_failure(id, MissingReason::Timeout);
        }
        let moved = self.gather.take_repartitioned();
        for &gap in moved.ranges() {
            self.request_moved_range(gap);
        }
        if std::mem::take(&mut self.must_choose_again)
            && let Some(plan) = self.chooser.choose_again()
        {
            self.apply_plan(plan);
        }
        !self.events.is_empty()
    }

    /// Sends sub-requests to the upstreams whose current range, known from their load reports, contains keys of `gap`.
    fn request_moved_range(&mut self, gap: KeyRange) {
        let snapshot = self.gather.snapshot();
        for shard in 0..SHARD_COUNT {
            let upstream = shard * REPLICAS_PER_SHARD;
            let range = self.upstreams[upstream].range.intersection(gap);
            if !range.is_empty() {
                self.send_sub_request(upstream, range, snapshot);
            }
        }
    }

    /// Ends the request at its deadline. Outstanding answers arrive late.
    fn end_at_deadline(&mut self) -> bool {
        while let Some(event) = self.events.pop_front() {
            match event {
                FanoutEvent::AnswerArrived(sub_request, answer) => {
                    self.late_answers.push((sub_request, answer))
                }
                event => self.handle_event(event),
            }
        }
        self.late_answers.append(&mut self.slow_answers);
        let awaited: Vec<_> = self.gather.awaited_requests().cloned().collect();
        for id in &awaited {
            self.gather.record_failure(id, MissingReason::Timeout);
        }
        false
    }
}

/// Builds an answer with one row per key; `tag` identifies the request that the rows belong to.
fn build_answer(id: RequestId, snapshot: SnapshotId, range: KeyRange, tag: &str) -> SubAnswer {
    SubAnswer {
        request_id: id,
        snapshot,
        start: range.start,
        end: range.end,
        rows: (range.start..range.end)
            .map(|key| RowEntry {
                key,
                value: format!("{tag}/s{snapshot}/k{key}"),
            })
            .collect(),
        held: Vec::new(),
        draining: false,
        in_flight: None,
    }
}

/// Returns the name of an upstream: `u`, the number of its shard and the number of the replica, such as `u21`.
fn upstream_name(index: usize) -> String {
    format!(
        "u{}{}",
        index / REPLICAS_PER_SHARD,
        index % REPLICAS_PER_SHARD
    )
}

/// Returns the index of the upstream with this name.
pub(super) fn upstream_index(name: &str) -> usize {
    let digits: Vec<_> = name.chars().filter_map(|char| char.to_digit(10)).collect();
    let [shard, replica] = digits[..] else {
        panic!("`{name}` is not an upstream");
    };
    shard as usize * REPLICAS_PER_SHARD + replica as usize
}
