//! The lease that lets one instance order backend servers.
//!
//! The store's consumer group says who should hold the lease, a conditional append to the log says
//! with which fence, and the holder's own clock says until when. A group can move the lease at any
//! moment without asking, so a new holder waits until the previous one has either been told or run
//! out of its term, and a pause more.

use std::time::{Duration, Instant};

use apricotwell_types::Fence;

/// Part of the term that the holder leaves unused, against late timers and orders on their way.
const TERM_MARGIN: Duration = Duration::from_millis(400);

/// Times of the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerms {
    /// Time after its last renewal in which a holder is not replaced unless the group says so.
    pub term: Duration,
    /// Pause between the last order of one holder and the first of the next.
    pub pause: Duration,
    /// Longest time between two renewals of a process that runs.
    pub renewal: Duration,
    /// Whether servers refuse fences lower than one that they have seen.
    pub fenced: bool,
}

/// Time for which a holder whom the store does not answer goes on where servers check fences: a
/// successor's first order to a server ends it there.
const FENCED_TERM: Duration = Duration::from_secs(12);

/// What the log says of the previous holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Previous {
    /// Nobody ever held the lease, or this very process did.
    Nobody,
    /// Another process held it and gave it up.
    Released,
    /// Another process held it and may still order.
    Unknown,
}

/// What to do after a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Nothing changed.
    Keep,
    /// Append a claim to the log.
    Claim,
    /// Stop ordering: the lease moved.
    Stop,
}

/// Lease as one instance sees it.
///
/// # Invariants
///
/// [`Lease::fence`] returns a number only while no other instance can get one from its own lease:
/// within the term of the last renewal, and after the previous holder's term and the pause. Where
/// servers check fences, another instance may get a higher one, which then prevails at each server.
#[derive(Debug)]
pub struct Lease {
    terms: LeaseTerms,
    // Start of the last renewal in which the group gave this instance the lease.
    renewed: Option<Instant>,
    // Start of the last renewal, answered or not.
    tried: Option<Instant>,
    gained: Option<Instant>,
    claim: Option<Claim>,
}

#[derive(Clone, Copy, Debug)]
struct Claim {
    fence: Fence,
    opens: Instant,
}

impl Lease {
    /// Returns a lease that is not held.
    pub fn new(terms: LeaseTerms) -> Self {
        Self {
            terms,
            renewed: None,
            tried: None,
            gained: None,
            claim: None,
        }
    }

    /// Notes that a renewal begins.
    pub fn note_try(&mut self, now: Instant) {
        // A renewal that comes late was held up with the whole process, and others may have moved on.
        if self.is_stalled(now) && self.claim.is_some() {
            self.claim = None;
            self.gained = None;
        }
        self.tried = Some(now);
    }

    /// Notes an answer of the group to a renewal that began at `start`.
    pub fn note_renewal(&mut self, now: Instant, start: Instant, owner: bool) -> LeaseStep {
        if !owner {
            let held = self.renewed.take().is_some();
            self.gained = None;
            self.claim = None;
            return if held {
                LeaseStep::Stop
            } else {
                LeaseStep::Keep
            };
        }
        if self.has_lapsed(now) {
            // Another instance may have held the lease in between: begin anew.
            self.gained = None;
            self.claim = None;
        }
        self.renewed = Some(start);
        self.gained.get_or_insert(now);
        if self.claim.is_none() {
            LeaseStep::Claim
        } else {
            LeaseStep::Keep
        }
    }

    /// Notes that the claim was appended at the offset that gives `fence`.
    pub fn note_claim(&mut self, now: Instant, fence: Fence, previous: Previous) {
        let Some(gained) = self.gained else {
            return;
        };
        let wait = match previous {
            Previous::Nobody => Duration::ZERO,
            Previous::Released => self.terms.pause,
            // The group took the lease from a silent holder, or that one is about to learn it.
            Previous::Unknown if self.terms.fenced => self.terms.renewal + self.terms.pause,
            Previous::Unknown => self.terms.term + self.terms.pause,
        };
        self.claim = Some(Claim {
            fence,
            opens: (gained + wait).max(now),
        });
    }

    /// Drops the claim, after a server refused its fence.
    pub fn note_fenced(&mut self) {
        self.claim = None;
    }

    /// Drops the claim if another instance orders with a higher fence.
    pub fn note_other(&mut self, fence: Fence) {
        if self.claim.is_some_and(|claim| claim.fence < fence) {
            self.claim = None;
        }
    }

    /// Returns the fence for an order given right now.
    pub fn fence(&self, now: Instant) -> Option<Fence> {
        let claim = self.claim?;
        (claim.opens <= now && !self.has_lapsed(now)).then_some(claim.fence)
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
            .is_some_and(|renewed| now.saturating_duration_since(renewed) + TERM_MARGIN >= term)
    }

    // Whether the process has not run for a while, so that it can't know what others did.
    fn is_stalled(&self, now: Instant) -> bool {
        let limit = self.terms.renewal * 2 + TERM_MARGIN;
        self.tried
            .is_some_and(|tried| now.saturating_duration_since(tried) >= limit)
    }
}
