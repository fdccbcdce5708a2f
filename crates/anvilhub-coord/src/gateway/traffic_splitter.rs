use super::WeightedService;

/// Distributes requests over weighted services, each request to the service that is furthest behind its share.
///
/// Designed for a split route with few requests per instance: a random choice needs hundreds of requests to approximate
/// the weights, this one a handful.
#[derive(Clone, Debug, Default)]
pub struct TrafficSplitter {
    /// For each service, the number of requests that its weight entitles it to minus the number that it got.
    credits: Vec<f64>,
}

impl TrafficSplitter {
    /// Returns the index of the service for the next request; `None` if no weight is above zero.
    pub fn next_service(&mut self, services: &[WeightedService]) -> Option<usize> {
        if self.credits.len() != services.len() {
            self.credits = vec![0.0; services.len()];
        }
        let total_weight: f64 = services.iter().map(|service| service.weight.max(0.0)).sum();
        if total_weight <= 0.0 {
            return None;
        }
        for (credit, service) in self.credits.iter_mut().zip(services) {
            *credit += service.weight.max(0.0) / total_weight;
        }
        let usable = (0..services.len()).filter(|&index| services[index].weight > 0.0);
        let best = usable
            .max_by(|&first, &second| self.credits[first].total_cmp(&self.credits[second]))?;
        self.credits[best] -= 1.0;
        Some(best)
    }
}
