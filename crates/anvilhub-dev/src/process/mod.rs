//! Helpers for process tests, which start the programs of this workspace as child processes.
//!
//! Every wait has a maximum number of attempts, and a child is killed when its handle is dropped.

mod bounded_wait;
mod child_process;
mod entry_plan;
mod entry_process;
mod http_client;
mod loopback_block;
mod platform_process;
mod process_signal;
mod program_path;
mod proxy_process;
mod query_call;
mod scratch_folder;
mod service_plan;
mod sheet_plan;
mod test_tier;
mod tier_plan;
mod upstreams_process;

pub use bounded_wait::wait_until;
pub use child_process::ChildProcess;
pub use entry_plan::EntryPlan;
pub use entry_process::EntryProcess;
pub use http_client::HttpClient;
pub use loopback_block::LoopbackBlock;
pub use platform_process::PlatformProcess;
pub use process_signal::ProcessSignal;
pub use proxy_process::ProxyProcess;
pub use query_call::QueryCall;
pub use scratch_folder::ScratchFolder;
pub use service_plan::ServicePlan;
pub use sheet_plan::SheetPlan;
pub use test_tier::TestTier;
pub use tier_plan::TierPlan;
pub use upstreams_process::UpstreamsProcess;
