//! The request chain: filters that check requests and fill in derived fields before routing.

mod caller_filter;
mod deadline_filter;
mod entry_request;
mod filter_chain;
mod request_error;
mod request_id_filter;
mod service_filter;

pub(crate) use caller_filter::CallerFilter;
pub(crate) use deadline_filter::DeadlineFilter;
pub(crate) use entry_request::EntryRequest;
pub(crate) use filter_chain::{FilterChain, RequestFilter};
pub(crate) use request_error::RequestError;
pub(crate) use request_id_filter::RequestIdFilter;
pub(crate) use service_filter::ServiceFilter;

/// Result of a step of the request chain.
pub(crate) type Result<T, E = RequestError> = std::result::Result<T, E>;
