//! Guards against hedges and retries that exceed the extra load of a service, such as in a retry storm.

use std::time::Duration;

use anvilhub_coord::routing::{BUDGET_WINDOW, RetryBudget};
use anvilhub_coord::time::ClockTime;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const EXTRA_LOAD: f64 = 0.05;

/// Sends every hedge that the budget allows. Returns the times of the sub-requests and of the hedges in microseconds.
fn spend_greedily(seed: u64) -> (Vec<u64>, Vec<u64>) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut budget = RetryBudget::new(EXTRA_LOAD);
    let (mut requests, mut hedges) = (Vec::new(), Vec::new());
    let mean_gap_micros = rng.random_range(300..40_000);
    let mut now = 0;
    while now < 12_000_000 {
        // Demand is five times higher between the fourth and the seventh second.
        let gap_micros = match now {
            4_000_000..7_000_000 => mean_gap_micros / 5,
            _ => mean_gap_micros,
        };
        now += rng.random_range(1..=2 * gap_micros);
        budget.earn(ClockTime(now));
        requests.push(now);
        // Spending pauses for 0.7 s at times, in which tokens could accumulate.
        let requested_count = match (now / 700_000 + seed) % 3 {
            0 => 0,
            _ => 3,
        };
        for _ in 0..requested_count {
            if budget.try_spend(ClockTime(now)) {
                hedges.push(now);
            }
        }
    }
    (requests, hedges)
}

fn count_between(times: &[u64], from: u64, to: u64) -> f64 {
    times
        .iter()
        .filter(|time| (from..=to).contains(*time))
        .count() as f64
}

#[test]
fn hedges_stay_bounded() {
    let window = BUDGET_WINDOW.as_micros() as u64;
    for seed in 0..40 {
        let (requests, hedges) = spend_greedily(seed);
        for (index, &end) in hedges.iter().enumerate() {
            let start = end.saturating_sub(window - 1);
            let within = count_between(&hedges[..=index], start, end);
            let allowed = (EXTRA_LOAD * count_between(&requests, start, end)).max(1.0);
            assert!(
                within <= allowed,
                "seed {seed}: {within} hedges in the second before {end}, {allowed} allowed"
            );
        }
        let total = EXTRA_LOAD * requests.len() as f64;
        assert!(
            hedges.len() as f64 <= total,
            "seed {seed}: the whole run exceeds the extra load"
        );
    }
}

#[test]
fn peak_tokens_expire() {
    let mut budget = RetryBudget::new(EXTRA_LOAD);
    for micros in 0..10_000 {
        budget.earn(ClockTime(micros));
    }
    let later = ClockTime(10_000) + BUDGET_WINDOW * 2;
    let spent = (0..500).filter(|_| budget.try_spend(later)).count();

    assert!(spent <= 1, "{spent} tokens of a past peak were spent");
}

#[test]
fn small_service_hedges() {
    let mut budget = RetryBudget::new(EXTRA_LOAD);
    let mut sent = 0;
    for request in 0..100_u64 {
        let now = ClockTime(0) + Duration::from_millis(request * 500);
        budget.earn(now);
        sent += u32::from(budget.try_spend(now));
    }

    // Two sub-requests per second never earn a whole token within a second, but 5 in 100 may be hedged.
    assert!((4..=5).contains(&sent), "{sent} hedges");
}

/// Guards against a forwarded sub-request that earns tokens twice, at its sender and at its owner.
#[test]
fn forwarded_earns_once() {
    let (mut sender, mut owner) = (RetryBudget::new(EXTRA_LOAD), RetryBudget::new(EXTRA_LOAD));
    let mut hedges = [0, 0];
    for millis in 0..1_000 {
        let now = ClockTime::from_millis(millis);
        sender.earn_as_sender(now);
        owner.earn_as_owner(now);
        for (count, budget) in hedges.iter_mut().zip([&mut sender, &mut owner]) {
            *count += u32::from(budget.try_spend(now));
        }
    }
    // Sending a sub-request again costs a token: a sender without one would wait for a failed owner forever.
    assert!(hedges[0] >= 10, "{hedges:?}");
    assert!((40..=50).contains(&(hedges[0] + hedges[1])), "{hedges:?}");
}

/// Guards against a window in which a budget spends more than the window's earnings and the slack.
#[test]
fn slack_stays_bounded() {
    let window = Duration::from_secs(10);
    let mut budget = RetryBudget::with_window(0.2, window, 2);
    let mut rng = SmallRng::seed_from_u64(11);
    let (mut requests, mut hedges) = (Vec::new(), Vec::new());
    let mut now = 0;
    while now < 60_000_000_u64 {
        now += rng.random_range(1..200_000);
        budget.earn(ClockTime(now));
        requests.push(now);
        for _ in 0..rng.random_range(0..4) {
            if budget.try_spend(ClockTime(now)) {
                hedges.push(now);
            }
        }
    }
    assert!(!hedges.is_empty());
    let micros = window.as_micros() as u64;
    for end in &hedges {
        let within = |times: &[u64]| {
            let from = end.saturating_sub(micros);
            times
                .iter()
                .filter(|time| (from..=*end).contains(time))
                .count() as f64
        };
        assert!(
            within(&hedges) <= 0.2 * within(&requests) + 2.0,
            "window that ends at {end}"
        );
    }
}
