//! The placement lease, which permits one instance at a time to send orders to backend servers.
//!
//! The member that appended the last claim to the store's log holds the lease for as long as it
//! stays in the store's consumer group; [`crate::lease_log`] has the fencing tokens. Once the group has
//! removed the holder, the member that is assigned a certain partition may claim the lease. A
//! holder that the group may have removed without its knowledge checks the log before it continues.
//!
//! When the era of the store changes, later claims than the last one of the log may be lost. Whoever held the
//! lease until then claims it again at once; nobody else claims it before the term of such a holder is over.

use std::time::{Duration, Instant};

use apricotwell_types::{Fence, Offset, StoreEra};

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

/// What a member knows when it has renewed its membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupView {
    /// Generation of the group; changes with its members.
    pub generation: u64,
    /// Generation in which the member last checked the lease, `None` if it has not in this era of the store.
    pub checked: Option<u64>,
    /// Whether it may claim the lease if it is free.
    pub is_candidate: bool,
    /// Whether it or a member that it hears gives orders or is about to.
    pub is_led: bool,
}

impl GroupView {
    /// Returns whether the lease may have become free since the last check. Only the candidate may claim it then, so
    /// the other members need not look.
    ///
    /// The candidate looks again while nobody gives orders: the last claim may have been a living member's and may have
    /// expired since, of which the group says nothing.
    pub fn may_be_free(&self) -> bool {
        let is_known = self.checked == Some(self.generation) && self.is_led;
        self.checked.is_none() || (self.is_candidate && !is_known)
    }
}

/// What the log and the group say of the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// State of the last claim of the log.
    pub status: ClaimStatus,
    /// Offset of that claim, `None` if there is none.
    pub last: Option<Offset>,
    /// Whether it is known that no later claim was lost with an earlier era of the store.
    pub is_current: bool,
    /// Whether its holder was to wait before its first order.
    pub waits: bool,
}

/// Whether another instance's fencing token is in conflict with the own one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FenceConflict {
    /// It is not.
    None,
    /// Another instance claimed the lease later.
    Superseded,
    /// Both have the same token, which must never happen.
    Shared,
}

/// Next step to take for the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Do nothing.
    Keep,
    /// Read the log and the group, then call [`Lease::apply_standing`].
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
    // Whether the log must be checked, as a claim was released or could not be made yet.
    needs_check: bool,
    // Era of the store in the last renewal, and the start of the first renewal that showed it.
    era: Option<(StoreEra, Instant)>,
    // Claim that this instance held when the era changed.
    former: Option<FormerClaim>,
    // Last claim of this process that the store confirmed, whether it is in force or not.
    confirmed: Option<Claim>,
    // Whether a claim of this process may have reached the log without an answer.
    is_unsure: bool,
}

