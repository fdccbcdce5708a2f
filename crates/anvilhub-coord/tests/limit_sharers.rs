//! Guards against instances that each allow themselves the whole limit of an upstream, and against shares so small that
//! what all instances save up exceeds the limit.

use anvilhub_coord::ids::{CallRate, Incarnation, InstanceId};
use anvilhub_coord::limit::{LimitSharers, UpstreamProcess};

fn instances(count: usize) -> Vec<InstanceId> {
    (0..count)
        .map(|number| format!("entry-{number}").parse().expect("an id"))
        .collect()
}

fn upstream(number: usize) -> UpstreamProcess {
    UpstreamProcess {
        id: format!("i-{number}").parse().expect("an id"),
        incarnation: Incarnation(7),
    }
}

fn shares(count: usize, upstream: &UpstreamProcess, limit: f64) -> Vec<f64> {
    let members = instances(count);
    let sharers = LimitSharers::new(members.clone());
    members
        .iter()
        .map(|own| sharers.share(own, upstream, CallRate(limit)).get())
        .collect()
}

/// The shares of all instances add up to the limit, whatever the sizes of the fleet and of the limit.
#[test]
fn shares_add_up() {
    for count in [1, 6, 8, 40, 87, 295] {
        for limit in [0.7, 1.0, 7.3, 25.3, 400.0] {
            let total: f64 = shares(count, &upstream(1), limit).iter().sum();
            assert!(
                (total - limit).abs() < 1e-6,
                "{count} instances, limit {limit}: {total}"
            );
        }
    }
}

/// A share below one request a second would let the fleet save up more requests than the limit has.
#[test]
fn few_share_low_limits() {
    let sharing = shares(295, &upstream(1), 7.3)
        .into_iter()
        .filter(|share| *share > 0.0)
        .count();
    assert_eq!(sharing, 7);
}

/// If the same instances shared every limit, the others could not use any upstream of a service whose upstreams all
/// name limits.
#[test]
fn upstreams_shared_by_different_instances() {
    let sharers_of = |number: usize| -> Vec<usize> {
        let shares = shares(87, &upstream(number), 5.0);
        (0..87).filter(|&index| shares[index] > 0.0).collect()
    };
    assert_ne!(sharers_of(1), sharers_of(2));
}

/// An instance that is not among the known ones, since it is about to stop or knows nobody yet, sends nothing.
#[test]
fn unknown_instance_without_share() {
    let sharers = LimitSharers::new(instances(3));
    let other = "other".parse().expect("an id");
    let share = sharers.share(&other, &upstream(1), CallRate(100.0));
    assert_eq!(share, CallRate(0.0));
}

/// Only an answer shows that a limit has ended, so an upstream that takes nothing is still asked now and then.
#[test]
fn zero_limit_asked() {
    let total: f64 = shares(8, &upstream(1), 0.0).iter().sum();
    assert!(total > 0.0 && total <= 1.0, "{total}");
}

/// A huge limit gives every instance a share.
#[test]
fn huge_limit_shared() {
    assert!(
        shares(8, &upstream(1), 1e300)
            .iter()
            .all(|share| *share > 1e290)
    );
}
