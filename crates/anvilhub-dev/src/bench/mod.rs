//! Load simulation: runs the decision logic of `anvilhub-coord` against simulated instances and upstreams in virtual
//! time.

mod deployment;
mod event_queue;
mod fake_instance;
mod fake_upstream;
mod owner_plan;
mod report;
mod run_stats;
mod scenario;
mod service_load;
mod service_simulation;
mod variant;
mod workload;

pub use deployment::Deployment;
pub use report::{RunResults, write_csv, write_summary, write_table};
pub use run_stats::RunStats;
pub use scenario::Scenario;
pub use service_load::ServiceLoad;
pub use service_simulation::ServiceSimulation;
pub use variant::{Coordination, Variant};

pub(crate) use event_queue::EventQueue;
pub(crate) use fake_instance::FakeInstance;
pub(crate) use fake_upstream::{FakeUpstream, ReceiveOutcome};
pub(crate) use owner_plan::OwnerPlan;
pub(crate) use workload::{Arrival, Workload};
