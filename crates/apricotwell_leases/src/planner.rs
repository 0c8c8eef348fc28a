//! Plans which leases this instance should take or hand over.

use std::collections::BTreeMap;

use apricotwell_records::AcquireLeases;
use apricotwell_state::State;
use apricotwell_types::{Incarnation, InstanceId, Shard, rendezvous_owner};

/// Shards handed over by one plan, so that a joining member does not disrupt all shards at once.
const MAX_HANDOVERS: usize = 8;

/// Member of the fleet that is able to hold leases.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LiveMember {
    /// Id of the instance.
    pub id: InstanceId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Whether it is draining: it gets no new leases and hands over those that it has.
    pub draining: bool,
}

/// Lease records that this instance should append.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LeasePlan {
    /// Shards without a live holder that this instance takes over.
    pub takeover: Option<AcquireLeases>,
    /// Shards that this instance hands over, one record for each new owner.
    pub handovers: Vec<AcquireLeases>,
}

/// Plans the lease records that this instance should append.
///
/// `live` are the members that are neither dead nor cut off from the log for long, including this
/// instance, `own_id`. Draining members are included too: they hand over their leases themselves,
/// which avoids the wait of a takeover.
/// `can_hand_over` returns whether a shard that this instance holds may be handed over now.
pub fn plan_leases<F>(
    state: &State,
    live: &[LiveMember],
    own_id: &str,
    incarnation: Incarnation,
    can_hand_over: F,
) -> LeasePlan
where
    F: Fn(Shard) -> bool,
{
    let mut takeover = AcquireLeases {
        holder: own_id.to_owned(),
        incarnation,
        ..AcquireLeases::default()
    };
    let mut handovers: BTreeMap<&str, AcquireLeases> = BTreeMap::new();
    let mut handed_over = 0;
    for shard in 0..state.genesis().shards {
        let Some(owner) = owner_of(shard, live) else {
            continue;
        };
        let lease = state.lease(shard);
        let fence = lease.map_or(0, |lease| lease.fence);
        let is_holder =
            lease.is_some_and(|lease| *lease.holder == *own_id && lease.incarnation == incarnation);
        let has_live_holder = lease.is_some_and(|lease| {
            live.iter()
                .any(|member| member.id == lease.holder && member.incarnation == lease.incarnation)
        });
        if is_holder && *owner.id != *own_id && handed_over < MAX_HANDOVERS && can_hand_over(shard)
        {
            let entry = handovers
                .entry(&*owner.id)
                .or_insert_with(|| AcquireLeases {
                    holder: owner.id.to_string(),
                    incarnation: owner.incarnation,
                    ..AcquireLeases::default()
                });
            entry.shards.push(shard);
            entry.fences.push(fence);
            handed_over += 1;
        } else if !is_holder && !has_live_holder && *owner.id == *own_id {
            takeover.shards.push(shard);
            takeover.fences.push(fence);
        }
    }
    LeasePlan {
        takeover: (!takeover.shards.is_empty()).then_some(takeover),
        handovers: handovers.into_values().collect(),
    }
}

fn owner_of(shard: Shard, live: &[LiveMember]) -> Option<&LiveMember> {
    let candidates = live.iter().filter(|member| !member.draining);
    let ids = candidates.map(|member| &*member.id);
    let owner = rendezvous_owner(u64::from(shard), ids)?;
    live.iter().find(|member| *member.id == *owner)
}
