//! Decisions about requests that crash the upstreams that run them: what counts as evidence, when a request is blamed,
//! how instances tell each other, and how carefully a suspect is sent.

mod crash_change;
mod crash_evidence;
mod crash_ledger;
mod crash_note;
mod crash_verdict;
mod known_request;
mod recent_completions;
mod run_crashes;

pub use crash_change::CrashChange;
pub use crash_evidence::CrashEvidence;
pub use crash_ledger::CrashLedger;
pub use crash_note::{CrashNote, NotedCrash};
pub use crash_verdict::CrashVerdict;
pub use run_crashes::{RunCrashes, SendVerdict};

use known_request::KnownRequest;
use recent_completions::RecentCompletions;
