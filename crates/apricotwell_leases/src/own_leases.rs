//! Which shards this instance may act on.

use std::time::{Duration, Instant};

use apricotwell_state::State;
use apricotwell_types::{Fence, Incarnation, InstanceId, Map, Shard};

use crate::Freshness;

/// Margin for clock drift, as a divisor of the window. A holder stops that much earlier, and a new
/// holder waits that much longer.
const DRIFT_DIVISOR: u32 = 20;

/// State of this instance's lease on a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// Another instance holds the lease, or this instance's view of the log has expired.
    NotHeld,
    /// The lease is recorded, but the previous holder may still act on the shard.
    Waiting,
    /// This instance may act until `until`.
    Held {
        /// Fencing token of the lease.
        fence: Fence,
        /// When the right to act expires unless the view is confirmed again.
        until: Instant,
        /// When the lease became effective.
        since: Instant,
    },
}

/// Leases of this instance, and since when each of them has been effective.
///
/// # Invariants
///
/// A lease that its previous holder did not hand over becomes effective only a full window after a
/// majority of the members has applied it. Until then the previous holder may still act, relying on
/// evidence from members that the log is down.
#[derive(Debug)]
pub struct OwnLeases {
    own_id: InstanceId,
    incarnation: Incarnation,
    leases: Map<Shard, OwnLease>,
}

#[derive(Clone, Copy, Debug)]
struct OwnLease {
    fence: Fence,
    // When a majority of the members was first seen to have applied the lease.
    majority_at: Option<Instant>,
    // When the lease became effective.
    since: Option<Instant>,
    // Whether this instance stopped acting because a handover may be recorded at any time.
    released: bool,
}

impl OwnLeases {
    /// Returns the leases of an instance that holds none yet.
    pub fn new(own_id: InstanceId, incarnation: Incarnation) -> Self {
        Self {
            own_id,
            incarnation,
            leases: Map::default(),
        }
    }

    /// Updates the leases from the state and the freshness of the view.
    pub fn refresh(
        &mut self,
        now: Instant,
        state: &State,
        freshness: &Freshness,
        members: &[InstanceId],
    ) {
        let mut own = Map::default();
        for (shard, lease) in state.leases().iter() {
            if *lease.holder != *self.own_id || lease.incarnation != self.incarnation {
                continue;
            }
            let existing = self.leases.get(&shard).copied();
            let mut entry = existing
                .filter(|entry| entry.fence == lease.fence)
                .unwrap_or(OwnLease {
                    fence: lease.fence,
                    majority_at: None,
                    since: lease.handed.then_some(now),
                    released: false,
                });
            if entry.since.is_none() {
                update_effective(&mut entry, now, freshness, members, &self.own_id);
            }
            own.insert(shard, entry);
        }
        self.leases = own;
    }

    /// Returns the state of this instance's lease on `shard`.
    ///
    /// It can change at any time, so check it immediately before each side effect. `until` is the
    /// result of [`Freshness::leases_until`].
    pub fn check(
        &self,
        now: Instant,
        shard: Shard,
        until: Option<Instant>,
        window: Duration,
    ) -> LeaseState {
        let Some(entry) = self.leases.get(&shard) else {
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

    /// Returns the shards of this instance's recorded leases, including those not effective yet.
    pub fn shards(&self) -> Vec<Shard> {
        let mut shards: Vec<Shard> = self.leases.keys().copied().collect();
        shards.sort_unstable();
        shards
    }

    /// Stops acting on a shard. Call it before the handover is sent to the log.
    pub fn release(&mut self, shard: Shard) {
        if let Some(entry) = self.leases.get_mut(&shard) {
            entry.released = true;
        }
    }

    /// Undoes [`OwnLeases::release`] for all shards.
    ///
    /// Call it only if the log has definitely rejected their handovers.
    pub fn restore(&mut self) {
        for entry in self.leases.values_mut() {
            entry.released = false;
        }
    }
}

fn update_effective(
    entry: &mut OwnLease,
    now: Instant,
    freshness: &Freshness,
    members: &[InstanceId],
    own_id: &str,
) {
    let window = freshness.window();
    match entry.majority_at {
        None => {
            if freshness.majority_applied(now, members, own_id, entry.fence) {
                entry.majority_at = Some(now);
            }
        }
        Some(majority_at) if now >= majority_at + window + window / DRIFT_DIVISOR => {
            entry.since = Some(now)
        }
        Some(_) => {}
    }
}
