use crate::ids::ServiceName;

/// One part of a route that is split over several services.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its share of the requests, relative to the other parts.
    pub weight: f64,
}
