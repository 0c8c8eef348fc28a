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

    // Grants the leases on those shards whose current fence is the one in the record. If a shard has
    // a holder, only that holder may grant the lease to another instance than itself; every other
    // writer can only take the lease for itself.
    pub(crate) fn acquire(
        &mut self,
        offset: Offset,
        writer: &str,
        incarnation: Incarnation,
        acquire: &AcquireLeases,
        shards: Shard,
    ) -> Result<(), RejectReason> {
        if acquire.shards.len() != acquire.fences.len() {
            return Err(RejectReason::Unreadable);
        }
        let mut any_granted = false;
        for (shard, fence) in acquire.shards.iter().zip(&acquire.fences) {
            let current = self.leases.get(shard);
            if *shard >= shards || current.map_or(0, |lease| lease.fence) != *fence {
                continue;
            }
            let handed = current
                .is_none_or(|lease| &*lease.holder == writer && lease.incarnation == incarnation);
            if !handed && acquire.holder != writer {
                continue;
            }
            let lease = Lease {
                holder: acquire.holder.as_str().into(),
                incarnation: acquire.incarnation,
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
