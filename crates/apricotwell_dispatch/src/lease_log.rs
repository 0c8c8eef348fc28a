//! Claims of the placement lease in the store's log, and their fencing tokens.
//!
//! Offsets are given out again after the store has come back from an older copy, so a token is the
//! era of the store and then the offset. Builds that know no eras take the offset alone; while one of them
//! may claim the lease after this instance, tokens stay comparable with theirs.
//!
//! Records of the log expire, while what the last one says counts for as long as its holder lives. So a claim is in
//! force only once its copy is written under a key whose newest record the store retains permanently. The log alone
//! decides who claims next; the copy only tells what an expired claim said. Each era has a key of its own: a copy
//! that the store executes late, after it has come back from an older copy, replaces no copy of the new era.

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

/// Copy of a claim that outlives the record in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimCopy {
    /// The claim.
    pub claim: ClaimRecord,
    /// Offset of its record in the log.
    pub offset: Offset,
}

impl ClaimCopy {
    fn fence(&self) -> Fence {
        self.claim.fence_at(self.offset)
    }
}

/// Newest copy of a claim of each era.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LastCopies {
    /// The copies, which may be of earlier claims than the last one.
    pub copies: Vec<ClaimCopy>,
    /// End of the log of copies: the offset of the next one.
    pub end: Offset,
    /// Era of the log that was read.
    pub era: Option<StoreEra>,
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

/// Last claim with what outlives its record.
///
/// # Invariants
///
/// The copies were read before the log and in the same era, so those of this era are of no later claim than the last one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownClaim {
    log: LastClaim,
    copies: LastCopies,
}

/// Answer of the store to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppendReceipt {
    /// Offset of the record.
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

impl KnownClaim {
    /// Returns what is known by the copies and by the log, which was read after them; `None` if the store came back
    /// from an older copy in between.
    pub fn new(copies: LastCopies, log: LastClaim) -> Option<Self> {
        (copies.era == log.era).then_some(Self { log, copies })
    }

    // Returns the last claim, `None` if its record has been deleted and no copy tells what it said.
    fn known(&self) -> Option<&ClaimRecord> {
        let copies = self.copies.copies.iter();
        let copied = copies.filter(|copy| copy.offset + 1 == self.log.end);
        let copied = copied.max_by_key(|copy| copy.fence());
        self.log.claim.as_ref().or(copied.map(|copy| &copy.claim))
    }

    /// Returns the offset of the next claim.
    pub fn end(&self) -> Offset {
        self.log.end
    }

    /// Returns the offset of the next copy.
    pub fn copy_end(&self) -> Offset {
        self.copies.end
    }

    /// Returns the era in which both were read.
    pub fn era(&self) -> Option<StoreEra> {
        self.log.era
    }

    /// Returns the holder of the last claim if it is known.
    pub fn holder(&self) -> Option<&str> {
        self.known().map(|claim| claim.holder.as_str())
    }

    // Returns whether there was never a claim.
    fn is_first(&self) -> bool {
        self.log.end == 0 && self.copies.copies.is_empty()
    }

    /// Returns what the last claim means to `member`; `is_member` states whether another holder is in the group.
    pub fn standing<F>(&self, member: &str, context: ClaimContext, is_member: F) -> Standing
    where
        F: FnOnce(&str) -> bool,
    {
        let known = self.known();
        let status = match known {
            Some(claim) if claim.holder == member => ClaimStatus::Own,
            Some(claim) if is_member(&claim.holder) => ClaimStatus::Taken,
            Some(_) => ClaimStatus::Dropped,
            None if self.is_first() => ClaimStatus::Unclaimed,
            // The claimant was an earlier build, or ended before it wrote a copy.
            None => ClaimStatus::Dropped,
        };
        Standing {
            status,
            last: self.log.end.checked_sub(1),
            is_current: self.is_current(context),
            waits: known.is_some_and(|claim| claim.waits),
        }
    }

    // Whether no claim after the last one can be lost: it was made in the era that is in force.
    fn is_current(&self, context: ClaimContext) -> bool {
        if self.log.era.is_none() {
            return true;
        }
        match self.known() {
            Some(claim) => claim.era == self.log.era,
            None => self.is_first() && context.first_start && !context.has_reverted,
        }
    }

    /// Returns the claim that `member` may append at the end of the log; `waits` is whether its first order
    /// is not permitted yet.
    pub fn next_claim(&self, member: &str, context: ClaimContext, waits: bool) -> ClaimRecord {
        let era = self.log.era.filter(|_| self.may_use_era(context));
        // An era that falls is an error of the store, and must not lower the token.
        let fence = fence(era, self.log.end).max(self.highest_fence().map_or(0, |last| last + 1));
        ClaimRecord {
            holder: member.to_owned(),
            era: self.log.era,
            fence: self.log.era.is_some().then_some(fence),
            waits,
        }
    }

    // Returns the highest token that the last claim can have, `None` if no claim is known.
    fn highest_fence(&self) -> Option<Fence> {
        let last = self.log.claim.as_ref().and_then(|claim| claim.fence);
        let copied = self.copies.copies.iter().map(|copy| {
            // Each claim since may have raised the token by one, whatever its offset.
            copy.fence() + self.log.end.saturating_sub(copy.offset + 1)
        });
        last.max(copied.max())
    }

    // Builds that know no eras would claim the lease with lower tokens afterwards. Where it is not known whether
    // eras were used, an era that is left out would lower the token at once.
    fn may_use_era(&self, context: ClaimContext) -> bool {
        let is_unknown = self.known().is_none();
        let is_used = self
            .highest_fence()
            .is_some_and(|last| last >> OFFSET_BITS > 0);
        is_used || is_unknown || context.has_reverted || context.others_know_eras
    }
}

impl ClaimRecord {
    /// Returns the copy of this claim, which was appended at an offset.
    pub fn copied_at(&self, offset: Offset) -> ClaimCopy {
        ClaimCopy {
            claim: self.clone(),
            offset,
        }
    }

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
