//! Tokens that an instance can spend without contacting the bucket.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use apricotwell_types::Tokens;

use crate::{Grant, GrantId};

/// Fraction of a grant's term, as a divisor, after which its unused tokens are returned.
const RETURN_DIVISOR: u32 = 2;

/// Tokens of one organisation that are granted to this instance.
///
/// # Invariants
///
/// The term of a grant starts when its request is sent, so the grant expires here before it
/// expires at the bucket.
#[derive(Debug)]
pub struct Escrow {
    session: u64,
    grants: VecDeque<HeldGrant>,
    settled: Tokens,
    refunded: Tokens,
}

#[derive(Debug)]
struct HeldGrant {
    id: GrantId,
    remaining: Tokens,
    return_at: Instant,
    expires_at: Instant,
}

/// Report of an instance to the bucket about its escrow.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EscrowReport {
    /// Number of the session; a later escrow of the same instance has a higher one.
    pub session: u64,
    /// Tokens remaining in each grant.
    pub remaining: Vec<(GrantId, Tokens)>,
    /// Grants whose remaining tokens are returned; they are listed in `remaining` too.
    pub returned: Vec<GrantId>,
    /// Tokens reserved by all requests of this session that have finished.
    pub settled: Tokens,
    /// Those of the `settled` tokens that were not used.
    pub refunded: Tokens,
}

impl Escrow {
    /// Returns an escrow without tokens.
    pub fn new(session: u64) -> Self {
        Self {
            session,
            grants: VecDeque::new(),
            settled: 0,
            refunded: 0,
        }
    }

    /// Returns the number of the session.
    pub fn session(&self) -> u64 {
        self.session
    }

    /// Adds a grant that was requested at `requested_at`; ignores a grant added before.
    pub fn add(&mut self, requested_at: Instant, grant: Grant) {
        if self.grants.iter().any(|held| held.id == grant.id) {
            return;
        }
        self.grants.push_back(HeldGrant {
            id: grant.id,
            remaining: grant.amount,
            return_at: requested_at + grant.term / RETURN_DIVISOR,
            expires_at: requested_at + grant.term,
        });
    }

    /// Returns the number of tokens that can be spent.
    pub fn available(&self, now: Instant) -> Tokens {
        self.unexpired(now).map(|held| held.remaining).sum()
    }

    /// Spends `cost` tokens and returns whether that many were available.
    ///
    /// Spends none if there are fewer.
    pub fn take(&mut self, now: Instant, cost: Tokens) -> bool {
        if self.available(now) < cost {
            return false;
        }
        let mut missing = cost;
        for held in self.grants.iter_mut().filter(|held| now < held.expires_at) {
            let spent = held.remaining.min(missing);
            held.remaining -= spent;
            missing -= spent;
        }
        true
    }

    /// Records that a finished request used `used` of the `reserved` tokens that it had reserved.
    pub fn settle(&mut self, reserved: Tokens, used: Tokens) {
        self.settled += reserved;
        self.refunded += reserved.saturating_sub(used);
    }

    /// Returns a report, and drops the grants that it returns to the bucket.
    pub fn report(&mut self, now: Instant) -> EscrowReport {
        let remaining = self
            .unexpired(now)
            .map(|held| (held.id, held.remaining))
            .collect();
        let is_due = |held: &HeldGrant| now >= held.return_at && held.remaining > 0;
        let returned = self
            .unexpired(now)
            .filter(|held| is_due(held))
            .map(|held| held.id)
            .collect();
        self.grants.retain(|held| now < held.return_at);
        EscrowReport {
            session: self.session,
            remaining,
            returned,
            settled: self.settled,
            refunded: self.refunded,
        }
    }

    /// Returns when the next grant has to be returned.
    pub fn next_return(&self) -> Option<Instant> {
        self.grants.iter().map(|held| held.return_at).min()
    }

    /// Returns the timeout of a token request; a grant received later would be returned at once.
    pub fn request_timeout(term: Duration) -> Duration {
        term / RETURN_DIVISOR
    }

    fn unexpired(&self, now: Instant) -> impl Iterator<Item = &HeldGrant> {
        self.grants.iter().filter(move |held| now < held.expires_at)
    }
}
