//! Outages of the store, and the servers whose entries lapse in them.
//!
//! While the store is away, servers can't renew their entries, and some lapse. A server removed after an
//! outage is still used for a while, as its entry may come back. An instance that alone lost its connection
//! must not take a removal for such a lapse: only a time in which no view was confirmed, its own or one of
//! the instances that it queries, counts as an outage. Nor does a time in which this process stood still.

use std::time::{Duration, Instant};

use apricotwell_types::{Offset, ServerId, Set};

use crate::standstills::Standstills;

/// Time without any confirmed view from which on the store counts as having been away. A single read that
/// times out, between two reads by the zone's reader, takes less.
const MIN_OUTAGE: Duration = Duration::from_millis(1500);
/// Time after the return of the store during which servers removed from the list are still used. By its
/// end, the entries of running servers are back in the list.
const REJOIN_TIME: Duration = Duration::from_millis(2200);

/// What an instance knows about outages of the store.
#[derive(Debug, Default)]
pub struct StoreOutages {
    // Latest time at which the store is known to have answered, whoever asked it.
    last_seen: Option<Instant>,
    last_return: Option<StoreReturn>,
}

/// Return of the store after an outage.
#[derive(Debug)]
struct StoreReturn {
    at: Instant,
    // Offset up to which the server list was first known afterwards.
    known: Option<Offset>,
    // Servers with an entry after that offset: they have rejoined, so their next removal is none by lapse.
    rejoined: Set<ServerId>,
}

impl StoreOutages {
    /// Records that the store answered this or another instance at `at`.
    pub fn record_seen(&mut self, now: Instant, at: Instant, standstills: &Standstills) {
        let is_return = self.last_seen.is_some_and(|last| {
            let unseen = at.saturating_duration_since(last);
            unseen.saturating_sub(standstills.time_within(now, last, at)) >= MIN_OUTAGE
        });
        if is_return {
            self.last_return = Some(StoreReturn {
                at,
                known: None,
                rejoined: Set::default(),
            });
        }
        self.last_seen = self.last_seen.max(Some(at));
    }

    /// Records that the server list is known up to `next`.
    pub fn record_known(&mut self, next: Offset) {
        if let Some(last_return) = &mut self.last_return {
            last_return.known.get_or_insert(next);
        }
    }

    /// Records an entry of a server at an offset of the list.
    pub fn record_entry(&mut self, now: Instant, offset: Offset, server: &ServerId) {
        let Some(last_return) = &mut self.last_return else {
            return;
        };
        if now.saturating_duration_since(last_return.at) >= REJOIN_TIME {
            self.last_return = None;
        } else if last_return.known.is_some_and(|known| offset > known) {
            last_return.rejoined.insert(server.clone());
        }
    }

    /// Returns when the store last came back, while servers' entries may still come back with it.
    pub fn returned_at(&self, now: Instant) -> Option<Instant> {
        let last_return = self.last_return.as_ref()?;
        (now < last_return.at + REJOIN_TIME).then_some(last_return.at)
    }

    /// Returns how long a server that is removed now is still used; `None` if it has not lapsed in an
    /// outage.
    pub fn removal_grace(&self, now: Instant, server: &str) -> Option<Duration> {
        let last_return = self.last_return.as_ref()?;
        if last_return.rejoined.contains(server) {
            return None;
        }
        let end = last_return.at + REJOIN_TIME;
        (now < end).then(|| end.saturating_duration_since(now))
    }
}
