//! Guards against routes that are held back although no route of a higher priority uses their upstreams.

use std::time::Duration;

use anvilhub_coord::gateway::{GatherRule, HomeRegions, RouteCatalog, RouteRule, RouteTarget};
use anvilhub_coord::ids::SheetVersion;
use anvilhub_coord::sheet::RepeatPolicy;

fn route(name: &str, priority: u32, target: RouteTarget) -> RouteRule {
    RouteRule {
        name: name.parse().expect("a name"),
        host: "shop.example".parse().expect("a host"),
        prefix: format!("/{name}/"),
        repeat_policy: RepeatPolicy::Idempotent,
        timeout: Duration::from_secs(2),
        latency_target: Duration::from_secs(1),
        max_attempts: 2,
        priority,
        home_regions: HomeRegions::default(),
        target,
    }
}

fn shards(names: &[&str]) -> RouteTarget {
    RouteTarget::Gather(GatherRule {
        shards: names
            .iter()
            .map(|name| name.parse().expect("a name"))
            .collect(),
        max_records: 2,
        min_shard_fraction: 0.5,
    })
}

#[test]
fn shared_services_found() {
    let rules = vec![
        route("alerts", 0, shards(&["part-0", "part-1"])),
        route("sweeps", 1, shards(&["part-1", "part-2"])),
        route("other", 1, shards(&["part-2"])),
        route(
            "lookups",
            2,
            RouteTarget::Service("desk".parse().expect("a name")),
        ),
    ];
    let catalog = RouteCatalog::new(SheetVersion(1), rules);
    assert!(catalog.has_priorities());
    let found: Vec<bool> = (0..4).map(|index| catalog.has_higher(index)).collect();
    assert_eq!(found, [false, true, false, false]);
}
