//! Guards against a split route that is far from its weights while an instance has few requests.

use anvilhub_coord::gateway::{TrafficSplitter, WeightedService};

fn services(weights: &[f64]) -> Vec<WeightedService> {
    let service = |(index, weight): (usize, &f64)| WeightedService {
        service: format!("service-{index}").parse().expect("a name"),
        weight: *weight,
    };
    weights.iter().enumerate().map(service).collect()
}

#[test]
fn requests_match_weights() {
    let services = services(&[7.0, 2.0, 1.0]);
    let mut splitter = TrafficSplitter::default();
    let mut counts = [0; 3];
    for _ in 0..10 {
        let chosen = splitter.next_service(&services);
        counts[chosen.expect("weights are above zero")] += 1;
    }
    assert_eq!(counts, [7, 2, 1]);
}

#[test]
fn zero_weight_unused() {
    let zero_and_one = services(&[0.0, 1.0]);
    let mut splitter = TrafficSplitter::default();
    assert!((0..20).all(|_| splitter.next_service(&zero_and_one) == Some(1)));
    let zero = services(&[0.0]);
    assert_eq!(TrafficSplitter::default().next_service(&zero), None);
}
