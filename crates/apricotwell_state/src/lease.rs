//! Leases on shards.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use apricotwell_records::AcquireLeases;
use apricotwell_types::{Fence, Incarnation, InstanceId, Offset, Shard};

use crate::RejectReason;

/// Lease on one shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    /// Instance that holds the lease.
    pub holder: InstanceId,
    /// Incarnation of the holder's process.
    pub incarnation: Incarnation,
    /// Fencing token of the lease.
    pub fence: Fence,
    /// Fencing token of the previous lease; 0 if the shard never had a holder.
    pub previous: Fence,
    /// Whether the previous holder handed over the shard itself, or there was none. The lease is
    /// then effective at once.
    pub handed: bool,
}

/// Leases on all shards.
///
/// # Invariants
///
/// The fences of a shard only increase, and at each offset a shard has at most one holder.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaseTable {
    leases: BTreeMap<Shard, Lease>,
}

impl LeaseTable {
    /// Returns the latest lease of a shard; `None` if the shard never had a holder.
    pub fn get(&self, shard: Shard) -> Option<&Lease> {
        self.leases.get(&shard)
    }

    /// Returns the leases, ordered by shard.
    pub fn iter(&self) -> impl Iterator<Item = (Shard, &Lease)> {
        self.leases.iter().map(|(shard, lease)| (*shard, lease))
    }

    // Grants the leases on those shards whose current fence is the one in the record. Only the
    // holder itself may grant a lease to another instance.
    pub(crate) fn take(
        &mut self,
        offset: Offset,
        writer: &str,
        incarnation: Incarnation,
        take: &AcquireLeases,
        shards: Shard,
    ) -> Result<(), RejectReason> {
        if take.shards.len() != take.fences.len() {
            return Err(RejectReason::Unreadable);
        }
        let mut any_granted = false;
        for (shard, fence) in take.shards.iter().zip(&take.fences) {
            let current = self.leases.get(shard);
            if *shard >= shards || current.map_or(0, |lease| lease.fence) != *fence {
                continue;
            }
            let handed = current
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
            any_granted = true;
        }
        if any_granted {
            Ok(())
        } else {
            Err(RejectReason::StaleFence)
        }
    }
}
