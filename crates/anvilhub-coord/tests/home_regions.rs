//! Guards against requests that leave the regions to which their route restricts them.

use std::collections::{BTreeMap, BTreeSet};

use anvilhub_coord::gateway::{HomeRegions, RegionMap};
use anvilhub_coord::ids::{FailureDomain, RegionName};

fn domain(name: &str) -> FailureDomain {
    name.parse().expect("a valid name")
}

fn region(name: &str) -> RegionName {
    name.parse().expect("a valid name")
}

/// Domains `n-1` and `n-2` are in the north, `s-1` is in the south and `w-1` in the west.
fn build_map() -> RegionMap {
    let regions = [
        ("n-1", "north"),
        ("n-2", "north"),
        ("s-1", "south"),
        ("w-1", "west"),
    ];
    let regions = regions.map(|(name, of)| (domain(name), region(of)));
    RegionMap::from(BTreeMap::from(regions))
}

fn allowed_upstreams(home: &HomeRegions, map: &RegionMap) -> Vec<&'static str> {
    let all = ["n-1", "n-2", "s-1", "w-1", "unknown"];
    let allowed = all.into_iter();
    allowed
        .filter(|name| home.allow_upstreams(&domain(name), map))
        .collect()
}

/// A route without home regions is served by all upstreams; one with home regions by none outside of them, and by none of
/// which it is not known where they are.
#[test]
fn upstreams_restricted() {
    let map = build_map();
    assert_eq!(allowed_upstreams(&HomeRegions::default(), &map).len(), 5);
    let home = HomeRegions::from(BTreeSet::from([region("north")]));
    assert_eq!(allowed_upstreams(&home, &map), ["n-1", "n-2"]);
    assert!(allowed_upstreams(&home, &RegionMap::default()).is_empty());
}

/// A body is already in the region of the instance that got it, and may move there and to home regions only.
#[test]
fn relays_restricted() {
    let home = HomeRegions::from(BTreeSet::from([region("north")]));
    let allows = |own: &str, other: &str, map: &RegionMap| {
        home.allow_relay(&domain(own), &domain(other), map)
    };
    let map = build_map();
    assert!(allows("s-1", "n-1", &map));
    assert!(allows("s-1", "s-1", &map));
    assert!(!allows("s-1", "w-1", &map));
    assert!(!allows("n-1", "s-1", &map));
    assert!(!allows("n-1", "unknown", &map));
    let unknown = RegionMap::default();
    assert!(allows("n-1", "n-1", &unknown), "the same domain");
    assert!(!allows("n-1", "n-2", &unknown), "two unknown regions");
    assert!(HomeRegions::default().allow_relay(&domain("n-1"), &domain("x"), &unknown));
}
