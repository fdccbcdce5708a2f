use super::{EntryRequest, RequestError, RequestFilter, Result};

/// Refuses request identifiers that are too long for log lines or would make them unreadable.
pub(crate) struct RequestIdFilter;

impl RequestFilter for RequestIdFilter {
    fn apply(&self, request: &mut EntryRequest) -> Result<()> {
        match request.query.request_id.is_valid() {
            true => Ok(()),
            false => Err(RequestError::MalformedBody {
                reason: "`request_id` is not 1 to 128 letters, digits, `.`, `_`, `-`, `/` or `:`"
                    .to_owned(),
            }),
        }
    }
}
