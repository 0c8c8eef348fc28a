//! The placement lease, which permits one instance at a time to send orders to backend servers.
//!
//! The member that appended the last claim to the store's log holds the lease for as long as it
//! stays in the store's consumer group; the claim's offset is the fencing token. Once the group has
//! removed the holder, the member that is assigned a certain partition may claim the lease. A
//! holder that the group may have removed without its knowledge checks the log before it continues.

use std::time::{Duration, Instant};

use apricotwell_types::Fence;

/// Last part of the term, left unused by the holder to allow for late timers and orders in transit.
const TERM_MARGIN: Duration = Duration::from_millis(300);
/// Term of a holder that the store does not answer, if servers check fencing tokens: a server stops
/// accepting its orders with the successor's first one.
const FENCED_TERM: Duration = Duration::from_secs(12);
/// Time before the first order at which the claim is announced to other instances: heartbeats are
/// sent within a third of a second, and server reports lag by a fifth.
const ANNOUNCEMENT_LEAD: Duration = Duration::from_millis(650);

/// Configuration of the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseConfig {
    /// Time without a renewal after which the group removes a member.
    pub term: Duration,
    /// Required time between the last order of one holder and the first order of the next.
    pub handover_pause: Duration,
    /// Longest time between two renewals while the process runs and the store answers.
    pub max_renewal_gap: Duration,
    /// Whether servers reject fencing tokens lower than the highest that they have received.
    pub fenced: bool,
}

/// State of the last claim, according to the log and the group. Logged by variant name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimStatus {
    /// There was never a claim.
    Unclaimed,
    /// The last claim was made by this process or an earlier one on this machine.
    Own,
    /// The last holder is no longer in the group; it may have sent orders until it was removed.
    Dropped,
    /// The last holder is another member of the group.
    Taken,
}

/// Next step to take for the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Do nothing.
    Keep,
    /// Read the log and the group, then call [`Lease::apply_status`].
    Check,
    /// Append a claim to the log, then call [`Lease::apply_claim`].
    Claim,
    /// Stop sending orders.
    Stop,
}

/// The lease from the point of view of one instance.
///
/// # Invariants
///
/// If servers don't check fencing tokens, [`Lease::fence`] returns one on at most one instance at
/// any time: only within the term of the last renewal, and only after the handover pause that
/// follows the removal of the previous holder. If they do, another instance may get a higher token
/// at the same time, which takes precedence at each server.
#[derive(Debug)]
pub struct Lease {
    config: LeaseConfig,
    // Start of the last renewal that the store confirmed.
    last_renewal: Option<Instant>,
    // Start of the last renewal, confirmed or not.
    last_attempt: Option<Instant>,
    claim: Option<Claim>,
    // Whether a claim was released without checking the log.
    needs_check: bool,
}

#[derive(Clone, Copy, Debug)]
struct Claim {
    fence: Fence,
    // Time of the first permitted order.
    effective_at: Instant,
}

impl Lease {
    /// Returns a lease that is not held.
    pub fn new(config: LeaseConfig) -> Self {
        Self {
            config,
            last_renewal: None,
            last_attempt: None,
            claim: None,
            needs_check: false,
        }
    }

    /// Starts a renewal.
    ///
    /// Releases the claim if the process was stalled since the previous one.
    pub fn begin_renewal(&mut self, now: Instant) {
        // A late renewal means that the whole process was stalled; others may have taken over.
        if self.is_stalled(now) {
            self.release_claim();
        }
        self.last_attempt = Some(now);
    }

    /// Completes the renewal that began at `start`, which the store confirmed.
    ///
    /// `changed` is whether the group has changed since the last check.
    pub fn complete_renewal(&mut self, start: Instant, changed: bool) -> LeaseAction {
        let gap = self
            .last_renewal
            .map(|previous| start.saturating_duration_since(previous));
        self.last_renewal = Some(start);
        let is_continuous = gap.is_some_and(|gap| gap + TERM_MARGIN < self.config.term);
        if self.claim.is_some() && is_continuous {
            return LeaseAction::Keep;
        }
        if self.claim.is_none() && !changed && !self.needs_check {
            return LeaseAction::Keep;
        }
        LeaseAction::Check
    }

