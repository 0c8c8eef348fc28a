//! The age of the view, which bounds the life of a withdrawn key.

use std::time::{Duration, Instant};

use apricotwell_dispatch::freshness::Freshness;

const REVOCATION: Duration = Duration::from_secs(5);

#[test]
fn a_view_that_was_never_read_honours_nothing() {
    let freshness = Freshness::new(REVOCATION);
    let now = Instant::now();
    assert!(!freshness.is_usable(now));
    assert!(!freshness.is_ready(now));
    assert!(!freshness.is_current(now));
    assert_eq!(freshness.age(now), None);
}

#[test]
fn keys_stop_before_the_bound_and_callers_are_sent_away_before_that() {
    let now = Instant::now();
    let mut freshness = Freshness::new(REVOCATION);
    freshness.record_read(now);
    let cut = (0..5000).find(|ms| !freshness.is_usable(now + Duration::from_millis(*ms)));
    let unready = (0..5000).find(|ms| !freshness.is_ready(now + Duration::from_millis(*ms)));
    assert!(
        cut.is_some_and(|cut| cut > 3000),
        "served while that is safe"
    );
    assert!(unready < cut);
}

#[test]
fn an_older_read_does_not_make_the_view_older() {
    let now = Instant::now();
    let mut freshness = Freshness::new(REVOCATION);
    freshness.record_read(now + Duration::from_secs(1));
    freshness.record_read(now);
    assert_eq!(
        freshness.age(now + Duration::from_secs(1)),
        Some(Duration::ZERO)
    );
}
