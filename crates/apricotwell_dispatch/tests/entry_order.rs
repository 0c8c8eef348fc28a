//! Entries that are executed late change nothing, and all others are applied.

use std::time::{Duration, Instant};

use apricotwell_dispatch::backends::{BackendEntry, BackendTable};
use apricotwell_dispatch::entry_order::{EntryOrder, LATE_WRITE_TIME, MAX_FORMER};
use apricotwell_dispatch::model::Inventory;

/// Servers of a large deployment.
const SERVERS: usize = 5100;
const STEP: Duration = Duration::from_millis(100);

fn entry(started_ms: u64, number: Option<u64>, draining: bool) -> BackendEntry {
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
        number,
        inventory: Inventory::default(),
    }
}

fn ready(started_ms: u64, number: u64) -> BackendEntry {
    entry(started_ms, Some(number), false)
}

fn draining(started_ms: u64, number: u64) -> BackendEntry {
    entry(started_ms, Some(number), true)
}

/// List that is followed in steps of time.
struct List {
    now: Instant,
    table: BackendTable,
}

impl List {
    fn new() -> Self {
        Self {
            now: Instant::now(),
            table: BackendTable::default(),
        }
    }

    fn follow(entries: &[BackendEntry]) -> Self {
        let mut list = Self::new();
        for entry in entries {
            list.apply(entry.clone());
        }
        list
    }

    fn apply(&mut self, entry: BackendEntry) {
        self.advance(STEP);
        self.table.apply_entry(self.now, entry);
    }

    fn remove(&mut self, keep: Option<Duration>) {
        self.advance(STEP);
        self.table.mark_removed(self.now, "server", keep);
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        self.table.expire(self.now);
    }

    fn is_used(&self) -> bool {
        self.table.usable(self.now, "engines").next().is_some()
    }

    fn number(&self) -> Option<u64> {
        self.table.get("server").and_then(|it| it.entry.number)
    }
}

#[test]
fn late_write_makes_a_draining_server_ready_again() {
    for late in [ready(1, 1), ready(1, 9), ready(1, 10)] {
        let mut list = List::follow(&[ready(1, 8), draining(1, 10), late]);
        assert!(!list.is_used());
        assert_eq!(list.number(), Some(10));
        list.apply(ready(1, 11));
        assert!(list.is_used());
    }
}

#[test]
fn late_write_brings_back_a_server_that_was_removed() {
    for last in [ready(1, 10), draining(1, 10)] {
        for pause in [STEP, LATE_WRITE_TIME / 2, LATE_WRITE_TIME - STEP * 2] {
            let mut list = List::follow(std::slice::from_ref(&last));
            list.remove(None);
            list.advance(pause);
            list.apply(ready(1, 9));
            assert!(!list.is_used(), "{pause:?} after the removal");
        }
    }
}

#[test]
fn late_writes_keep_a_server_out_of_use_for_good() {
    let mut list = List::follow(&[draining(1, 10)]);
    list.remove(None);
    let removed = list.now;
    while list.now < removed + LATE_WRITE_TIME {
        assert!(!list.is_used());
        list.apply(ready(1, 9));
    }
    assert!(list.is_used());
}

#[test]
fn late_write_prolongs_the_use_of_a_server_that_lapsed() {
    let mut list = List::follow(&[ready(1, 10)]);
    list.remove(Some(STEP * 3));
    list.apply(ready(1, 9));
    assert!(list.is_used());
    list.advance(STEP * 3);
    assert!(!list.is_used());
}

#[test]
fn late_write_replaces_the_models_of_a_server() {
    let held = BackendEntry {
        inventory: Inventory {
            models: vec![("m1".into(), Vec::new())],
            ..Inventory::default()
        },
        ..ready(1, 10)
    };
    let list = List::follow(&[held, ready(1, 9)]);
    let server = list.table.get("server").unwrap();
    assert_eq!(server.inventory.models.len(), 1);
    assert_eq!(server.entry.inventory.models.len(), 1);
}

#[test]
fn late_write_of_a_replaced_process_makes_its_successor_ready_again() {
    let [one, two, three] = [1, 5, 3];
    let mut list = List::follow(&[ready(one, 8), ready(two, 1), ready(three, 1)]);
    list.apply(draining(three, 2));
    // Their numbers may be higher than the known ones, as the log lacks entries that changed nothing else.
    for late in [ready(one, 7), ready(one, 9), ready(two, 1)] {
        list.apply(late);
        assert!(!list.is_used());
        assert_eq!(list.table.get("server").unwrap().entry.started_ms, three);
    }
}

