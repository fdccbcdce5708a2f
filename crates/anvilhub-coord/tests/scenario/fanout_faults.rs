//! The fault commands of the directive `fan-out-at-each-step`.

use anvilhub_coord::gather::{AnswerGather, GatherLimits, MissingReason};
use anvilhub_coord::ids::SnapshotId;

use super::fanout_simulation::{
    FakeUpstream, FanoutEvent, FanoutSimulation, REQUESTED_RANGE, upstream_index,
};

impl FanoutSimulation {
    /// Applies one command of a scenario file.
    pub fn apply_command(&mut self, line: &str) {
        let words: Vec<_> = line.split_whitespace().collect();
        match words[..] {
            ["slow", upstream] => self.upstream(upstream).is_slow = true,
            ["lose", upstream] => self.upstream(upstream).is_lost = true,
            ["silence", upstream] => self.upstream(upstream).is_silent = true,
            ["drain", upstream] => {
                self.upstream(upstream).refusal = Some(MissingReason::NoReplica);
            }
            ["shed", upstream] => self.upstream(upstream).refusal = Some(MissingReason::Shed),
            ["ignore-snapshot", upstream] => self.upstream(upstream).ignores_snapshot = true,
            ["overclaim", upstream] => self.upstream(upstream).claims_extra_keys = true,
            ["publish-snapshot", snapshot, ref upstreams @ ..] => {
                let held = [SnapshotId(snapshot.parse().unwrap())];
                self.update_upstreams(upstreams, |upstream| upstream.held_snapshots.extend(held));
            }
            ["retire-snapshot", snapshot, ref upstreams @ ..] => {
                let retired = SnapshotId(snapshot.parse().unwrap());
                self.update_upstreams(upstreams, |upstream| {
                    upstream.held_snapshots.remove(&retired);
                });
            }
            ["repartition", from, to] => {
                self.repartition(from.parse().unwrap(), to.parse().unwrap());
            }
            ["forget-held"] => self.set_reported_snapshots(None),
            ["misreport-held", snapshot] => {
                self.set_reported_snapshots(Some(snapshot.parse().unwrap()))
            }
            ["unlist", upstream] => self.remove_replica(upstream),
            ["pause"] => self.is_past_deadline = true,
            ["kill"] => self.kill_instance(),
            ["late"] => self.delays_answers = true,
            ["cross"] => self.has_crossed_answers = true,
            ["double"] => self.duplicates_answers = true,
            _ => panic!("unknown command `{line}`"),
        }
    }

    fn upstream(&mut self, name: &str) -> &mut FakeUpstream {
        &mut self.upstreams[upstream_index(name)]
    }

    /// Changes the named upstreams, or all upstreams if no name is given.
    fn update_upstreams(&mut self, names: &[&str], change: impl Fn(&mut FakeUpstream)) {
        match names {
            [] => self.upstreams.iter_mut().for_each(change),
            names => names.iter().for_each(|name| change(self.upstream(name))),
        }
    }

    /// Moves the boundary between two shards from `from` to `to`.
    fn repartition(&mut self, from: u64, to: u64) {
        for upstream in &mut self.upstreams {
            let range = &mut upstream.range;
            range.start = if range.start == from { to } else { range.start };
            range.end = if range.end == from { to } else { range.end };
        }
    }

    /// Sets the snapshots that every replica is known to hold; `None` makes them unknown.
    fn set_reported_snapshots(&mut self, snapshot: Option<u64>) {
        let replicas = self.shards.iter_mut().flat_map(|shard| &mut shard.replicas);
        for replica in replicas {
            replica.held_snapshots = snapshot.map(|snapshot| vec![SnapshotId(snapshot)]);
        }
    }

    fn remove_replica(&mut self, upstream: &str) {
        for shard in &mut self.shards {
            (shard.replicas).retain(|replica| replica.upstream.as_str() != upstream);
        }
    }

    /// Kills the instance. The caller resends the request to another instance, which also receives the answers to the
    /// sub-requests of the first one.
    fn kill_instance(&mut self) {
        let old_events = std::mem::take(&mut self.events);
        self.plan = None;
        self.must_choose_again = false;
        self.gather = AnswerGather::new(REQUESTED_RANGE, GatherLimits::default());
        for event in old_events {
            if let FanoutEvent::AnswerArrived(sub_request, answer) = event {
                self.late_answers.push((sub_request, answer));
            }
        }
    }
}
