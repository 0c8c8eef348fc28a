//! The lease that lets one instance order backend servers.
//!
//! Whoever appended the last claim to the store's log holds the lease for as long as it stays a member
//! of the store's consumer group; the claim's offset is its fence. Once the group has dropped the
//! holder, the member to which a certain partition falls may claim. A holder that the group may have
//! dropped without its knowledge looks at the log before it goes on.

use std::time::{Duration, Instant};

use apricotwell_types::Fence;

/// Part of the term that the holder leaves unused, against late timers and orders on their way.
const TERM_MARGIN: Duration = Duration::from_millis(300);
/// Time for which a holder whom the store does not answer goes on where servers check fences: a
/// successor's first order to a server ends it there.
const FENCED_TERM: Duration = Duration::from_secs(12);
/// Time before the first order from which others are told of the claim: heartbeats go out within a
/// third of a second, and reports lag by a fifth.
const ANNOUNCEMENT: Duration = Duration::from_millis(650);

/// Times of the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseConfig {
    /// Time without a renewal after which the group drops a member.
    pub term: Duration,
    /// Pause between the last order of one holder and the first of the next.
    pub handover_pause: Duration,
    /// Longest time between two renewals of a process that runs and is answered.
    pub max_renewal_gap: Duration,
    /// Whether servers refuse fences lower than one that they have seen.
    pub fenced: bool,
}

/// Who holds the lease by the log and the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimStatus {
    /// Nobody ever claimed it.
    Unclaimed,
    /// The last claim is of this process or of an earlier one on this machine.
    Own,
    /// The last holder is no longer in the group and may have ordered until it left.
    Dropped,
    /// Another member holds it.
    Taken,
}

/// What to do about the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Nothing.
    Keep,
    /// Look at the log and the group, then call [`Lease::apply_status`].
    Check,
    /// Append a claim to the log, then call [`Lease::apply_claim`].
    Claim,
    /// Stop ordering.
    Stop,
}

/// Lease as one instance sees it.
///
/// # Invariants
///
/// Where servers don't check fences, [`Lease::fence`] returns a number only while no other instance
/// gets one: within the term of the last renewal, and a pause after the previous holder was dropped.
/// Where they do, another instance may get a higher one, which prevails at each server.
#[derive(Debug)]
pub struct Lease {
    terms: LeaseConfig,
    // Start of the last renewal that the store answered.
    renewed: Option<Instant>,
    // Start of the last renewal, answered or not.
    tried: Option<Instant>,
    claim: Option<Claim>,
    // Whether a claim was dropped without a look at the log.
    unsure: bool,
}

#[derive(Clone, Copy, Debug)]
struct Claim {
    fence: Fence,
    opens: Instant,
}

impl Lease {
    /// Returns a lease that is not held.
    pub fn new(terms: LeaseConfig) -> Self {
        Self {
            terms,
            renewed: None,
            tried: None,
            claim: None,
            unsure: false,
        }
    }

    /// Notes that a renewal begins.
    pub fn begin_renewal(&mut self, now: Instant) {
        // A renewal that comes late was held up with the whole process, and others may have moved on.
        if self.is_stalled(now) {
            self.drop_claim();
        }
        self.tried = Some(now);
    }

    /// Notes that the store answered the renewal that began at `start`; `changed` says whether the
    /// group has changed since the last check.
    pub fn complete_renewal(&mut self, start: Instant, changed: bool) -> LeaseAction {
        let gap = self
            .renewed
            .map(|before| start.saturating_duration_since(before));
        self.renewed = Some(start);
        let unbroken = gap.is_some_and(|gap| gap + TERM_MARGIN < self.terms.term);
        if self.claim.is_some() && unbroken {
            return LeaseAction::Keep;
        }
        if self.claim.is_none() && !changed && !self.unsure {
            return LeaseAction::Keep;
        }
        LeaseAction::Check
    }

    /// Notes who holds the lease; `candidate` says whether a free one falls to this instance.
    pub fn apply_status(&mut self, standing: ClaimStatus, candidate: bool) -> LeaseAction {
        self.unsure = false;
        match standing {
            ClaimStatus::Own if self.claim.is_some() => LeaseAction::Keep,
            ClaimStatus::Own => LeaseAction::Claim,
            ClaimStatus::Unclaimed | ClaimStatus::Dropped if candidate => LeaseAction::Claim,
            _ => match self.claim.take() {
                Some(_) => LeaseAction::Stop,
                None => LeaseAction::Keep,
            },
        }
    }

    /// Notes that the claim was appended at the offset that gives `fence`.
    pub fn apply_claim(&mut self, now: Instant, fence: Fence, standing: ClaimStatus) {
        let wait = match standing {
            // Orders of one machine are those of one holder.
            ClaimStatus::Unclaimed | ClaimStatus::Own => Duration::ZERO,
            ClaimStatus::Taken => self.terms.handover_pause,
            // The holder was silent for the term, save for the time between two renewals. One that
            // lives on, cut off from the store, is stopped by the higher fence.
            ClaimStatus::Dropped if self.terms.fenced => (self.terms.handover_pause
                + self.terms.max_renewal_gap)
                .saturating_sub(self.terms.term),
            ClaimStatus::Dropped => self.terms.handover_pause,
        };
        self.claim = Some(Claim {
            fence,
            opens: now + wait,
        });
    }

    /// Drops the claim, after a server refused its fence.
    pub fn on_fenced(&mut self) {
        self.drop_claim();
    }

    /// Drops the claim if another instance orders with a higher fence.
    pub fn observe_fence(&mut self, fence: Fence) {
        if self.claim.is_some_and(|claim| claim.fence < fence) {
            self.drop_claim();
        }
    }

    fn drop_claim(&mut self) {
        self.unsure |= self.claim.take().is_some();
    }

    /// Returns the fence for an order given right now.
    pub fn fence(&self, now: Instant) -> Option<Fence> {
        let claim = self.claim?;
        (claim.opens <= now && !self.has_lapsed(now)).then_some(claim.fence)
    }

    /// Returns the fence that others are told: so long before the first order that a previous holder
    /// that lives on has stopped by then, and what it ordered last shows in reports.
    pub fn announced_fence(&self, now: Instant) -> Option<Fence> {
        let claim = self.claim?;
        (claim.opens <= now + ANNOUNCEMENT && !self.has_lapsed(now)).then_some(claim.fence)
    }

    /// Returns whether this instance holds the lease, able to order yet or not.
    pub fn is_held(&self, now: Instant) -> bool {
        self.claim.is_some() && !self.has_lapsed(now)
    }

    fn has_lapsed(&self, now: Instant) -> bool {
        let term = if self.terms.fenced && !self.is_stalled(now) {
            FENCED_TERM
        } else {
            self.terms.term
        };
        self.renewed
            .is_none_or(|renewed| now.saturating_duration_since(renewed) + TERM_MARGIN >= term)
    }

    // Whether the process has not run for a while, so that it can't know what others did.
    fn is_stalled(&self, now: Instant) -> bool {
        let limit = self.terms.max_renewal_gap * 2 + TERM_MARGIN;
        self.tried
            .is_some_and(|tried| now.saturating_duration_since(tried) >= limit)
    }
}
