//! Claims of the placement lease in the store's log, and their fencing tokens.
//!
//! Offsets are given out again after the store has come back from an older copy, so a token is the
//! era of the store and then the offset. Builds that know no eras take the offset alone; while one of them
//! may claim the lease after this instance, tokens stay comparable with theirs.

use apricotwell_types::{Fence, Offset, StoreEra};

use crate::lease::{ClaimStatus, Standing};

/// Bits of a fencing token that hold the offset.
const OFFSET_BITS: u32 = 32;
/// Bits of a fencing token that hold the era: together 53, which a number in JSON holds exactly.
const ERA_BITS: u32 = 21;

/// Record of a claim of the placement lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRecord {
    /// Member of the group that claimed the lease.
    pub holder: String,
    /// Era of the log that the claim was decided on; `None` if the store or the build knows none.
    pub era: Option<StoreEra>,
    /// Fencing token of the claim; `None` if the build does not name it.
    pub fence: Option<Fence>,
    /// Whether the holder waits before its first order.
    pub waits: bool,
}

/// Last claim of the placement lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LastClaim {
    /// End of the log: the offset of the next record.
    pub end: Offset,
    /// Last record; `None` if it has been deleted.
    pub claim: Option<ClaimRecord>,
    /// Era of the log that was read.
    pub era: Option<StoreEra>,
}

/// Answer of the store to an appended claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimReceipt {
    /// Offset of the claim.
    pub offset: Offset,
    /// Era of the log that it was appended to.
    pub era: Option<StoreEra>,
}

/// What an instance knows besides the log when it claims the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimContext {
    /// Whether the era has changed since this process started.
    pub has_reverted: bool,
    /// Whether all other instances are known to know eras.
    pub others_know_eras: bool,
    /// Whether the fleet starts for the first time.
    pub first_start: bool,
}

impl LastClaim {
    /// Returns what the last claim means to `member`; `is_member` states whether another holder is in the group.
    pub fn standing<F>(&self, member: &str, context: ClaimContext, is_member: F) -> Standing
    where
        F: FnOnce(&str) -> bool,
    {
        let status = match &self.claim {
            Some(claim) if claim.holder == member => ClaimStatus::Own,
            Some(claim) if is_member(&claim.holder) => ClaimStatus::Taken,
            Some(_) => ClaimStatus::Dropped,
            None if self.end == 0 => ClaimStatus::Unclaimed,
            // The record has expired, so any member may have written it.
            None => ClaimStatus::Dropped,
        };
        Standing {
            status,
            last: self.end.checked_sub(1),
            is_current: self.is_current(context),
            waits: self.claim.as_ref().is_some_and(|claim| claim.waits),
        }
    }

    // Whether no claim after the last one can be lost: it was made in the era that is in force.
    fn is_current(&self, context: ClaimContext) -> bool {
        if self.era.is_none() {
            return true;
        }
        match &self.claim {
            Some(claim) => claim.era == self.era,
            None => self.end == 0 && context.first_start && !context.has_reverted,
        }
    }

    /// Returns the claim that `member` may append at the end of the log; `waits` is whether its first order
    /// is not permitted yet.
    pub fn next_claim(&self, member: &str, context: ClaimContext, waits: bool) -> ClaimRecord {
        let era = self.era.filter(|_| self.may_use_era(context));
        let last = self.claim.as_ref().and_then(|claim| claim.fence);
        // An era that falls is an error of the store, and must not lower the token.
        let fence = fence(era, self.end).max(last.map_or(0, |last| last + 1));
        ClaimRecord {
            holder: member.to_owned(),
            era: self.era,
            fence: self.era.is_some().then_some(fence),
            waits,
        }
    }

    // Builds that know no eras would claim the lease with lower tokens afterwards.
    fn may_use_era(&self, context: ClaimContext) -> bool {
        let last = self.claim.as_ref().and_then(|claim| claim.fence);
        let is_used = last.is_some_and(|last| last >> OFFSET_BITS > 0);
        is_used || self.end == 0 || context.has_reverted || context.others_know_eras
    }
}

impl ClaimRecord {
    /// Returns the fencing token of this claim at its offset.
    pub fn fence_at(&self, offset: Offset) -> Fence {
        self.fence.unwrap_or_else(|| fence(None, offset))
    }
}

// Tokens are positive, while offsets begin at 0.
fn fence(era: Option<StoreEra>, offset: Offset) -> Fence {
    let era = era.unwrap_or_default() % (1 << ERA_BITS);
    (era << OFFSET_BITS) + offset + 1
}
