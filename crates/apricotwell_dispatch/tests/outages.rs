//! Removed servers are kept only after an outage of the store for all.

use std::time::{Duration, Instant};

use apricotwell_dispatch::outages::StoreOutages;
use apricotwell_dispatch::standstills::Standstills;
use apricotwell_types::ServerId;

/// Time after the return of the store by which the entries of running servers are back.
const REJOIN: Duration = Duration::from_millis(2200);

fn millis(it: u64) -> Duration {
    Duration::from_millis(it)
}

// Records that the store answered, while the process is always scheduled.
fn see(outages: &mut StoreOutages, at: Instant) {
    outages.record_seen(at, at, &Standstills::default());
}

#[test]
fn removal_is_no_lapse_while_another_instance_confirms_the_view() {
    let start = Instant::now();
    // This instance reaches no store; the views of another one come every 500 ms, some of them are lost.
    for lost_from in 0..20 {
        let mut outages = StoreOutages::default();
        for step in 0..20 {
            let at = start + millis(500) * step;
            if step != lost_from {
                see(&mut outages, at);
            }
            let grace = outages.removal_grace(at, "server");
            assert_eq!(grace, None, "step {step}, lost {lost_from}");
        }
    }
}

#[test]
fn lapse_in_an_outage_is_kept_from_the_return_of_the_store_for_all() {
    let start = Instant::now();
    for outage in (1500..9000).step_by(250).map(millis) {
        let mut outages = StoreOutages::default();
        see(&mut outages, start);
        let returned = start + outage;
        see(&mut outages, returned);
        for after in (0..4000).step_by(100).map(millis) {
            // This instance's own connection returns at any time; that does not extend the grace.
            see(&mut outages, returned + after);
            let grace = outages.removal_grace(returned + after, "server");
            let expected = REJOIN.checked_sub(after).filter(|left| !left.is_zero());
            assert_eq!(grace, expected, "{outage:?} {after:?}");
        }
    }
}

#[test]
fn server_that_leaves_after_it_has_rejoined_is_not_kept() {
    let start = Instant::now();
    let server: ServerId = "server".into();
    for (offset, is_kept) in [(99, true), (100, true), (101, false)] {
        let mut outages = StoreOutages::default();
        see(&mut outages, start);
        let returned = start + millis(3000);
        see(&mut outages, returned);
        // Of the first page afterwards, it is not known what was written before the outage.
        outages.record_entry(returned, 90, &server);
        outages.record_known(100);
        outages.record_entry(returned + millis(500), offset, &server);
        let grace = outages.removal_grace(returned + millis(600), "server");
        assert_eq!(grace.is_some(), is_kept, "{offset}");
    }
}
