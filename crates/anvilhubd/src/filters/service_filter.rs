use anvilhub_coord::keyspace::KEY_SPACE_END;

use super::{EntryRequest, RequestError, RequestFilter, Result};

/// Refuses requests for services and keys that the sheet does not have.
pub(crate) struct ServiceFilter;

impl RequestFilter for ServiceFilter {
    fn apply(&self, request: &mut EntryRequest) -> Result<()> {
        request.service()?;
        match request.query.key {
            Some(key) if key >= KEY_SPACE_END => Err(RequestError::UnknownKey { key }),
            _ => Ok(()),
        }
    }
}
