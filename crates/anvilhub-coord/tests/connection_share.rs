//! Guards against more connections than a replica accepts.

use anvilhub_coord::connection::ConnectionShare;
use anvilhub_coord::ids::ConnectionLimit;

const LIMITS: [u32; 4] = [25, 35, 110, 3];

#[test]
fn sum_stays_within_limit() {
    // Entries join: some count `known` of the `live` ones, up to a quarter less.
    for limit in LIMITS.map(ConnectionLimit) {
        for live in 1..=40_u32 {
            let known = live - live / 5;
            let old = ConnectionShare::new(known);
            let direct: u32 = (0..live)
                .map(|rank| old.direct_connections(limit, rank))
                .sum();
            assert!(
                direct <= limit.get(),
                "direct, limit {limit}, {live} entries: {direct}"
            );

            let others: u32 = (2..live)
                .map(|rank| old.bypass_connections(limit, rank))
                .sum();
            let owners: u32 = (0..live.min(2))
                .map(|rank| old.owner_connections(limit, rank))
                .sum();
            let total = others + owners;
            assert!(
                total <= limit.get(),
                "two owners, limit {limit}, {live} entries: {total}"
            );
        }
    }
}

#[test]
fn current_sizes_have_connections() {
    let share = ConnectionShare::new(8);
    for (limit, direct, owner) in [(25, 2, 8), (35, 3, 13), (110, 11, 51)] {
        assert_eq!(share.direct_connections(ConnectionLimit(limit), 0), direct);
        assert_eq!(share.owner_connections(ConnectionLimit(limit), 0), owner);
    }
}
