//! Requests of a split route keep the weights with few requests.

use anvilhub_coord::gateway::{TrafficSplitter, WeightedService};

fn parts(weights: &[f64]) -> Vec<WeightedService> {
    let part = |(index, weight): (usize, &f64)| WeightedService {
        service: format!("service-{index}").parse().expect("a name"),
        weight: *weight,
    };
    weights.iter().enumerate().map(part).collect()
}

#[test]
fn ten_requests_keep_weights() {
    let parts = parts(&[7.0, 2.0, 1.0]);
    let mut wheel = TrafficSplitter::default();
    let mut counts = [0; 3];
    for _ in 0..10 {
        counts[wheel.next(&parts).expect("weights are above zero")] += 1;
    }
    assert_eq!(counts, [7, 2, 1]);
}

#[test]
fn zero_weight_gets_nothing() {
    let parts = parts(&[0.0, 1.0]);
    let mut wheel = TrafficSplitter::default();
    assert!((0..20).all(|_| wheel.next(&parts) == Some(1)));
    assert_eq!(TrafficSplitter::default().next(&self::parts(&[0.0])), None);
}
