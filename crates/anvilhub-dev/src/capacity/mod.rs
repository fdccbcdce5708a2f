//! Measures how state, messages and work grow with the size of a deployment, for `docs/CAPACITY.md`.

mod cpu_meter;
mod fleet_model;
mod heap_meter;
mod measured_series;
mod member_measure;
mod process_measure;
mod request_measure;
mod sheet_measure;
mod slope_fit;
mod spread_measure;
mod ticket_measure;
mod upstream_measure;

pub use cpu_meter::CpuMeter;
pub use fleet_model::FleetModel;
pub use heap_meter::HeapMeter;
pub use measured_series::MeasuredSeries;
pub use member_measure::MemberMeasure;
pub use process_measure::ProcessMeasure;
pub use request_measure::RequestMeasure;
pub use sheet_measure::SheetMeasure;
pub use slope_fit::SlopeFit;
pub use spread_measure::SpreadMeasure;
pub use ticket_measure::TicketMeasure;
pub use upstream_measure::UpstreamMeasure;
