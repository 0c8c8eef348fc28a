//! Limits on the age of the configuration, which bound how long a revoked key works.

use std::time::{Duration, Instant};

use apricotwell_dispatch::freshness::Freshness;

const REVOCATION: Duration = Duration::from_secs(5);

#[test]
fn a_configuration_that_was_never_read_is_not_used() {
    let freshness = Freshness::new(REVOCATION);
    let now = Instant::now();
    assert!(!freshness.is_usable(now));
    assert!(!freshness.is_ready(now));
    assert!(!freshness.is_current(now));
    assert_eq!(freshness.age(now), None);
}

#[test]
fn clients_are_redirected_before_keys_are_refused_within_the_bound() {
    let now = Instant::now();
    let mut freshness = Freshness::new(REVOCATION);
    freshness.record_read(now);
    let unusable = (0..5000).find(|ms| !freshness.is_usable(now + Duration::from_millis(*ms)));
    let unready = (0..5000).find(|ms| !freshness.is_ready(now + Duration::from_millis(*ms)));
    assert!(
        unusable.is_some_and(|unusable| unusable > 3000),
        "keys are accepted for as long as that is safe"
    );
    assert!(unready < unusable);
}

#[test]
fn an_older_read_does_not_increase_the_age() {
    let now = Instant::now();
    let mut freshness = Freshness::new(REVOCATION);
    freshness.record_read(now + Duration::from_secs(1));
    freshness.record_read(now);
    assert_eq!(
        freshness.age(now + Duration::from_secs(1)),
        Some(Duration::ZERO)
    );
}
