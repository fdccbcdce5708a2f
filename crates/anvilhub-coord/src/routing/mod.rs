//! Replica choice, hedges, retries, ejection of unhealthy upstreams, and queues for replica slots.

mod attempt_rule;
mod attempt_state;
mod ejection_policy;
mod hedge_policy;
mod latency_window;
mod overflow_policy;
mod owner_health;
mod replica_candidate;
mod replica_picker;
mod reported_outcome;
mod retry_budget;
mod slot_allowance;
mod slot_queue;
mod upstream_load;
mod upstream_view;
mod urgency_queue;

pub use attempt_rule::{AttemptKind, AttemptRule, AttemptVerdict, ForbiddenReason};
pub use attempt_state::AttemptState;
pub use ejection_policy::{EjectionCandidate, EjectionPolicy};
pub use hedge_policy::HedgePolicy;
pub use latency_window::LatencyWindow;
pub use overflow_policy::OverflowPolicy;
pub use owner_health::OwnerHealth;
pub use replica_candidate::ReplicaCandidate;
pub use replica_picker::{PickError, PickReason, ReplicaChoice, ReplicaPicker};
pub use reported_outcome::ReportedOutcome;
pub use retry_budget::{BUDGET_WINDOW, RetryBudget};
pub use slot_allowance::SlotAllowance;
pub use slot_queue::{SlotDecision, SlotQueue, SlotRelease};
pub use upstream_load::UpstreamLoad;
pub use upstream_view::{LeavingSignal, ReportedLoad, UpstreamView};
pub(crate) use urgency_queue::{DroppedItem, QueueRank, URGENCY_CLASSES, UrgencyQueue};

/// Result of a replica choice.
pub type Result<T, E = PickError> = std::result::Result<T, E>;