#[derive(Clone, Copy, Debug)]
struct FormerClaim {
    // End of its term.
    until: Instant,
    // Time of its first permitted order.
    effective_at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Claim {
    fence: Fence,
    offset: Offset,
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
            era: None,
            former: None,
            confirmed: None,
            is_unsure: false,
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
    /// `changed` is whether the group has changed since the last check, and `era` that of the store's answer.
    pub fn complete_renewal(
        &mut self,
        start: Instant,
        changed: bool,
        era: Option<StoreEra>,
    ) -> LeaseAction {
        let term_end = self.term_end();
        let is_continuous = term_end.is_some_and(|end| start < end);
        let has_reverted = self.observe_era(start, term_end, era);
        self.last_renewal = Some(start);
        if has_reverted {
            return LeaseAction::Check;
        }
        if self.claim.is_some() && is_continuous && !self.needs_check {
            return LeaseAction::Keep;
        }
        // Others may have taken over, and the check may fail.
        self.needs_check |= self.claim.is_some();
        if self.claim.is_none() && !changed && !self.needs_check {
            return LeaseAction::Keep;
        }
        LeaseAction::Check
    }

    // Returns whether the era has changed. The claim then ends, as the store may know of a later one.
    fn observe_era(
        &mut self,
        start: Instant,
        term_end: Option<Instant>,
        era: Option<StoreEra>,
    ) -> bool {
        let known = self.era.map(|(known, _)| known);
        if era.is_none() || era == known {
            return false;
        }
        self.era = era.map(|era| (era, start));
        if known.is_none() {
            return false;
        }
        self.confirmed = None;
        // A claim that was not checked after a gap may have been superseded.
        let is_checked = !std::mem::replace(&mut self.needs_check, true);
        let held = self.claim.take().filter(|_| is_checked);
        if let (Some(claim), Some(until)) = (held, term_end) {
            self.former = Some(FormerClaim {
                until,
                effective_at: claim.effective_at,
            });
        }
        true
    }

    // Returns whether no claim of an earlier era can still be in force at another instance that is in touch.
    fn is_settled(&self, now: Instant) -> bool {
        self.era
            .is_none_or(|(_, since)| now.saturating_duration_since(since) >= self.config.term)
    }

    // Returns this instance's claim that ended only because of the change of the era.
    fn held_through(&self, now: Instant, standing: Standing) -> Option<FormerClaim> {
        self.former
            .filter(|former| !standing.is_current && now < former.until)
    }

    /// Applies the result of a check; `candidate` is whether this instance may claim a free lease.
    pub fn apply_standing(
        &mut self,
        now: Instant,
        standing: Standing,
        candidate: bool,
    ) -> LeaseAction {
        // A claim that fails may still have reached the log.
        self.needs_check = true;
        if self.held_through(now, standing).is_some() {
            return LeaseAction::Claim;
        }
        self.former = None;
        let may_claim = match standing.status {
            // Another claim than the own one may have been lost since.
            ClaimStatus::Own => true,
            ClaimStatus::Unclaimed | ClaimStatus::Dropped => candidate,
            ClaimStatus::Taken => false,
        };
        if may_claim && !standing.is_current && !self.is_settled(now) {
            return self.end_claim();
        }
        let is_own = self
            .claim
            .is_some_and(|claim| Some(claim.offset) == standing.last);
        let is_kept = is_own && standing.status == ClaimStatus::Own;
        if may_claim && !is_kept {
            return LeaseAction::Claim;
        }
        self.needs_check = false;
        match is_kept {
            true => LeaseAction::Keep,
            false => self.end_claim(),
        }
    }

    fn end_claim(&mut self) -> LeaseAction {
        match self.claim.take() {
            Some(_) => LeaseAction::Stop,
            None => LeaseAction::Keep,
        }
    }

    /// Applies this instance's claim with its offset; `standing` is what was known before it.
    pub fn apply_claim(&mut self, now: Instant, fence: Fence, offset: Offset, standing: Standing) {
        let effective_at = self.first_order(now, standing);
        self.former = None;
        self.needs_check = false;
        self.claim = Some(Claim {
            fence,
            offset,
            effective_at,
        });
        self.confirmed = self.claim;
        self.is_unsure = false;
    }

    /// Records that a claim may have reached the log, as the store did not answer.
    pub fn on_claim_lost(&mut self) {
        self.is_unsure = true;
    }

    /// Returns the time of the first order that a claim at `now` permits.
    pub fn first_order(&self, now: Instant, standing: Standing) -> Instant {
        if let Some(former) = self.held_through(now, standing) {
            return former.effective_at.max(now);
        }
        let is_last = |claim: &Claim| {
            standing.status == ClaimStatus::Own
                && standing.is_current
                && standing.last == Some(claim.offset)
        };
        match self.confirmed.filter(is_last) {
            Some(claim) => claim.effective_at.max(now),
            None => now + self.pause_after(standing),
        }
    }

    fn pause_after(&self, standing: Standing) -> Duration {
        match standing.status {
            // The answer to that claim was lost, or an earlier process made it: its pause may not be over. Where
            // servers check fencing tokens, turns of a process that has just started are allowed.
            ClaimStatus::Own if standing.waits && (self.is_unsure || !self.config.fenced) => {
                self.config.handover_pause
            }
            // The processes of one machine count as one holder.
            ClaimStatus::Unclaimed | ClaimStatus::Own if standing.is_current => Duration::ZERO,
            ClaimStatus::Taken => self.config.handover_pause,
            // The group removes a holder one term after its last renewal, and its last order came
            // at most one renewal gap after that renewal. If it still runs without access to the
            // store, the higher fencing token stops it.
            _ if self.config.fenced => (self.config.handover_pause + self.config.max_renewal_gap)
                .saturating_sub(self.config.term),
            _ => self.config.handover_pause,
        }
    }

    /// Releases the claim after a server rejected its fencing token.
    pub fn on_fenced(&mut self) {
        self.release_claim();
    }

    /// Releases the claim before this instance leaves the group.
    pub fn give_up(&mut self) {
        self.release_claim();
    }

    /// Releases the claim if another instance uses a fencing token that is not lower.
    pub fn observe_fence(&mut self, fence: Fence) -> FenceConflict {
        let Some(claim) = self.claim.filter(|claim| claim.fence <= fence) else {
            return FenceConflict::None;
        };
        self.release_claim();
        match claim.fence == fence {
            true => FenceConflict::Shared,
            false => FenceConflict::Superseded,
        }
    }

    fn release_claim(&mut self) {
        self.needs_check |= self.claim.take().is_some();
        self.former = None;
    }

    /// Returns the fencing token for an order that is sent right now.
    pub fn fence(&self, now: Instant) -> Option<Fence> {
        let claim = self.claim?;
        let may_order = claim.effective_at <= now && !self.needs_check && !self.has_expired(now);
        may_order.then_some(claim.fence)
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

    // Returns when the group may remove this member, less a margin.
    fn term_end(&self) -> Option<Instant> {
        self.last_renewal
            .map(|last_renewal| last_renewal + self.config.term - TERM_MARGIN)
    }

    // Whether the process did not run for a while, so that it may have missed a takeover.
    fn is_stalled(&self, now: Instant) -> bool {
        let limit = self.config.max_renewal_gap * 2 + TERM_MARGIN;
        self.last_attempt
            .is_some_and(|last_attempt| now.saturating_duration_since(last_attempt) >= limit)
    }
}
