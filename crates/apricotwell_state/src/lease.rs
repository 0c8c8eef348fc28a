//! Leases on duty shards.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use apricotwell_records::Take;
use apricotwell_types::{Fence, Incarnation, InstanceId, Offset, Shard};

use crate::RejectReason;

/// Lease on one duty shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    /// Holder.
    pub holder: InstanceId,
    /// Start number of the holder.
    pub incarnation: Incarnation,
    /// Fencing number.
    pub fence: Fence,
    /// Fencing number of the lease before; 0 when nobody had held the shard.
    pub previous: Fence,
    /// Whether the previous holder gave it up itself, so that no wait is needed.
    pub handed: bool,
}

/// Leases on all duty shards.
///
/// # Invariants
///
/// Fences of a shard only grow, and each shard has at most one holder at an offset.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaseTable {
    leases: BTreeMap<Shard, Lease>,
}

impl LeaseTable {
    /// Returns the lease of a shard that was ever held.
    pub fn get(&self, shard: Shard) -> Option<&Lease> {
        self.leases.get(&shard)
    }

    /// Returns the leases in order of shard.
    pub fn iter(&self) -> impl Iterator<Item = (Shard, &Lease)> {
        self.leases.iter().map(|(shard, lease)| (*shard, lease))
    }

    // Takes those shards whose fence still is the one that the writer decided at.
    pub(crate) fn take(
        &mut self,
        offset: Offset,
        writer: &str,
        incarnation: Incarnation,
        take: &Take,
        shards: Shard,
    ) -> Result<(), RejectReason> {
        if take.shards.len() != take.fences.len() {
            return Err(RejectReason::Unreadable);
        }
        let mut taken = false;
        for (shard, fence) in take.shards.iter().zip(&take.fences) {
            let present = self.leases.get(shard);
            if *shard >= shards || present.map_or(0, |lease| lease.fence) != *fence {
                continue;
            }
            let handed = present
                .is_none_or(|lease| &*lease.holder == writer && lease.incarnation == incarnation);
            if !handed && take.holder != writer {
                continue;
            }
            let lease = Lease {
                holder: take.holder.as_str().into(),
                incarnation: take.incarnation,
                fence: offset,
                previous: *fence,
                handed,
            };
            self.leases.insert(*shard, lease);
            taken = true;
        }
        if taken {
            Ok(())
        } else {
            Err(RejectReason::StaleFence)
        }
    }
}
