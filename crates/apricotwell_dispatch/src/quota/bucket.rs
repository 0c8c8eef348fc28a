//! Spending in one part of a sliding window.

use apricotwell_types::Tokens;

/// Limit of spending whose limit is not known; all of it counts against any limit.
pub(super) const UNKNOWN_LIMIT: f64 = 0.0;

/// Spending in a part of the window, in tokens, by the limits that were in force.
///
/// # Invariants
///
/// No two amounts have the same limit.
#[derive(Clone, Debug, Default)]
pub(super) struct Bucket {
    // Rarely more than one: limits seldom change.
    amounts: Vec<Amount>,
}

/// Spending under one limit, in tokens.
///
/// Two groups of instances that no longer hear each other split what is left of the limit. What both
/// knew of by then, each charges to its share. What one has spent since, the other can't know, so it is
/// charged in full.
///
/// # Invariants
///
/// Neither part is negative.
#[derive(Clone, Copy, Debug)]
struct Amount {
    // Tokens that were allowed in one window when these were spent.
    limit: f64,
    // Spending that the instances that are not heard know of as well.
    common: f64,
    // Spending that they may not know of.
    local: f64,
}

impl Bucket {
    /// Returns a bucket of spending that all instances know of.
    ///
    /// Earlier builds may have saved a negative number; it counts as no spending.
    pub(super) fn from_common(limit: f64, tokens: f64) -> Self {
        let mut bucket = Self::default();
        if tokens > 0.0 {
            bucket.add_common(limit, tokens);
        }
        bucket
    }

    /// Adds spending that instances which are not heard may not know of.
    pub(super) fn add_local(&mut self, limit: f64, tokens: f64) {
        self.amount(limit).local += tokens;
    }

    /// Adds spending that all instances know of.
    pub(super) fn add_common(&mut self, limit: f64, tokens: f64) {
        self.amount(limit).common += tokens;
    }

    /// Returns all spending.
    pub(super) fn total(&self) -> f64 {
        self.amounts.iter().map(|amount| amount.total()).sum()
    }

    /// Returns what counts against a limit.
    pub(super) fn counted(&self, limit: f64) -> f64 {
        let counted = |amount: &Amount| amount.total() * amount.weight(limit);
        self.amounts.iter().map(counted).sum()
    }

    /// Returns what counts against the share of a limit that applies.
    pub(super) fn charged(&self, limit: f64, share: f64) -> f64 {
        let charged =
            |amount: &Amount| (amount.common * share + amount.local) * amount.weight(limit);
        self.amounts.iter().map(charged).sum()
    }

    /// Makes the spending known to instances that are not heard from now on; `share` applied so far.
    pub(super) fn settle(&mut self, share: f64) {
        for amount in &mut self.amounts {
            amount.common += amount.local / share;
            amount.local = 0.0;
        }
    }

    /// Takes back up to so many tokens, and returns how many.
    ///
    /// Under which limit they were charged isn't known; those of the highest limit count least.
    pub(super) fn lower(&mut self, tokens: Tokens) -> Tokens {
        self.amounts
            .sort_unstable_by(|one, other| other.limit.total_cmp(&one.limit));
        let mut missing = tokens;
        for amount in &mut self.amounts {
            missing -= amount.lower(missing);
        }
        tokens - missing
    }

    fn amount(&mut self, limit: f64) -> &mut Amount {
        let known = self.amounts.iter().position(|it| it.limit == limit);
        let index = known.unwrap_or(self.amounts.len());
        if known.is_none() {
            self.amounts.push(Amount {
                limit,
                common: 0.0,
                local: 0.0,
            });
        }
        &mut self.amounts[index]
    }
}

impl Amount {
    fn total(self) -> f64 {
        self.common + self.local
    }

    // Returns which share counts against a limit: a lower one applies to spending from then on, and once
    // it rises again all counts.
    fn weight(self, limit: f64) -> f64 {
        if self.limit <= limit {
            1.0
        } else {
            limit / self.limit
        }
    }

    fn lower(&mut self, tokens: Tokens) -> Tokens {
        let back = (tokens as f64).min(self.total()).floor();
        let from_local = back.min(self.local);
        self.local -= from_local;
        self.common = (self.common - (back - from_local)).max(0.0);
        back as Tokens
    }
}
