//! Load tool: drives the decisions of `anvilhub-coord` over small fakes with a manual clock.

mod deployment;
mod driver;
mod event_queue;
mod fake_entry;
mod fake_upstream;
mod load_tally;
mod owner_plan;
mod report;
mod scenario;
mod variant;
mod workload;

pub use deployment::{Deployment, Desk};
pub use driver::Driver;
pub use load_tally::LoadTally;
pub use report::{Results, write_csv, write_summary, write_table};
pub use scenario::Scenario;
pub use variant::{Coordination, Variant};

pub(crate) use event_queue::EventQueue;
pub(crate) use fake_entry::FakeEntry;
pub(crate) use fake_upstream::{Admitted, FakeUpstream};
pub(crate) use owner_plan::OwnerPlan;
pub(crate) use workload::{Arrival, Workload};
