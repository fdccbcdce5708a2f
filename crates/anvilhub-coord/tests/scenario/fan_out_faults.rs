//! The commands of `fan-out-at-each-step`.

use anvilhub_coord::gather::{AnswerGather, GatherLimits, MissingReason};
use anvilhub_coord::ids::SnapshotId;

use super::fan_out_world::{ASKED, Event, FanOutWorld, Upstream, index};

impl FanOutWorld {
    /// Applies one command of a scenario.
    pub fn command(&mut self, line: &str) {
        let words: Vec<_> = line.split_whitespace().collect();
        match words[..] {
            ["slow", upstream] => self.upstream(upstream).slow = true,
            ["lose", upstream] => self.upstream(upstream).lost = true,
            ["silence", upstream] => self.upstream(upstream).silent = true,
            ["drain", upstream] => {
                self.upstream(upstream).refuses = Some(MissingReason::NoReplica);
            }
            ["shed", upstream] => self.upstream(upstream).refuses = Some(MissingReason::Shed),
            ["ignore-snapshot", upstream] => self.upstream(upstream).ignores_snapshot = true,
            ["overclaim", upstream] => self.upstream(upstream).overclaims = true,
            ["publish-snapshot", snapshot, ref upstreams @ ..] => {
                let held = [SnapshotId(snapshot.parse().unwrap())];
                self.each(upstreams, |upstream| upstream.held.extend(held));
            }
            ["retire-snapshot", snapshot, ref upstreams @ ..] => {
                let retired = SnapshotId(snapshot.parse().unwrap());
                self.each(upstreams, |upstream| {
                    upstream.held.remove(&retired);
                });
            }
            ["repartition", from, to] => {
                self.repartition(from.parse().unwrap(), to.parse().unwrap());
            }
            ["forget-held"] => self.report_held(None),
            ["misreport-held", snapshot] => self.report_held(Some(snapshot.parse().unwrap())),
            ["unlist", upstream] => self.unlist(upstream),
            ["pause"] => self.out_of_time = true,
            ["kill"] => self.restart(),
            ["late"] => self.delays = true,
            ["cross"] => self.crossed = true,
            ["double"] => self.doubled = true,
            _ => panic!("unknown command `{line}`"),
        }
    }

    fn upstream(&mut self, name: &str) -> &mut Upstream {
        &mut self.upstreams[index(name)]
    }

    /// Changes the named upstreams, or all when none is named.
    fn each(&mut self, names: &[&str], change: impl Fn(&mut Upstream)) {
        match names {
            [] => self.upstreams.iter_mut().for_each(change),
            names => names.iter().for_each(|name| change(self.upstream(name))),
        }
    }

    /// Moves the boundary `from` between two shards to `to`.
    fn repartition(&mut self, from: u64, to: u64) {
        for upstream in &mut self.upstreams {
            let range = &mut upstream.range;
            range.start = if range.start == from { to } else { range.start };
            range.end = if range.end == from { to } else { range.end };
        }
    }

    fn report_held(&mut self, snapshot: Option<u64>) {
        let replicas = self.shards.iter_mut().flat_map(|shard| &mut shard.replicas);
        for replica in replicas {
            replica.held_snapshots = snapshot.map(|snapshot| vec![SnapshotId(snapshot)]);
        }
    }

    fn unlist(&mut self, upstream: &str) {
        for shard in &mut self.shards {
            (shard.replicas).retain(|replica| replica.upstream.as_str() != upstream);
        }
    }

    /// The entry ends; the caller resends to another one, where the old answers arrive crossed.
    fn restart(&mut self) {
        let strays = std::mem::take(&mut self.events);
        self.plan = None;
        self.choose_again = false;
        self.gather = AnswerGather::new(ASKED, GatherLimits::default());
        for event in strays {
            if let Event::Arrive(flight, answer) = event {
                self.late.push((flight, answer));
            }
        }
    }
}
