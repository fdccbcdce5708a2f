use anvilhub_coord::keyspace::KEY_SPACE_END;

use super::{EntryRequest, RequestError, RequestFilter, Result};

/// Refuses requests for services that are not in the sheet, and for keys outside the key space.
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
