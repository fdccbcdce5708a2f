use std::sync::Arc;

use anvilhub_coord::border::query::QueryRequest;
use anvilhub_coord::keyspace::KeyRange;
use anvilhub_coord::sheet::{CheckedSheet, RepeatPolicy, ServiceSpec, UrgencyClass};
use anvilhub_coord::time::ClockTime;

use super::{RequestError, Result};

/// A request of a caller with the sheet that was in force when it arrived.
pub(crate) struct EntryRequest {
    pub(crate) query: QueryRequest,
    pub(crate) sheet: Arc<CheckedSheet>,
    pub(crate) arrived_at: ClockTime,
    pub(crate) deadline: ClockTime,
}

impl EntryRequest {
    pub(crate) fn new(
        query: QueryRequest,
        sheet: Arc<CheckedSheet>,
        arrived_at: ClockTime,
    ) -> Self {
        Self {
            query,
            sheet,
            arrived_at,
            deadline: arrived_at,
        }
    }

    /// Returns the service that the request names.
    ///
    /// # Errors
    ///
    /// Fails when the sheet has no such service.
    pub(crate) fn service(&self) -> Result<&ServiceSpec> {
        self.sheet
            .services
            .get(&self.query.service)
            .ok_or_else(|| RequestError::UnknownService {
                service: self.query.service.clone(),
            })
    }

    /// Returns the keys that the request needs.
    pub(crate) fn key_range(&self) -> KeyRange {
        self.query.key.map_or(KeyRange::WHOLE, KeyRange::single)
    }

    /// Returns whether both the request and its service declare that it may run more than once.
    pub(crate) fn is_idempotent(&self, service: &ServiceSpec) -> bool {
        self.query.idempotent && service.repeatability == RepeatPolicy::Idempotent
    }

    /// Returns the urgency that the request states, but at most that of its service.
    pub(crate) fn urgency(&self, service: &ServiceSpec) -> UrgencyClass {
        // Classes are ordered from the most to the least urgent, so `max` selects the less urgent one.
        self.query
            .urgency
            .unwrap_or(service.urgency)
            .max(service.urgency)
    }
}
