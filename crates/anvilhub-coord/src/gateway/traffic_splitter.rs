use super::WeightedService;

/// Distributes requests over weighted services, each request to the one that is furthest behind its share.
///
/// Answers the load pattern of a split route with few requests for each instance: a random choice needs hundreds
/// of requests to come near the weights, this one a handful.
#[derive(Clone, Debug, Default)]
pub struct TrafficSplitter {
    credits: Vec<f64>,
}

impl TrafficSplitter {
    /// Index of the service for the next request; `None` when no weight is above zero.
    pub fn next(&mut self, parts: &[WeightedService]) -> Option<usize> {
        if self.credits.len() != parts.len() {
            self.credits = vec![0.0; parts.len()];
        }
        let total: f64 = parts.iter().map(|part| part.weight.max(0.0)).sum();
        if total <= 0.0 {
            return None;
        }
        for (credit, part) in self.credits.iter_mut().zip(parts) {
            *credit += part.weight.max(0.0) / total;
        }
        let usable = (0..parts.len()).filter(|&index| parts[index].weight > 0.0);
        let best = usable
            .max_by(|&first, &second| self.credits[first].total_cmp(&self.credits[second]))?;
        self.credits[best] -= 1.0;
        Some(best)
    }
}
