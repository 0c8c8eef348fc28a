//! Order in which backend servers wrote their entries in the server list.
//!
//! A write that got no answer may be executed seconds later, so the log's order is not the order in which
//! entries were written: an older one may follow a newer one, or the server's removal. Entries of one process
//! are ordered by their numbers. Start times don't order the processes of a server, as a clock may be set
//! back: a process that is not known is the latest one.
//!
//! See `docs/incidents/late-server-writes.md`; tests are in `tests/entry_order.rs`.

use std::time::{Duration, Instant};

use apricotwell_types::{Map, ServerId};

use crate::backends::BackendEntry;

/// Time in which a write without an answer may still be executed.
pub const LATE_WRITE_TIME: Duration = Duration::from_secs(60);
/// Former processes of a server that are remembered.
pub const MAX_FORMER: usize = 4;

/// A server's process, by the latest of its entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownProcess {
    /// Start time of the process, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Highest number of its known entries, `None` while no entry stated one. The list holds changes only, so the
    /// process may have written higher numbers.
    pub number: Option<u64>,
    /// Whether an entry with this number, or a later one without a number, announced that it drains.
    pub draining: bool,
}

impl KnownProcess {
    fn new(entry: &BackendEntry) -> Self {
        Self {
            started_ms: entry.started_ms,
            number: entry.number,
            draining: entry.draining,
        }
    }

    // Returns whether a newer entry of the same process is known.
    fn outdates(&self, entry: &BackendEntry) -> bool {
        let (Some(known), Some(number)) = (self.number, entry.number) else {
            return false;
        };
        // After a lapse an entry may come back with its number, but not as ready once it drains.
        number < known || (number == known && self.draining && !entry.draining)
    }

    fn update(&mut self, entry: &BackendEntry) {
        if entry.number > self.number {
            *self = Self::new(entry);
        } else {
            self.draining |= entry.draining;
        }
    }
}

/// A process that a later one replaced.
#[derive(Clone, Copy, Debug)]
struct FormerProcess {
    process: KnownProcess,
    replaced_at: Instant,
}

impl FormerProcess {
    fn is_remembered(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.replaced_at) < LATE_WRITE_TIME
    }
}

/// What is known of a server's processes.
///
/// # Invariants
///
/// `former` holds at most [`MAX_FORMER`] processes, oldest first, and never `latest`.
#[derive(Debug)]
struct Processes {
    latest: KnownProcess,
    // Whether the latest process was seen to write a second entry.
    is_confirmed: bool,
    former: Vec<FormerProcess>,
    // When the server was removed from the list, `None` while it is listed.
    removed_at: Option<Instant>,
}

impl Processes {
    fn new(entry: &BackendEntry) -> Self {
        Self {
            latest: KnownProcess::new(entry),
            is_confirmed: false,
            former: Vec::new(),
            removed_at: None,
        }
    }

    fn outdates(&self, now: Instant, entry: &BackendEntry) -> bool {
        if entry.started_ms == self.latest.started_ms {
            return self.latest.outdates(entry);
        }
        // Instances of earlier builds state no numbers, and may tell of a late write first.
        if entry.number.is_none() {
            return false;
        }
        let former = self.former.iter().find(|former| {
            former.process.started_ms == entry.started_ms && former.is_remembered(now)
        });
        former.is_some_and(|former| !self.is_successor(former, entry))
    }

    // Returns whether a former process is the latest one after all: a late write of the process before it,
    // which was not known, seemed to replace it.
    fn is_successor(&self, former: &FormerProcess, entry: &BackendEntry) -> bool {
        !self.is_confirmed
            && entry.started_ms > self.latest.started_ms
            && entry.number > former.process.number
    }

    fn record(&mut self, now: Instant, entry: &BackendEntry) {
        self.removed_at = None;
        if entry.started_ms == self.latest.started_ms {
            self.is_confirmed |= entry.number > self.latest.number;
            self.latest.update(entry);
            return;
        }
        self.is_confirmed = false;
        self.former
            .retain(|former| former.process.started_ms != entry.started_ms);
        if self.former.len() == MAX_FORMER {
            self.former.remove(0);
        }
        // INVARIANT: there is room, and the new process was taken out.
        self.former.push(FormerProcess {
            process: self.latest,
            replaced_at: now,
        });
        self.latest = KnownProcess::new(entry);
    }

    // Returns whether anything is left to remember.
    fn expire(&mut self, now: Instant) -> bool {
        self.former.retain(|former| former.is_remembered(now));
        let is_over = |at: Instant| now.saturating_duration_since(at) >= LATE_WRITE_TIME;
        !self.removed_at.is_some_and(is_over)
    }
}

/// Latest known entries of all servers, also of those that were removed a short while ago.
///
/// # Invariants
///
/// A removed server is forgotten [`LATE_WRITE_TIME`] after its removal, so that there are no more servers
/// than the list had within that time.
#[derive(Debug, Default)]
pub struct EntryOrder {
    servers: Map<ServerId, Processes>,
}

impl EntryOrder {
    /// Returns the server's latest process if an entry was written before what is known of it; such an entry
    /// must change nothing.
    pub fn outdated_by(&self, now: Instant, entry: &BackendEntry) -> Option<KnownProcess> {
        let processes = self.servers.get(&entry.id)?;
        processes.outdates(now, entry).then_some(processes.latest)
    }

    /// Records an entry that is not outdated.
    pub fn record(&mut self, now: Instant, entry: &BackendEntry) {
        match self.servers.get_mut(&entry.id) {
            Some(processes) => processes.record(now, entry),
            None => {
                let processes = Processes::new(entry);
                self.servers.insert(entry.id.clone(), processes);
            }
        }
    }

    /// Records that a server was removed from the list.
    pub fn record_removal(&mut self, now: Instant, server: &str) {
        if let Some(processes) = self.servers.get_mut(server) {
            processes.removed_at.get_or_insert(now);
        }
    }

    /// Forgets what no late write can be about.
    pub fn expire(&mut self, now: Instant) {
        self.servers.retain(|_, processes| processes.expire(now));
    }

    /// Returns the number of servers that are known.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}