    /// Applies the result of a check; `candidate` is whether this instance may claim a free lease.
    pub fn apply_status(&mut self, status: ClaimStatus, candidate: bool) -> LeaseAction {
        self.needs_check = false;
        match status {
            ClaimStatus::Own if self.claim.is_some() => LeaseAction::Keep,
            ClaimStatus::Own => LeaseAction::Claim,
            ClaimStatus::Unclaimed | ClaimStatus::Dropped if candidate => LeaseAction::Claim,
            _ => match self.claim.take() {
                Some(_) => LeaseAction::Stop,
                None => LeaseAction::Keep,
            },
        }
    }

    /// Applies this instance's claim; `fence` is its offset, and `status` the status before it.
    pub fn apply_claim(&mut self, now: Instant, fence: Fence, status: ClaimStatus) {
        let delay = match status {
            // The processes of one machine count as one holder.
            ClaimStatus::Unclaimed | ClaimStatus::Own => Duration::ZERO,
            ClaimStatus::Taken => self.config.handover_pause,
            // The group removes a holder one term after its last renewal, and its last order came
            // at most one renewal gap after that renewal. If it still runs without access to the
            // store, the higher fencing token stops it.
            ClaimStatus::Dropped if self.config.fenced => (self.config.handover_pause
                + self.config.max_renewal_gap)
                .saturating_sub(self.config.term),
            ClaimStatus::Dropped => self.config.handover_pause,
        };
        self.claim = Some(Claim {
            fence,
            effective_at: now + delay,
        });
    }

    /// Releases the claim after a server rejected its fencing token.
    pub fn on_fenced(&mut self) {
        self.release_claim();
    }

    /// Releases the claim before this instance leaves the group.
    pub fn give_up(&mut self) {
        self.release_claim();
    }

    /// Releases the claim if another instance uses a higher fencing token.
    pub fn observe_fence(&mut self, fence: Fence) {
        if self.claim.is_some_and(|claim| claim.fence < fence) {
            self.release_claim();
        }
    }

    fn release_claim(&mut self) {
        self.needs_check |= self.claim.take().is_some();
    }

    /// Returns the fencing token for an order that is sent right now.
    pub fn fence(&self, now: Instant) -> Option<Fence> {
        let claim = self.claim?;
        (claim.effective_at <= now && !self.has_expired(now)).then_some(claim.fence)
    }

    /// Returns the fencing token to announce to other instances.
    ///
    /// The announcement precedes the first order by long enough that a previous holder that still
    /// runs has stopped by then, and that its last orders appear in server reports.
    pub fn announced_fence(&self, now: Instant) -> Option<Fence> {
        let claim = self.claim?;
        (claim.effective_at <= now + ANNOUNCEMENT_LEAD && !self.has_expired(now))
            .then_some(claim.fence)
    }

    /// Returns whether this instance holds the lease, even if it may not send orders yet.
    pub fn is_held(&self, now: Instant) -> bool {
        self.claim.is_some() && !self.has_expired(now)
    }

    fn has_expired(&self, now: Instant) -> bool {
        let term = if self.config.fenced && !self.is_stalled(now) {
            FENCED_TERM
        } else {
            self.config.term
        };
        self.last_renewal.is_none_or(|last_renewal| {
            now.saturating_duration_since(last_renewal) + TERM_MARGIN >= term
        })
    }

    // Whether the process did not run for a while, so that it may have missed a takeover.
    fn is_stalled(&self, now: Instant) -> bool {
        let limit = self.config.max_renewal_gap * 2 + TERM_MARGIN;
        self.last_attempt
            .is_some_and(|last_attempt| now.saturating_duration_since(last_attempt) >= limit)
    }
}
