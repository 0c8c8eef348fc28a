//! Whether this instance may act on a duty shard right now.

use std::time::{Duration, Instant};

use apricotwell_state::State;
use apricotwell_types::{Fence, Incarnation, InstanceId, Map, Shard};

use crate::Freshness;

/// Share of the window that a holder gives up early, against clocks that run apart.
const DRIFT_DIVISOR: u32 = 20;

/// Whether this instance may act on a duty shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// Another instance holds the shard, or the view has lapsed.
    NotHeld,
    /// The lease is recorded, but its previous holder may still act.
    Waiting,
    /// This instance may act until `until`.
    Held {
        /// Fencing number of the lease.
        fence: Fence,
        /// When this stops being known.
        until: Instant,
        /// When the wait for the previous holder was over.
        since: Instant,
    },
}

/// Tracks since when each lease of this instance has been effective.
///
/// # Invariants
///
/// A lease that its previous holder did not hand over is effective only a full window after most
/// members had applied it: until then the previous holder may act on members' statements that the
/// log is down.
#[derive(Debug)]
pub struct OwnLeases {
    me: InstanceId,
    incarnation: Incarnation,
    effective: Map<Shard, Effective>,
}

#[derive(Clone, Copy, Debug)]
struct Effective {
    fence: Fence,
    // When most members were seen to have applied the lease.
    seen: Option<Instant>,
    // When the lease became effective.
    since: Option<Instant>,
    // Whether a handover has been sent to the log, so that it may be recorded at any time.
    released: bool,
}

impl OwnLeases {
    /// Returns the standings of an instance that holds nothing yet.
    pub fn new(me: InstanceId, incarnation: Incarnation) -> Self {
        Self {
            me,
            incarnation,
            effective: Map::default(),
        }
    }

    /// Brings the standings up to date with the state and the freshness.
    pub fn refresh(
        &mut self,
        now: Instant,
        state: &State,
        freshness: &Freshness,
        members: &[InstanceId],
    ) {
        let mut held = Map::default();
        for (shard, lease) in state.leases().iter() {
            if *lease.holder != *self.me || lease.incarnation != self.incarnation {
                continue;
            }
            let known = self.effective.get(&shard).copied();
            let mut entry = known
                .filter(|entry| entry.fence == lease.fence)
                .unwrap_or(Effective {
                    fence: lease.fence,
                    seen: None,
                    since: lease.handed.then_some(now),
                    released: false,
                });
            if entry.since.is_none() {
                advance(&mut entry, now, freshness, members, &self.me);
            }
            held.insert(shard, entry);
        }
        self.effective = held;
    }

    /// Returns whether this instance may act on `shard`; ask again immediately before each effect.
    ///
    /// `until` comes from [`Freshness::leases_until`].
    pub fn check(
        &self,
        now: Instant,
        shard: Shard,
        until: Option<Instant>,
        window: Duration,
    ) -> LeaseState {
        let Some(entry) = self.effective.get(&shard) else {
            return LeaseState::NotHeld;
        };
        if entry.released {
            return LeaseState::NotHeld;
        }
        let Some(since) = entry.since else {
            return LeaseState::Waiting;
        };
        let Some(until) = until else {
            return LeaseState::NotHeld;
        };
        let until = until - window / DRIFT_DIVISOR;
        if now >= until {
            return LeaseState::NotHeld;
        }
        LeaseState::Held {
            fence: entry.fence,
            until,
            since,
        }
    }

    /// Returns the shards of this instance's recorded leases, effective or not.
    pub fn shards(&self) -> Vec<Shard> {
        let mut shards: Vec<Shard> = self.effective.keys().copied().collect();
        shards.sort_unstable();
        shards
    }

    /// Gives up a shard at once, before its handover is sent to the log.
    pub fn release(&mut self, shard: Shard) {
        if let Some(entry) = self.effective.get_mut(&shard) {
            entry.released = true;
        }
    }

    /// Takes released shards back, once the log has definitely not taken their handovers.
    pub fn restore(&mut self) {
        for entry in self.effective.values_mut() {
            entry.released = false;
        }
    }
}

fn advance(
    entry: &mut Effective,
    now: Instant,
    freshness: &Freshness,
    members: &[InstanceId],
    me: &str,
) {
    let window = freshness.window();
    match entry.seen {
        None => {
            if freshness.majority_applied(now, members, me, entry.fence) {
                entry.seen = Some(now);
            }
        }
        Some(seen) if now >= seen + window + window / DRIFT_DIVISOR => entry.since = Some(now),
        Some(_) => {}
    }
}
