//! Tokens that an instance may spend without asking.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use apricotwell_types::Tokens;

use crate::{Grant, GrantId};

/// Part of a grant's term after which unused tokens go back.
const RETURN_DIVISOR: u32 = 2;

/// Tokens of one organisation lent to this instance.
///
/// # Invariants
///
/// Terms count from before the request for the grant was sent, so a grant lapses here before it
/// does at the bucket.
#[derive(Debug)]
pub struct Escrow {
    session: u64,
    grants: VecDeque<Held>,
    finished: Tokens,
    refunded: Tokens,
}

#[derive(Debug)]
struct Held {
    id: GrantId,
    left: Tokens,
    idle_at: Instant,
    expires: Instant,
}

/// What an instance tells the bucket.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EscrowReport {
    /// Number of the escrow; a later escrow of the same instance has a higher one.
    pub session: u64,
    /// Tokens left in each grant.
    pub remaining: Vec<(GrantId, Tokens)>,
    /// Grants given back, already reported in `left`.
    pub returned: Vec<GrantId>,
    /// Tokens reserved by all requests that have finished in this session.
    pub settled: Tokens,
    /// Of these, tokens that were not used.
    pub refunded: Tokens,
}

impl Escrow {
    /// Returns an escrow without tokens.
    pub fn new(session: u64) -> Self {
        Self {
            session,
            grants: VecDeque::new(),
            finished: 0,
            refunded: 0,
        }
    }

    /// Returns the number of the escrow.
    pub fn session(&self) -> u64 {
        self.session
    }

    /// Adds a grant that was asked for at `asked`.
    pub fn add(&mut self, asked: Instant, grant: Grant) {
        if self.grants.iter().any(|held| held.id == grant.id) {
            return;
        }
        self.grants.push_back(Held {
            id: grant.id,
            left: grant.amount,
            idle_at: asked + grant.term / RETURN_DIVISOR,
            expires: asked + grant.term,
        });
    }

    /// Returns the tokens that can be spent.
    pub fn available(&self, now: Instant) -> Tokens {
        self.live(now).map(|held| held.left).sum()
    }

    /// Spends `cost` tokens, or none when there are fewer.
    pub fn take(&mut self, now: Instant, cost: Tokens) -> bool {
        if self.available(now) < cost {
            return false;
        }
        let mut missing = cost;
        for held in self.grants.iter_mut().filter(|held| now < held.expires) {
            let part = held.left.min(missing);
            held.left -= part;
            missing -= part;
        }
        true
    }

    /// Notes that a request which reserved `reserved` tokens used `used` of them.
    pub fn settle(&mut self, reserved: Tokens, used: Tokens) {
        self.finished += reserved;
        self.refunded += reserved.saturating_sub(used);
    }

    /// Returns a report and gives back what has lain idle for long.
    pub fn report(&mut self, now: Instant) -> EscrowReport {
        let left = self.live(now).map(|held| (held.id, held.left)).collect();
        let idle = |held: &Held| now >= held.idle_at && held.left > 0;
        let returned = self
            .live(now)
            .filter(|held| idle(held))
            .map(|held| held.id)
            .collect();
        self.grants.retain(|held| now < held.idle_at);
        EscrowReport {
            session: self.session,
            remaining: left,
            returned,
            settled: self.finished,
            refunded: self.refunded,
        }
    }

    /// Returns when the next grant should be given back.
    pub fn next_return(&self) -> Option<Instant> {
        self.grants.iter().map(|held| held.idle_at).min()
    }

    /// Returns how long a request for tokens may take before its grant is worthless.
    pub fn request_timeout(term: Duration) -> Duration {
        term / RETURN_DIVISOR
    }

    fn live(&self, now: Instant) -> impl Iterator<Item = &Held> {
        self.grants.iter().filter(move |held| now < held.expires)
    }
}
