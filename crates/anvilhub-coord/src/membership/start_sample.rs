use std::cmp::Reverse;
use std::collections::BTreeSet;

use crate::ids::InstanceId;

use super::{RendezvousHash, SampleRule};

/// The peers that an instance of a large fleet asks when it starts or resumes, in the order of asking.
///
/// The order is that of rendezvous hashing for the instance's own name: it is the same after a restart, spreads
/// over failure domains, and differs between instances, so that no peer answers all of a mass restart.
#[derive(Clone, Debug)]
pub struct StartSample {
    rule: SampleRule,
    ranked: Vec<InstanceId>,
}

/// What an instance knows of a peer that it may have asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SampleAnswer {
    /// It has not answered yet.
    Pending,
    /// It did not answer in time.
    Silent,
    /// It has no process.
    Absent,
    /// It answered, and is not sure of a sheet.
    NotReady,
    /// It answered, and is sure of its sheet.
    Ready,
}

/// Whether enough peers answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SampleVerdict {
    /// The instance may continue.
    Enough,
    /// These peers have to be asked, those that were silent last.
    Ask(Vec<InstanceId>),
}

impl StartSample {
    /// The sample of the instance `own`; none when so few peers are listed that each of them is asked.
    pub fn new(rule: SampleRule, own: &InstanceId, listed: &BTreeSet<InstanceId>) -> Option<Self> {
        if listed.len() <= rule.small_fleet_size {
            return None;
        }
        let key = RendezvousHash::of_key(&["start", own.as_str()]);
        let mut ranked: Vec<(u64, &InstanceId)> = listed
            .iter()
            .map(|id| (RendezvousHash::of_member(id.as_str()).score(key), id))
            .collect();
        ranked.sort_unstable_by_key(|entry| Reverse(*entry));
        let ranked = ranked.into_iter().map(|(_, id)| id.clone()).collect();
        Some(Self { rule, ranked })
    }

    /// Judges the answers so far.
    ///
    /// Batches are asked in turn. After each, `min_ready_answers` ready peers are enough, whoever stayed silent.
    /// While there are fewer, the next batch is asked, to the end of the list: a sheet that a single peer holds
    /// is found. After the last batch, few enough must be silent. At most `limit` peers and a batch are named;
    /// `turn` counts the queries made, so that silent peers take turns when they do not fit.
    pub fn evaluate(
        &self,
        turn: usize,
        limit: usize,
        answer: impl Fn(&InstanceId) -> SampleAnswer,
    ) -> SampleVerdict {
        let mut ready = 0;
        let mut open = Vec::new();
        let mut silent = Vec::new();
        for batch in self.ranked.chunks(self.rule.batch_size.max(1)) {
            for peer in batch {
                match answer(peer) {
                    SampleAnswer::Pending => open.push(peer.clone()),
                    SampleAnswer::Silent => silent.push(peer.clone()),
                    SampleAnswer::Ready => ready += 1,
                    SampleAnswer::Absent | SampleAnswer::NotReady => {}
                }
            }
            if !open.is_empty() {
                return self.ask(turn, limit, open, silent);
            }
            if ready >= self.rule.min_ready_answers {
                return SampleVerdict::Enough;
            }
        }
        match silent.len() <= self.ranked.len() / self.rule.silent_divisor.max(1) {
            true => SampleVerdict::Enough,
            false => self.ask(turn, limit, open, silent),
        }
    }

    fn ask(
        &self,
        turn: usize,
        limit: usize,
        mut open: Vec<InstanceId>,
        mut silent: Vec<InstanceId>,
    ) -> SampleVerdict {
        let count = limit.min(self.rule.batch_size).max(1);
        if !silent.is_empty() {
            let first = turn.wrapping_mul(count) % silent.len();
            silent.rotate_left(first);
        }
        open.append(&mut silent);
        open.truncate(count);
        SampleVerdict::Ask(open)
    }
}