#[test]
fn late_write_of_a_process_that_was_unknown_replaces_its_successor_for_good() {
    let mut list = List::follow(&[ready(5, 3), draining(1, 90)]);
    // Nothing tells it from a restart on a clock that was set back.
    assert!(!list.is_used());
    list.apply(ready(5, 4));
    assert!(list.is_used());
    list.apply(draining(1, 91));
    assert!(list.is_used());
}

#[test]
fn entry_that_lapsed_comes_back() {
    for keep in [None, Some(STEP * 3)] {
        for number in [10, 11, 500] {
            let mut list = List::follow(&[ready(1, 10)]);
            list.remove(keep);
            list.advance(STEP * 5);
            assert!(!list.is_used());
            list.apply(ready(1, number));
            assert!(list.is_used(), "number {number}");
        }
    }
}

#[test]
fn drain_of_a_lapsed_entry_is_kept_when_its_number_comes_back() {
    let mut list = List::follow(&[draining(1, 10)]);
    list.remove(Some(STEP * 3));
    list.apply(ready(1, 10));
    assert!(!list.is_used());
    list.apply(draining(1, 10));
    assert!(!list.is_used());
}

#[test]
fn successor_that_its_former_process_removed_late_comes_back() {
    let mut list = List::follow(&[ready(1, 8), ready(5, 1)]);
    list.remove(None);
    list.apply(ready(1, 9));
    assert!(!list.is_used());
    list.apply(ready(5, 2));
    assert!(list.is_used());
}

#[test]
fn entries_without_a_number_order_nothing() {
    let unknown = |draining| entry(1, None, draining);
    let mut list = List::follow(&[ready(1, 0), unknown(true)]);
    assert!(!list.is_used());
    list.apply(unknown(false));
    assert!(list.is_used());
    // The number of that drain is unknown, so an equal one doesn't prove to be later.
    list.apply(draining(1, 0));
    list.apply(ready(1, 0));
    assert!(!list.is_used());
    list.apply(ready(1, 1));
    assert!(list.is_used());
    list.apply(unknown(true));
    list.apply(ready(1, 0));
    assert!(!list.is_used());
}

#[test]
fn first_number_of_a_process_is_zero_and_counts() {
    let list = List::follow(&[draining(1, 1), ready(1, 0)]);
    assert!(!list.is_used());
    let list = List::follow(&[draining(1, 0), ready(1, 1)]);
    assert!(list.is_used());
}

#[test]
fn former_processes_are_bounded_in_number_and_time() {
    let now = Instant::now();
    let mut order = EntryOrder::default();
    let processes = MAX_FORMER as u64 + 2;
    for started_ms in 1..=processes {
        order.record(now, &ready(started_ms, 1));
    }
    assert!(order.outdated_by(now, &ready(1, 1)).is_none());
    for started_ms in 2..processes {
        assert!(order.outdated_by(now, &ready(started_ms, 1)).is_some());
    }
    let later = now + LATE_WRITE_TIME;
    order.expire(later);
    for started_ms in 2..processes {
        assert!(order.outdated_by(later, &ready(started_ms, 1)).is_none());
    }
}

#[test]
fn memory_of_removed_servers_is_bounded() {
    let mut now = Instant::now();
    let mut order = EntryOrder::default();
    let named = |number: usize| BackendEntry {
        id: format!("server-{number}").into(),
        ..ready(1, 1)
    };
    for number in 0..SERVERS {
        order.record(now, &named(number));
    }
    // Each second one server is replaced by another one.
    for second in 0..600 {
        now += Duration::from_secs(1);
        order.record_removal(now, &named(second).id);
        order.record(now, &named(SERVERS + second));
        order.expire(now);
    }
    assert!(order.len() <= SERVERS + LATE_WRITE_TIME.as_secs() as usize);
    assert!(order.len() >= SERVERS);
}

#[test]
fn late_write_replaces_a_confirmed_successor_that_started_on_a_clock_that_was_set_back() {
    let mut list = List::follow(&[ready(100, 2), ready(50, 1), ready(50, 2), ready(100, 57)]);
    list.apply(draining(50, 3));
    assert!(!list.is_used());
    let mut list = List::follow(&[ready(100, 2), ready(50, 1), ready(50, 2)]);
    list.apply(draining(100, 57));
    assert!(list.is_used());
}

#[test]
fn entry_without_a_number_shuts_out_a_process_that_a_late_write_seemed_to_replace() {
    let told = |started_ms, draining| entry(started_ms, None, draining);
    let mut list = List::follow(&[told(200, false), told(100, true)]);
    list.apply(told(200, false));
    assert!(list.is_used());
}
