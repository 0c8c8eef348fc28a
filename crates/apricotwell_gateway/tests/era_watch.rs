//! Responses of a store that name another era, none, or one from before a change.

use std::time::{Duration, Instant};

use apricotwell_gateway::prelude::*;

#[test]
fn response_from_before_a_change_of_the_era_is_not_used() {
    let watch = EraWatch::default();
    let begun = Instant::now();
    assert_eq!(watch.observe(begun, None), Ok(()));
    assert_eq!(watch.current(), None);
    assert_eq!(watch.observe(begun, Some(7)), Ok(()));
    let mut changes = watch.subscribe();
    assert_eq!(watch.observe(begun, Some(8)), Ok(()));
    assert!(changes.has_changed().unwrap());
    assert_eq!(*changes.borrow_and_update(), Some(8));
    assert!(watch.observe(begun, Some(7)).is_err());
    assert_eq!(watch.current(), Some(8));
    // One that is missing leaves the last one in force.
    assert_eq!(watch.observe(begun, None), Ok(()));
    assert_eq!(watch.current(), Some(8));
    // An era that falls is an error of the store, whose history counts as new.
    let later = Instant::now() + Duration::from_secs(1);
    assert_eq!(watch.observe(later, Some(3)), Ok(()));
    assert_eq!(watch.current(), Some(3));
}
