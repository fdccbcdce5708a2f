//! Guards against instances that together open more connections than a replica accepts.

use anvilhub_coord::connection::ConnectionShare;
use anvilhub_coord::ids::ConnectionLimit;

const LIMITS: [u32; 4] = [25, 35, 110, 3];

#[test]
fn limit_not_exceeded() {
    // While instances join, some instances count only `known` of the `live` ones. `live` is at most a quarter higher.
    for limit in LIMITS.map(ConnectionLimit) {
        for live in 1..=40_u32 {
            let known = live - live / 5;
            let share = ConnectionShare::new(known);
            let direct: u32 = (0..live)
                .map(|rank| share.max_direct_connections(limit, rank))
                .sum();
            assert!(
                direct <= limit.get(),
                "direct, limit {limit}, {live} instances: {direct}"
            );

            let others: u32 = (2..live)
                .map(|rank| share.max_bypass_connections(limit, rank))
                .sum();
            let owners: u32 = (0..live.min(2))
                .map(|rank| share.max_owner_connections(limit, rank))
                .sum();
            let total = others + owners;
            assert!(
                total <= limit.get(),
                "two owners, limit {limit}, {live} instances: {total}"
            );
        }
    }
}

#[test]
fn shares_use_limit() {
    let share = ConnectionShare::new(8);
    for (limit, direct, owner) in [(25, 2, 8), (35, 3, 13), (110, 11, 51)] {
        assert_eq!(
            share.max_direct_connections(ConnectionLimit(limit), 0),
            direct
        );
        assert_eq!(
            share.max_owner_connections(ConnectionLimit(limit), 0),
            owner
        );
    }
}
