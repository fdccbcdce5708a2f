use crate::ids::{CallRate, InstanceId};
use crate::membership::RendezvousHash;

use super::UpstreamProcess;

/// Minimum share of an instance, in requests a second. Each sharer may save up one request at least, so that more
/// sharers than the limit has requests a second could together send far more than the limit within a few seconds.
const MIN_SHARE: f64 = 1.0;
/// Minimum rate at which an upstream is asked, whatever limit it names: only an answer can tell that the limit has
/// ended.
const MIN_ASKING_RATE: f64 = 0.5;

/// Divides the limit of an upstream among instances.
///
/// Designed for hundreds of instances that send to an upstream that takes a few requests a second: equal shares would
/// be less than one request in many seconds. Only as many instances share a limit as it has requests a second, chosen
/// by rendezvous hashing, so that all instances agree on them without a message and another upstream has other ones.
#[derive(Clone, Debug, Default)]
pub struct LimitSharers {
    /// The instances that may share limits, with their hashes.
    members: Vec<(InstanceId, RendezvousHash)>,
}

impl LimitSharers {
    /// Creates the rule for these instances.
    pub fn new(members: impl IntoIterator<Item = InstanceId>) -> Self {
        let hashed = members.into_iter().map(|member| {
            let hash = RendezvousHash::of_member(member.as_str());
            (member, hash)
        });
        Self {
            members: hashed.collect(),
        }
    }

    /// Returns the share of `own` of the limit that `upstream` names, in requests a second; zero if it has none.
    pub fn share(&self, own: &InstanceId, upstream: &UpstreamProcess, limit: CallRate) -> CallRate {
        let rate = limit.get().max(MIN_ASKING_RATE);
        // A limit larger than the number of instances gives every instance a share.
        let max_sharers = (rate / MIN_SHARE).floor().max(1.0);
        let Some(rank) = self.rank(own, upstream) else {
            return CallRate::default();
        };
        if rank as f64 >= max_sharers {
            return CallRate::default();
        }
        CallRate(rate / max_sharers.min(self.members.len() as f64))
    }

    /// Returns how many of `count` requests `own` may send. The numbers of all instances add up to `count`. An instance
    /// that knows more members than another one gets no more than it would if it knew as few, so the sum stays at
    /// `count` or less as long as no instance misses a member that has a share.
    pub fn whole_share(&self, own: &InstanceId, upstream: &UpstreamProcess, count: u32) -> u32 {
        let Some(rank) = self.rank(own, upstream) else {
            return 0;
        };
        let member_count = self.members.len() as u32;
        count.saturating_sub(rank as u32).div_ceil(member_count)
    }

    /// Returns the number of members before `own` in the order for this upstream; `None` if `own` is no member.
    fn rank(&self, own: &InstanceId, upstream: &UpstreamProcess) -> Option<usize> {
        let key = RendezvousHash::of_key(&[
            "limit",
            upstream.id.as_str(),
            &upstream.incarnation.to_string(),
        ]);
        let (_, own_hash) = self.members.iter().find(|(member, _)| member == own)?;
        let own_score = own_hash.score(key);
        let ahead = self
            .members
            .iter()
            .filter(|(_, hash)| hash.score(key) > own_score);
        Some(ahead.count())
    }
}
