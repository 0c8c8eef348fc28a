//! Which leases this instance should take or hand over.

use std::collections::BTreeMap;

use apricotwell_records::Take;
use apricotwell_state::State;
use apricotwell_types::{Incarnation, InstanceId, Shard, rendezvous_owner};

/// Shards moved by one record, so that a joining member does not upset all duties at once.
const MAX_MOVES: usize = 8;

/// Member that may hold leases.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LiveMember {
    /// Instance.
    pub id: InstanceId,
    /// Start number.
    pub incarnation: Incarnation,
    /// Whether it drains: it gets no leases and hands over those that it has.
    pub draining: bool,
}

/// Lease records that this instance should append.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LeasePlan {
    /// Shards without a live holder that this instance takes.
    pub takeover: Option<Take>,
    /// Shards that this instance hands to their new owners.
    pub handovers: Vec<Take>,
}

/// Plans leases from the state and the live members.
///
/// `live` holds those members that are neither dead nor suspected for long, `me` included. A member
/// that leaves is given the time to hand over by itself, which spares the wait of a takeover.
/// `can_hand_over` tells which held shards may be
/// handed on.
pub fn plan_leases<F>(
    state: &State,
    live: &[LiveMember],
    me: &str,
    incarnation: Incarnation,
    can_hand_over: F,
) -> LeasePlan
where
    F: Fn(Shard) -> bool,
{
    let mut take = Take {
        holder: me.to_owned(),
        incarnation,
        ..Take::default()
    };
    let mut hand: BTreeMap<&str, Take> = BTreeMap::new();
    let mut moves = 0;
    for shard in 0..state.genesis().shards {
        let Some(owner) = owner_of(shard, live) else {
            continue;
        };
        let lease = state.lease(shard);
        let fence = lease.map_or(0, |lease| lease.fence);
        let held_by_me =
            lease.is_some_and(|lease| *lease.holder == *me && lease.incarnation == incarnation);
        let holder_lives = lease.is_some_and(|lease| {
            live.iter()
                .any(|member| member.id == lease.holder && member.incarnation == lease.incarnation)
        });
        if held_by_me && *owner.id != *me && moves < MAX_MOVES && can_hand_over(shard) {
            let entry = hand.entry(&*owner.id).or_insert_with(|| Take {
                holder: owner.id.to_string(),
                incarnation: owner.incarnation,
                ..Take::default()
            });
            entry.shards.push(shard);
            entry.fences.push(fence);
            moves += 1;
        } else if !held_by_me && !holder_lives && *owner.id == *me {
            take.shards.push(shard);
            take.fences.push(fence);
        }
    }
    LeasePlan {
        takeover: (!take.shards.is_empty()).then_some(take),
        handovers: hand.into_values().collect(),
    }
}

fn owner_of(shard: Shard, live: &[LiveMember]) -> Option<&LiveMember> {
    let staying = live.iter().filter(|member| !member.draining);
    let ids = staying.map(|member| &*member.id);
    let owner = rendezvous_owner(u64::from(shard), ids)?;
    live.iter().find(|member| *member.id == *owner)
}
