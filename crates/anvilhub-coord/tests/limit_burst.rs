//! Replays a burst of callers at fleets of several sizes, beside an upstream that names a low limit: the sum over all
//! instances must stay within the limit, and the upstream must not be left idle.

use std::time::Duration;

use anvilhub_coord::fleet::{CpuCores, FleetTable, MemberInfo};
use anvilhub_coord::ids::{CallRate, Incarnation, InstanceId};
use anvilhub_coord::limit::{LimitSharers, LimitTable, StatedLimit, UpstreamProcess};
use anvilhub_coord::time::ClockTime;

/// Length of the windows in which sends are counted, in milliseconds.
const WINDOW_MS: usize = 4_000;
/// Length of the burst, in milliseconds.
const BURST_MS: usize = 8_000;

fn member(number: usize, cores: f64) -> MemberInfo {
    let address = "127.0.0.1:1".parse().expect("an address");
    MemberInfo {
        instance: format!("entry-{number}").parse().expect("an id"),
        incarnation: Incarnation(1),
        failure_domain: format!("domain-{}", number % 3).parse().expect("an id"),
        cores: CpuCores(cores),
        peer_address: address,
        relay_address: address,
        is_leaving: false,
        is_cut_off: false,
    }
}

/// Returns the instances that share limits in a fleet of these members, as the member `own` sees it.
fn sharers_seen_by(own: usize, members: &[MemberInfo]) -> Vec<InstanceId> {
    let now = ClockTime(1);
    let mut table = FleetTable::new(members[own].clone());
    for member in members {
        table.record_contact(now, member.clone());
    }
    table.limit_sharers(now).into_iter().cloned().collect()
}

/// Returns the numbers of sends by millisecond, if every instance has a request to send at each millisecond.
fn replay_burst(members: &[MemberInfo], limit: f64) -> Vec<usize> {
    let upstream = UpstreamProcess {
        id: "i-1".parse().expect("an id"),
        incarnation: Incarnation(1),
    };
    let mut instances: Vec<_> = (0..members.len())
        .map(|own| {
            let sharers = LimitSharers::new(sharers_seen_by(own, members));
            (
                members[own].instance.clone(),
                sharers,
                LimitTable::default(),
            )
        })
        .collect();
    let mut sends = vec![0; BURST_MS];
    for (ms, count) in sends.iter_mut().enumerate() {
        let now = ClockTime::default() + Duration::from_millis(1_000 + ms as u64);
        for (own, sharers, table) in &mut instances {
            if ms % 1_000 == 0 {
                let stated = StatedLimit::Rate(CallRate(limit));
                table.record_answer(now, &upstream, stated, true);
            }
            let permit = table.permit(now, &upstream, |limit| sharers.share(own, &upstream, limit));
            if !permit.is_denied() {
                table.record_send(now, &upstream, false);
                *count += 1;
            }
        }
    }
    sends
}

fn check_burst(members: &[MemberInfo], limit: f64) {
    let sends = replay_burst(members, limit);
    let allowed = 1.5 * limit * WINDOW_MS as f64 / 1_000.0 + 5.0;
    let most: usize = sends
        .windows(WINDOW_MS)
        .map(|window| window.iter().sum())
        .max()
        .expect("a burst is longer than a window");
    assert!(most as f64 <= allowed, "{most} of {allowed}");
    let total: usize = sends.iter().sum();
    let served = total as f64 / (limit * BURST_MS as f64 / 1_000.0);
    assert!(served >= 0.8, "{served} of the limit is used");
}

#[test]
fn small_fleets() {
    for count in [1, 6, 9] {
        let members: Vec<_> = (0..count).map(|number| member(number, 0.25)).collect();
        for limit in [1.0, 2.5, 12.6, 25.3] {
            check_burst(&members, limit);
        }
    }
}

#[test]
fn mixed_fleets() {
    for count in [87, 295] {
        let cores = |number: usize| if number.is_multiple_of(20) { 0.5 } else { 0.12 };
        let members: Vec<_> = (0..count)
            .map(|number| member(number, cores(number)))
            .collect();
        for limit in [1.3, 7.3, 40.0] {
            check_burst(&members, limit);
        }
    }
}

#[test]
fn equal_fleets() {
    let members: Vec<_> = (0..120).map(|number| member(number, 0.25)).collect();
    check_burst(&members, 7.3);
}

/// Instances that are about to stop leave their shares to the others.
#[test]
fn leaving_instances_left_out() {
    let mut members: Vec<_> = (0..6).map(|number| member(number, 0.25)).collect();
    members[2].is_leaving = true;
    let sharers = sharers_seen_by(0, &members);
    assert_eq!(sharers.len(), 5);
    assert!(!sharers.contains(&members[2].instance));
}
