//! Admission of callers' requests: a bounded queue, an adaptive concurrency limit and early refusal.

mod adaptive_limit;
mod admission_gate;
mod wait_estimate;

pub use adaptive_limit::AdaptiveLimit;
pub use admission_gate::{
    AdmissionDecision, AdmissionGate, AdmissionRelease, AdmissionSettings, AdmissionVerdict,
    RefusalReason, RefusedItem,
};
pub use wait_estimate::WaitEstimate;
