use std::sync::Arc;

use anvilhub_coord::border::query::QueryRequest;
use anvilhub_coord::keyspace::KeyRange;
use anvilhub_coord::sheet::{CheckedSheet, RepeatPolicy, ServiceSpec, UrgencyClass};
use anvilhub_coord::time::ClockTime;

use super::{RequestError, Result};

/// A caller's request with the sheet that was in force when it arrived.
pub(crate) struct EntryRequest {
    pub(crate) query: QueryRequest,
    pub(crate) sheet: Arc<CheckedSheet>,
    pub(crate) arrived: ClockTime,
    pub(crate) deadline: ClockTime,
}

impl EntryRequest {
    pub(crate) fn new(query: QueryRequest, sheet: Arc<CheckedSheet>, arrived: ClockTime) -> Self {
        Self {
            query,
            sheet,
            arrived,
            deadline: arrived,
        }
    }

    /// The service that the request names.
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

    /// Keys that the request touches.
    pub(crate) fn range(&self) -> KeyRange {
        self.query.key.map_or(KeyRange::WHOLE, KeyRange::single)
    }

    /// Says whether running the request twice is harmless: the request and its service must both say so.
    pub(crate) fn is_idempotent(&self, service: &ServiceSpec) -> bool {
        self.query.idempotent && service.repeatability == RepeatPolicy::Idempotent
    }

    /// Urgency of the request: what it claims, but at most the service's.
    pub(crate) fn urgency(&self, service: &ServiceSpec) -> UrgencyClass {
        // Classes are ordered from the most to the least urgent.
        self.query
            .urgency
            .unwrap_or(service.urgency)
            .max(service.urgency)
    }
}
