//! Admission control: limits the requests of callers that run at each service.

mod admission_permit;
mod service_gate;

pub(crate) use admission_permit::AdmissionPermit;
pub(crate) use service_gate::ServiceGate;
