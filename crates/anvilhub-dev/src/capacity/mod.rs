//! Measures how state, messages and CPU time grow with the size of a deployment, for `docs/CAPACITY.md`.

mod cpu_meter;
mod fleet_model;
mod heap_meter;
mod measured_series;
mod member_measurement;
mod process_measurement;
mod request_measurement;
mod sheet_measurement;
mod slope_fit;
mod spread_measurement;
mod ticket_measurement;
mod upstream_measurement;

pub use cpu_meter::CpuMeter;
pub use fleet_model::FleetModel;
pub use heap_meter::HeapMeter;
pub use measured_series::MeasuredSeries;
pub use member_measurement::MemberMeasurement;
pub use process_measurement::ProcessMeasurement;
pub use request_measurement::RequestMeasurement;
pub use sheet_measurement::SheetMeasurement;
pub use slope_fit::SlopeFit;
pub use spread_measurement::SpreadMeasurement;
pub use ticket_measurement::TicketMeasurement;
pub use upstream_measurement::UpstreamMeasurement;
