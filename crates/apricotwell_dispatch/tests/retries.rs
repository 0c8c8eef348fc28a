//! Retry budget that instances share without exchanging messages.

use std::time::{Duration, Instant};

use apricotwell_dispatch::retries::{RetryBounds, RetryBudget};

const BOUNDS: RetryBounds = RetryBounds {
    ratio: 0.2,
    window: Duration::from_secs(10),
    slack: 58.0,
};
const INSTANCES: usize = 9;

#[test]
fn a_retry_storm_over_all_instances_stays_within_the_bounds() {
    let now = Instant::now();
    let mut budgets: Vec<RetryBudget> = (0..INSTANCES).map(|_| RetryBudget::new(BOUNDS)).collect();
    let (mut requests, mut retries) = (0, 0);
    for second in 0..10 {
        let at = now + Duration::from_secs(second);
        for budget in &mut budgets {
            for _ in 0..20 {
                budget.record_request(at);
                requests += 1;
                retries += u32::from(budget.try_take(at, INSTANCES));
            }
        }
    }
    let allowed = BOUNDS.ratio * f64::from(requests) + BOUNDS.slack;
    assert!(f64::from(retries) <= allowed, "{retries} of {allowed}");
    assert!(f64::from(retries) > allowed / 2.0, "{retries} of {allowed}");
}

#[test]
fn retries_leave_the_window() {
    let now = Instant::now();
    let mut budget = RetryBudget::new(BOUNDS);
    // The instance has served for a while.
    budget.record_request(now);
    let now = now + BOUNDS.window;
    while budget.try_take(now, INSTANCES) {}
    assert!(!budget.try_take(now + BOUNDS.window, INSTANCES));
    assert!(budget.try_take(now + BOUNDS.window * 2, INSTANCES));
}

#[test]
fn instances_that_start_alone_together_stay_below_the_bounds() {
    const INSTANCES: usize = 410;
    let start = Instant::now();
    let mut retries = 0;
    for _ in 0..INSTANCES {
        let mut budget = RetryBudget::new(BOUNDS);
        budget.record_request(start);
        // Each has heard of no other yet.
        while budget.try_take(start + Duration::from_millis(500), 1) {
            retries += 1;
        }
    }
    let allowed = BOUNDS.ratio * INSTANCES as f64 + BOUNDS.slack;
    assert!(
        f64::from(retries) <= allowed,
        "{retries} retries, allowed {allowed}"
    );
}
