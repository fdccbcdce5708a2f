use super::{EntryRequest, RequestError, RequestFilter, Result};

/// Refuses callers that are not allowed to use the service.
pub(crate) struct CallerFilter;

impl RequestFilter for CallerFilter {
    fn apply(&self, request: &mut EntryRequest) -> Result<()> {
        let service = request.service()?;
        if service.callers.contains(&request.query.caller) {
            return Ok(());
        }
        Err(RequestError::CallerNotServed {
            service: service.name.clone(),
            caller: request.query.caller.clone(),
        })
    }
}
