//! Servers that say in their answers that they leave.

use std::time::{Duration, Instant};

use apricotwell_dispatch::prelude::*;

const SERVICE: &str = "desk";
const REPORT_TIME: Duration = Duration::from_secs(1);

fn entry(started_ms: u64, number: u64) -> BackendEntry {
    BackendEntry {
        id: "server".into(),
        service: SERVICE.into(),
        address: "10.1.0.1:80".parse().unwrap(),
        zone: "a".into(),
        slots: 8,
        draining: false,
        remaining: None,
        started_ms,
        number: Some(number),
        cold_left: Duration::ZERO,
        software: None,
        inventory: Inventory::default(),
    }
}

fn is_used(table: &BackendTable, now: Instant) -> bool {
    table.usable(now, SERVICE).next().is_some()
}

#[test]
fn server_that_leaves_is_not_used_whatever_its_entries_say() {
    let now = Instant::now();
    let mut table = BackendTable::default();
    table.apply_entry(now, entry(1, 1));
    assert!(table.record_leaving(now, "server", 1, false));
    assert!(!table.record_leaving(now, "server", 1, false));
    assert!(!is_used(&table, now));
    table.apply_entry(now, entry(1, 2));
    assert!(!is_used(&table, now));
    // Its entry lapses and comes back.
    table.mark_removed(now, "server", None);
    table.expire(now);
    table.apply_entry(now, entry(1, 3));
    assert!(!is_used(&table, now));
    table.apply_entry(now, entry(2, 1));
    assert!(is_used(&table, now));
}

#[test]
fn late_answer_of_a_former_process_does_not_end_the_use_of_its_successor() {
    let now = Instant::now();
    let mut table = BackendTable::default();
    table.apply_entry(now, entry(1, 1));
    table.apply_entry(now, entry(2, 1));
    assert!(!table.record_leaving(now, "server", 1, false));
    assert!(is_used(&table, now));
    // Nor does another instance that has not seen the successor.
    assert!(!table.record_leaving(now, "server", 1, true));
    assert!(is_used(&table, now));
}

#[test]
fn servers_that_said_it_here_are_told_to_others_for_a_while() {
    let now = Instant::now();
    let mut table = BackendTable::default();
    table.apply_entry(now, entry(7, 1));
    table.record_leaving(now, "server", 7, false);
    let told = table.recently_leaving(now, REPORT_TIME);
    let told: Vec<_> = told.iter().map(|it| (&*it.server, it.started_ms)).collect();
    assert_eq!(told, [("server", 7)]);
    assert!(
        table
            .recently_leaving(now + REPORT_TIME, REPORT_TIME)
            .is_empty()
    );
    let mut other = BackendTable::default();
    other.apply_entry(now, entry(7, 1));
    assert!(other.record_leaving(now, "server", 7, true));
    assert!(!is_used(&other, now));
    assert!(other.recently_leaving(now, REPORT_TIME).is_empty());
}
