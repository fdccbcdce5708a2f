use std::cmp::Reverse;
use std::collections::BTreeSet;

use crate::ids::InstanceId;

use super::{RendezvousHash, SampleRule};

/// The peers that an instance of a large fleet queries when it starts or resumes, in the order of the queries.
///
/// The order results from rendezvous hashing with the instance's own name. It is the same after a restart, spreads over
/// failure domains and differs between instances, so that no single peer has to answer every instance after a mass
/// restart.
#[derive(Clone, Debug)]
pub struct StartSample {
    rule: SampleRule,
    ranked: Vec<InstanceId>,
}

/// Answer of a peer to the query of a starting or resumed instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SampleAnswer {
    /// The peer has not been queried or has not answered yet.
    Pending,
    /// The peer did not answer in time.
    Silent,
    /// The peer's address refused the connection, so no process of the peer is running.
    Absent,
    /// The peer answered but has no confirmed sheet in force.
    NotReady,
    /// The peer answered and has a confirmed sheet in force.
    Ready,
}

/// Whether enough peers have answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SampleVerdict {
    /// Enough peers have answered. The instance may continue.
    Enough,
    /// These peers must be queried next. Peers that were silent come last.
    Query(Vec<InstanceId>),
}

impl StartSample {
    /// Creates the sample of the instance `own_id`. Returns `None` if the fleet is so small that every listed peer is
    /// queried.
    pub fn new(
        rule: SampleRule,
        own_id: &InstanceId,
        listed: &BTreeSet<InstanceId>,
    ) -> Option<Self> {
        if listed.len() <= rule.max_small_fleet_peers {
            return None;
        }
        let key = RendezvousHash::of_key(&["start", own_id.as_str()]);
        let mut ranked: Vec<(u64, &InstanceId)> = listed
            .iter()
            .map(|id| (RendezvousHash::of_member(id.as_str()).score(key), id))
            .collect();
        ranked.sort_unstable_by_key(|scored_peer| Reverse(*scored_peer));
        let ranked = ranked.into_iter().map(|(_, id)| id.clone()).collect();
        Some(Self { rule, ranked })
    }

    /// Decides from the answers so far whether the instance may continue or which peers it must query next.
    ///
    /// Peers are queried in batches. After each batch, `min_ready_answers` ready peers are enough, even if other peers
    /// are silent. With fewer ready peers the next batch is queried, up to the end of the list, so that a sheet that
    /// only one peer holds is found. After the last batch the silent peers must be few enough, see
    /// [`SampleRule::silent_divisor`].
    ///
    /// Returns at most `limit` peers and at most one batch. `query_count` is the number of queries made so far: it
    /// rotates the silent peers if not all of them fit into one query.
    pub fn evaluate(
        &self,
        query_count: usize,
        limit: usize,
        answer: impl Fn(&InstanceId) -> SampleAnswer,
    ) -> SampleVerdict {
        let mut ready_count = 0;
        let mut pending = Vec::new();
        let mut silent = Vec::new();
        for batch in self.ranked.chunks(self.rule.batch_size.max(1)) {
            for peer in batch {
                match answer(peer) {
                    SampleAnswer::Pending => pending.push(peer.clone()),
                    SampleAnswer::Silent => silent.push(peer.clone()),
                    SampleAnswer::Ready => ready_count += 1,
                    SampleAnswer::Absent | SampleAnswer::NotReady => {}
                }
            }
            if !pending.is_empty() {
                return self.next_query(query_count, limit, pending, silent);
            }
            if ready_count >= self.rule.min_ready_answers {
                return SampleVerdict::Enough;
            }
        }
        match silent.len() <= self.ranked.len() / self.rule.silent_divisor.max(1) {
            true => SampleVerdict::Enough,
            false => self.next_query(query_count, limit, pending, silent),
        }
    }

    fn next_query(
        &self,
        query_count: usize,
        limit: usize,
        mut pending: Vec<InstanceId>,
        mut silent: Vec<InstanceId>,
    ) -> SampleVerdict {
        let count = limit.min(self.rule.batch_size).max(1);
        if !silent.is_empty() {
            let first = query_count.wrapping_mul(count) % silent.len();
            silent.rotate_left(first);
        }
        pending.append(&mut silent);
        pending.truncate(count);
        SampleVerdict::Query(pending)
    }
}
