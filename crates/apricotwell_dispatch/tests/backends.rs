//! The server list is followed in its order.

use std::time::{Duration, Instant};

use apricotwell_dispatch::backends::{BackendEntry, BackendTable};
use apricotwell_dispatch::model::Inventory;

fn entry(started_ms: u64, draining: bool) -> BackendEntry {
    BackendEntry {
        id: "server".into(),
        service: "engines".into(),
        address: "10.0.1.1:80".parse().unwrap(),
        zone: "a".into(),
        slots: 4,
        draining,
        remaining: None,
        cold_left: Duration::ZERO,
        software: None,
        started_ms,
        number: None,
        inventory: Inventory::default(),
    }
}

#[test]
fn server_that_started_on_a_clock_that_was_set_back_drains_in_time() {
    let now = Instant::now();
    for next in [1, 999, 1000, 1001, 90_000] {
        let mut servers = BackendTable::default();
        servers.apply_entry(now, entry(1000, false));
        for draining in [false, true, false, true] {
            servers.apply_entry(now, entry(next, draining));
            let is_used = servers.usable(now, "engines").next().is_some();
            assert_eq!(is_used, !draining, "started at {next}");
            assert!(!servers.is_changed(&entry(next, draining)));
        }
    }
}

#[test]
fn entry_that_differs_in_its_number_alone_is_no_change() {
    let now = Instant::now();
    let mut servers = BackendTable::default();
    servers.apply_entry(now, entry(1000, false));
    let renewed = BackendEntry {
        number: Some(7),
        ..entry(1000, false)
    };
    assert!(!servers.is_changed(&renewed));
    servers.apply_entry(now, renewed);
    assert!(!servers.is_changed(&entry(1000, false)));
    assert!(servers.is_changed(&entry(1000, true)));
    assert!(servers.is_changed(&entry(1001, false)));
}
