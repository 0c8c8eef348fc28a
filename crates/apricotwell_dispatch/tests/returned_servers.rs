//! Servers whose entries come back after their removal: late writes, and servers that live.

use std::time::{Duration, Instant};

use apricotwell_dispatch::prelude::*;

const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Time after which the platform removes an entry that nobody renews.
const LAPSE: Duration = Duration::from_millis(3600);
/// Time after which a server that lives is used again at the latest.
const LONGEST_HOLD: Duration = Duration::from_millis(7200);
const SERVICE: &str = "desk";

struct Fixture {
    table: BackendTable,
    now: Instant,
}

impl Fixture {
    fn new() -> Self {
        Self {
            table: BackendTable::new(HEARTBEAT),
            now: Instant::now(),
        }
    }

    // Lists the server, which has run for long.
    fn listed() -> Self {
        let mut fixture = Self::new();
        fixture.table.expect_servers(true);
        fixture.write(1, 40);
        fixture.table.expect_servers(false);
        fixture
    }

    fn write(&mut self, started_ms: u64, number: u64) {
        let entry = BackendEntry {
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
        };
        self.table.apply_entry(self.now, entry);
    }

    fn remove(&mut self, keep: Option<Duration>) {
        self.table.mark_removed(self.now, "server", keep);
    }

    // Lets time pass; the list is confirmed every 100 ms.
    fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(100);
            self.table.confirm_list(self.now);
            self.table.expire(self.now);
        }
    }

    fn is_used(&self) -> bool {
        self.table.usable(self.now, SERVICE).next().is_some()
    }
}

#[test]
fn late_write_after_a_removal_does_not_bring_the_server_back() {
    for delay in [0, 500, 2500, 5900] {
        let mut fixture = Fixture::listed();
        fixture.remove(None);
        fixture.pass(Duration::from_millis(delay));
        fixture.write(1, 41);
        fixture.pass(LAPSE);
        assert!(!fixture.is_used(), "{delay} ms after the removal");
        fixture.remove(None);
        fixture.pass(LAPSE);
        assert!(!fixture.is_used(), "{delay} ms after the removal");
    }
}

#[test]
fn several_late_writes_after_a_removal_do_not_bring_the_server_back() {
    let mut fixture = Fixture::listed();
    fixture.remove(None);
    fixture.write(1, 42);
    fixture.pass(Duration::from_secs(3));
    // The list does not show that the second one renews the entry.
    fixture.pass(LAPSE);
    assert!(!fixture.is_used());
}

#[test]
fn late_write_brings_back_no_server_that_an_instance_never_saw_listed() {
    let mut fixture = Fixture::new();
    fixture.write(1, 41);
    fixture.pass(LAPSE);
    assert!(!fixture.is_used());
    // A new server writes its first number, and one that is listed at a first look is used.
    let mut fixture = Fixture::new();
    fixture.write(1, 1);
    assert!(fixture.is_used());
    assert!(Fixture::listed().is_used());
}

#[test]
fn server_that_was_silent_and_lives_is_used_again() {
    let mut fixture = Fixture::listed();
    fixture.remove(None);
    fixture.pass(Duration::from_millis(500));
    fixture.write(1, 41);
    assert!(!fixture.is_used());
    fixture.pass(LONGEST_HOLD);
    assert!(fixture.is_used());
}

#[test]
fn server_that_writes_on_is_used_again_earlier() {
    let mut fixture = Fixture::listed();
    fixture.remove(None);
    for number in 41..44 {
        fixture.pass(HEARTBEAT);
        assert!(!fixture.is_used(), "{number}");
        fixture.write(1, number);
    }
    assert!(fixture.is_used());
}

#[test]
fn server_that_lapsed_in_an_outage_or_started_again_is_used_at_once() {
    let mut fixture = Fixture::listed();
    fixture.remove(Some(Duration::from_secs(2)));
    fixture.pass(Duration::from_secs(4));
    assert!(!fixture.is_used());
    fixture.write(1, 41);
    assert!(fixture.is_used());
    let mut fixture = Fixture::listed();
    fixture.remove(None);
    fixture.write(2, 1);
    assert!(fixture.is_used());
}

#[test]
fn server_whose_listed_entry_is_written_again_is_used_at_once() {
    let mut fixture = Fixture::listed();
    fixture.remove(None);
    fixture.pass(Duration::from_millis(500));
    // A write is executed once, so this is no late one.
    fixture.write(1, 40);
    assert!(fixture.is_used());
}

#[test]
fn entry_outlasts_no_lapse_while_the_store_is_away() {
    let mut fixture = Fixture::listed();
    fixture.remove(None);
    fixture.write(1, 41);
    // No view is confirmed in an outage, after which an entry may lapse as late as after a write.
    fixture.now += 3 * LAPSE;
    fixture.table.record_store_return(fixture.now);
    assert!(!fixture.is_used());
    fixture.pass(LAPSE);
    assert!(!fixture.is_used());
    fixture.pass(LAPSE);
    assert!(fixture.is_used());
}
