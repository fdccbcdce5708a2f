//! The request chain: each filter checks or completes a request before it is routed.

mod caller_filter;
mod deadline_filter;
mod entry_request;
mod filter_chain;
mod identity_filter;
mod request_error;
mod service_filter;

pub(crate) use caller_filter::CallerFilter;
pub(crate) use deadline_filter::DeadlineFilter;
pub(crate) use entry_request::EntryRequest;
pub(crate) use filter_chain::{FilterChain, RequestFilter};
pub(crate) use identity_filter::IdentityFilter;
pub(crate) use request_error::RequestError;
pub(crate) use service_filter::ServiceFilter;

/// Result of a step of the request chain.
pub(crate) type Result<T, E = RequestError> = std::result::Result<T, E>;
