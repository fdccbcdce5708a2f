use crate::ids::CrashId;
use crate::time::ClockTime;

/// An upstream that crashed while it held a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashEvidence {
    /// Distinguishes this observation from others, however often it is heard of.
    pub id: CrashId,
    /// When the request was sent to the upstream.
    pub sent_at: ClockTime,
    /// When the crash was noticed.
    pub crashed_at: ClockTime,
}

impl CrashEvidence {
    /// Returns whether the request was sent again only after `earlier` was noticed. Attempts that overlap may have been
    /// at upstreams that one other cause has ended.
    fn follows(&self, earlier: &Self) -> bool {
        self.sent_at >= earlier.crashed_at
    }
}

/// Returns the longest series of crashes, at most `max_len`, in which each attempt began after the crash before it.
pub(super) fn longest_series(
    mut crashes: Vec<CrashEvidence>,
    max_len: usize,
) -> Vec<CrashEvidence> {
    crashes.sort_by_key(|crash| (crash.crashed_at, crash.id));
    let mut series: Vec<CrashEvidence> = Vec::new();
    for crash in crashes {
        let is_next = series.last().is_none_or(|last| crash.follows(last));
        if is_next && series.len() < max_len {
            series.push(crash);
        }
    }
    series
}
