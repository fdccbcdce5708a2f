use super::{EntryRequest, RequestError, RequestFilter, Result};

/// Refuses request identifiers that would make log lines unbounded or unreadable.
pub(crate) struct IdentityFilter;

impl RequestFilter for IdentityFilter {
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
