//! Guards against hedges and retries above the extra load of a service, such as in a retry storm.

use std::time::Duration;

use anvilhub_coord::routing::{BUDGET_WINDOW, RetryBudget};
use anvilhub_coord::time::ClockTime;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const EXTRA_LOAD: f64 = 0.05;

/// Times of needed sub-requests and of paid hedges, when as many hedges are wanted as can be paid.
fn greedy_run(seed: u64) -> (Vec<u64>, Vec<u64>) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut budget = RetryBudget::new(EXTRA_LOAD);
    let (mut needed, mut spent) = (Vec::new(), Vec::new());
    let steady_gap = rng.random_range(300..40_000);
    let mut now = 0;
    while now < 12_000_000 {
        // Demand is five times higher between the fourth and the seventh second.
        let gap = match now {
            4_000_000..7_000_000 => steady_gap / 5,
            _ => steady_gap,
        };
        now += rng.random_range(1..=2 * gap);
        budget.earn(ClockTime(now));
        needed.push(now);
        // Spending pauses at random, so that tokens could pile up.
        let wanted = match (now / 700_000 + seed) % 3 {
            0 => 0,
            _ => 3,
        };
        for _ in 0..wanted {
            if budget.try_spend(ClockTime(now)) {
                spent.push(now);
            }
        }
    }
    (needed, spent)
}

fn count(times: &[u64], from: u64, to: u64) -> f64 {
    times
        .iter()
        .filter(|time| (from..=to).contains(*time))
        .count() as f64
}

#[test]
fn every_window_bounded() {
    let window = BUDGET_WINDOW.as_micros() as u64;
    for seed in 0..40 {
        let (needed, spent) = greedy_run(seed);
        for (index, &end) in spent.iter().enumerate() {
            let start = end.saturating_sub(window - 1);
            let within = count(&spent[..=index], start, end);
            let allowed = (EXTRA_LOAD * count(&needed, start, end)).max(1.0);
            assert!(
                within <= allowed,
                "seed {seed}: {within} hedges in the second before {end}, {allowed} allowed"
            );
        }
        let total = EXTRA_LOAD * needed.len() as f64;
        assert!(
            spent.len() as f64 <= total,
            "seed {seed}: over the whole run"
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
    let paid = (0..500).filter(|_| budget.try_spend(later)).count();

    assert!(paid <= 1, "{paid} tokens of a past peak were spent");
}

#[test]
fn small_service_hedges() {
    let mut budget = RetryBudget::new(EXTRA_LOAD);
    let mut paid = 0;
    for request in 0..100_u64 {
        let now = ClockTime(0) + Duration::from_millis(request * 500);
        budget.earn(now);
        paid += u32::from(budget.try_spend(now));
    }

    // Two sub-requests a second never earn a token within a second, yet 5 in 100 may be hedged.
    assert!((4..=5).contains(&paid), "{paid} hedges");
}

/// Guards against a forwarded sub-request that pays for hedges twice, at its sender and at its owner.
#[test]
fn forwarded_earns_once() {
    let (mut sender, mut owner) = (RetryBudget::new(EXTRA_LOAD), RetryBudget::new(EXTRA_LOAD));
    let mut spent = [0, 0];
    for millis in 0..1_000 {
        let now = ClockTime::from_millis(millis);
        sender.earn_as_sender(now);
        owner.earn_as_owner(now);
        for (count, budget) in spent.iter_mut().zip([&mut sender, &mut owner]) {
            *count += u32::from(budget.try_spend(now));
        }
    }
    // A sub-request sent again needs a token, so a sender without any would wait for a lost owner forever.
    assert!(spent[0] >= 10, "{spent:?}");
    assert!((40..=50).contains(&(spent[0] + spent[1])), "{spent:?}");
}

/// Every window of a windowed budget holds at most what it earned and the slack.
#[test]
fn windows_are_bounded() {
    let window = Duration::from_secs(10);
    let mut budget = RetryBudget::with_window(0.2, window, 2);
    let mut rng = SmallRng::seed_from_u64(11);
    let (mut needed, mut spent) = (Vec::new(), Vec::new());
    let mut now = 0;
    while now < 60_000_000_u64 {
        now += rng.random_range(1..200_000);
        budget.earn(ClockTime(now));
        needed.push(now);
        for _ in 0..rng.random_range(0..4) {
            if budget.try_spend(ClockTime(now)) {
                spent.push(now);
            }
        }
    }
    assert!(!spent.is_empty());
    let micros = window.as_micros() as u64;
    for end in &spent {
        let within = |times: &[u64]| {
            let from = end.saturating_sub(micros);
            times
                .iter()
                .filter(|time| (from..=*end).contains(time))
                .count() as f64
        };
        assert!(
            within(&spent) <= 0.2 * within(&needed) + 2.0,
            "window that ends at {end}"
        );
    }
}
