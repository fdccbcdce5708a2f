//! Gathering of sub-answers: the choice of one snapshot for the whole answer, and coverage of the requested keys.

mod answer_fault;
mod answer_gather;
mod coverage_report;
mod gather_limits;
mod gathered_answer;
mod missing_range;
mod pending_requests;
mod shard_holding;
mod snapshot_answer;
mod snapshot_chooser;
mod snapshot_plan;

pub use crate::border::query::MissingReason;
pub use answer_fault::AnswerFault;
pub use answer_gather::AnswerGather;
pub use coverage_report::CoverageReport;
pub use gather_limits::GatherLimits;
pub use gathered_answer::GatheredAnswer;
pub use missing_range::MissingRange;
pub use shard_holding::{ReplicaHolding, ShardHolding};
pub use snapshot_chooser::SnapshotChooser;
pub use snapshot_plan::{ShardPlan, SnapshotPlan};

/// Result of accepting a sub-answer.
pub type Result<T, E = AnswerFault> = std::result::Result<T, E>;
