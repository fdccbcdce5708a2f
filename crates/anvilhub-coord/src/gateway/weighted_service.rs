use crate::ids::ServiceName;

/// One of the services among which a route splits its requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its share of the requests, relative to the other services of the route.
    pub weight: f64,
}
