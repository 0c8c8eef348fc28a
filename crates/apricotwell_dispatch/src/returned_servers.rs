//! Servers whose entries come back after they were removed from the list.
//!
//! A write that got no answer may be executed after its server was removed. In the list it looks just like that of
//! a server that was silent until its entry lapsed, and writes again. Time tells them apart: the platform removes
//! an entry that nobody renews. So a server that comes back is held back from new requests until the list shows
//! that its entry has outlasted that time, or that the server writes on. Servers whose entries lapsed while the
//! store was away are expected back, and not held back.
//!
//! See `docs/incidents/late-server-writes.md`; tests are in `tests/returned_servers.rs`.

use std::time::{Duration, Instant};

use apricotwell_types::{Map, ServerId};

use crate::backends::BackendEntry;
use crate::entry_order::LATE_WRITE_TIME;

/// Heartbeat intervals without a write after which the platform removes an entry.
const LAPSE_INTERVALS: u32 = 3;
/// Time that the platform may take to remove a lapsed entry.
const LAPSE_MARGIN: Duration = Duration::from_millis(500);
/// Time within which the writes that were under way at a removal are executed. Each of them renews the entry,
/// and the list shows only the first of equal ones.
const LATE_SPREAD: Duration = Duration::from_secs(3);
/// Entries with rising numbers after which a server that came back is known to write on.
const MIN_RISES: u32 = 2;
/// Highest number of the first entry that a server writes, if one of its first writes is lost.
const MAX_FIRST_NUMBER: u64 = 2;

/// Last removal of a server.
#[derive(Clone, Copy, Debug)]
struct Removal {
    at: Instant,
    // Start time of the removed process, and the number of its last entry.
    started_ms: u64,
    number: Option<u64>,
    // Whether its entry lapsed in an outage of the store.
    is_lapse: bool,
}

impl Removal {
    // Returns whether an entry may have been written before the removal and executed after it. One whose number was
    // listed has been executed before, so it was written again.
    fn may_precede(&self, entry: &BackendEntry) -> bool {
        let is_listed = entry.number.is_some() && entry.number == self.number;
        !self.is_lapse && self.started_ms == entry.started_ms && !is_listed
    }
}

/// A server that is held back.
#[derive(Clone, Copy, Debug)]
struct Hold {
    started_ms: u64,
    // Highest number of its entries, and how many times it has risen since it came back.
    number: Option<u64>,
    rises: u32,
    // Age of the list from which on the entry has outlasted a lapse.
    due: Instant,
}

impl Hold {
    // Records an entry of the same process; returns whether the server is known to write on.
    fn record(&mut self, entry: &BackendEntry) -> bool {
        if entry.number > self.number {
            self.number = entry.number;
            self.rises += 1;
        }
        self.rises >= MIN_RISES
    }
}

/// Servers that were removed a short while ago, and those of them that are held back.
#[derive(Debug, Default)]
pub struct ReturnedServers {
    // Interval at which servers renew their entries; without it none is held back.
    heartbeat: Option<Duration>,
    removed: Map<ServerId, Removal>,
    held: Map<ServerId, Hold>,
}

impl ReturnedServers {
    /// Returns an empty set; servers renew their entries each `heartbeat`.
    pub fn new(heartbeat: Duration) -> Self {
        Self {
            heartbeat: Some(heartbeat),
            ..Self::default()
        }
    }

    /// Records that a server with this last entry was removed from the list; `is_lapse` states whether the entry
    /// lapsed in an outage of the store.
    pub fn record_removal(&mut self, now: Instant, last: &BackendEntry, is_lapse: bool) {
        self.held.remove(&last.id);
        let removal = Removal {
            at: now,
            started_ms: last.started_ms,
            number: last.number,
            is_lapse,
        };
        self.removed.insert(last.id.clone(), removal);
    }

    /// Records an entry that is not outdated; returns whether its server is held back from now on.
    ///
    /// `is_listed` states whether the server was in the list before, `is_expected` whether servers appear there
    /// that have run for some time: the list is read anew, or the store was away.
    pub fn record_entry(
        &mut self,
        now: Instant,
        entry: &BackendEntry,
        is_listed: bool,
        is_expected: bool,
    ) -> bool {
        let Some(heartbeat) = self.heartbeat else {
            return false;
        };
        let known = self.held.get_mut(&entry.id);
        if let Some(hold) = known.filter(|hold| hold.started_ms == entry.started_ms) {
            let writes_on = hold.record(entry);
            if writes_on {
                self.held.remove(&entry.id);
            }
            return !writes_on;
        }
        self.held.remove(&entry.id);
        let lapse_time = heartbeat * LAPSE_INTERVALS + LAPSE_MARGIN;
        let due = match self.removed.remove(&entry.id) {
            Some(removal) if removal.may_precede(entry) => {
                Some((now + lapse_time).max(removal.at + LATE_SPREAD + lapse_time))
            }
            Some(_) => None,
            // Its removal was not seen, but a new server's numbers begin anew.
            None => {
                let is_new = entry.number.is_none_or(|number| number <= MAX_FIRST_NUMBER);
                (!is_listed && !is_expected && !is_new).then_some(now + lapse_time)
            }
        };
        let Some(due) = due else {
            return false;
        };
        let hold = Hold {
            started_ms: entry.started_ms,
            number: entry.number,
            rises: 0,
            due,
        };
        self.held.insert(entry.id.clone(), hold);
        true
    }

    /// Returns whether a server is held back.
    pub fn is_held(&self, server: &str) -> bool {
        self.held.contains_key(server)
    }

    /// Records that the list was complete up to `at`; returns the servers that are no longer held back.
    pub fn confirm(&mut self, at: Instant) -> Vec<ServerId> {
        let due = self.held.iter().filter(|(_, hold)| at >= hold.due);
        let due: Vec<ServerId> = due.map(|(server, _)| server.clone()).collect();
        for server in &due {
            self.held.remove(server);
        }
        due
    }

    /// Records that the store has come back at `now`: no entry may have lapsed while it was away.
    pub fn record_return(&mut self, now: Instant) {
        let Some(heartbeat) = self.heartbeat else {
            return;
        };
        let due = now + heartbeat * LAPSE_INTERVALS + LAPSE_MARGIN;
        for hold in self.held.values_mut() {
            hold.due = hold.due.max(due);
        }
    }

    /// Forgets removals that no late write can follow.
    pub fn expire(&mut self, now: Instant) {
        let is_over = |at: Instant| now.saturating_duration_since(at) >= LATE_WRITE_TIME;
        self.removed.retain(|_, removal| !is_over(removal.at));
    }
}
