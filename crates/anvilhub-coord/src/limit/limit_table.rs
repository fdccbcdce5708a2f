use std::collections::BTreeMap;

use crate::ids::CallRate;

use super::{LimitChange, SendCounts, StatedLimit, UpstreamProcess};

/// The limits that upstreams have named to this instance.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    limits: BTreeMap<UpstreamProcess, KnownLimit>,
}

#[derive(Clone, Debug, Default)]
struct KnownLimit {
    /// The limit; `None` if the upstream no longer names one.
    limit: Option<CallRate>,
    sends: SendCounts,
}

impl LimitTable {
    /// Records what an answer of `process` states; returns the change, if there is one. An answer without a limit ends a
    /// known limit only if the upstream ran the request, since refusals may come from a part of it that names none.
    pub fn record_answer(
        &mut self,
        process: &UpstreamProcess,
        stated: StatedLimit,
        has_run: bool,
    ) -> Option<LimitChange> {
        let limit = match stated {
            StatedLimit::Rate(rate) => Some(rate),
            StatedLimit::Absent if has_run && self.limits.contains_key(process) => None,
            StatedLimit::Absent | StatedLimit::Malformed => return None,
        };
        let known = self.limits.entry(process.clone()).or_default();
        let before = std::mem::replace(&mut known.limit, limit);
        (before != limit).then_some(LimitChange { before, limit })
    }

    /// Counts an attempt that is sent to `process`, if it names a limit.
    pub fn record_send(&mut self, process: &UpstreamProcess, is_extra: bool) {
        if let Some(known) = self.limits.get_mut(process) {
            known.sends.add(is_extra);
        }
    }

    /// Returns the limits in force, with the attempts sent since the last call.
    pub fn take_send_counts(&mut self) -> Vec<(UpstreamProcess, CallRate, SendCounts)> {
        let taken = self.limits.iter_mut().filter_map(|(process, known)| {
            let sends = std::mem::take(&mut known.sends);
            Some((process.clone(), known.limit?, sends))
        });
        taken.collect()
    }
}
