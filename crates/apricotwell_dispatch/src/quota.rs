//! Rates of organisations over the whole fleet.
//!
//! Each instance keeps one bucket an organisation and lowers it by what every instance spent, its
//! own spending at once and that of others as their heartbeats tell it. A bucket may go below zero
//! by half of the excess that the users allow; the other half covers what was spent elsewhere and
//! not yet told. An instance that doesn't hear all others uses only its part of rate and burst.

use std::time::{Duration, Instant};

use apricotwell_types::{InstanceId, Map, OrgId, Tokens};

use crate::catalog::Organisation;

/// Part of the allowed excess that one instance's view may overdraw.
const OVERDRAFT_SHARE: f64 = 0.4;
/// Level, as a share of the burst, below which spending is told to the others at once.
const TIGHT_SHARE: f64 = 0.5;

/// Excess that the users allow over the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// Window in which spending is counted.
    pub window: Duration,
    /// Allowed excess as a share of what rate and burst give in a window.
    pub excess: f64,
    /// Allowed excess in tokens besides.
    pub slack: f64,
}

/// Why tokens can't be spent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shortage {
    /// Tokens in the bucket; negative after an overdraft.
    pub level: f64,
    /// Part of rate and burst that the instance's view stands for.
    pub part: f64,
    /// Time after which the tokens will be there.
    pub wait: Duration,
}

#[derive(Debug)]
struct Bucket {
    // At most `burst`; negative after an overdraft.
    level: f64,
    refilled: Instant,
    rate: f64,
    burst: f64,
    // Tokens that this instance has spent since its start.
    spent: Tokens,
    // Spending told by other instances: start number and sum since then.
    told: Map<InstanceId, (u64, Tokens)>,
}

/// Buckets of all organisations as one instance sees them.
#[derive(Debug)]
pub struct QuotaTable {
    bounds: QuotaBounds,
    // Whether the fleet starts with full buckets.
    full: bool,
    buckets: Map<OrgId, Bucket>,
    // Part of rate and burst that this instance's view stands for.
    part: f64,
}

impl QuotaTable {
    /// Returns a table; buckets of a fleet that starts for the first time are full.
    pub fn new(bounds: QuotaBounds, full: bool) -> Self {
        Self {
            bounds,
            full,
            buckets: Map::default(),
            part: 1.0,
        }
    }

    /// Sets which part of the fleet's instances tells what it spends, this one included.
    pub fn set_part(&mut self, heard: usize, possible: usize) {
        self.part = heard as f64 / possible.max(heard).max(1) as f64;
    }

    /// Spends tokens of an organisation.
    ///
    /// # Errors
    ///
    /// Returns how much is missing.
    pub fn spend(
        &mut self,
        now: Instant,
        organisation: &Organisation,
        tokens: Tokens,
    ) -> Result<(), Shortage> {
        if organisation.rate == 0 {
            return Ok(());
        }
        let part = self.part;
        let overdraft = self.overdraft(organisation) * part;
        let bucket = self.bucket(now, organisation);
        let cost = tokens as f64;
        let missing = cost - bucket.level - overdraft;
        if missing > 0.0 {
            let refill = missing / (bucket.rate * part).max(1.0);
            return Err(Shortage {
                level: bucket.level,
                part,
                wait: Duration::from_secs_f64(refill.min(60.0)),
            });
        }
        bucket.level -= cost;
        bucket.spent += tokens;
        Ok(())
    }

    /// Gives back tokens of a request that never ran.
    pub fn refund(&mut self, now: Instant, organisation: &Organisation, tokens: Tokens) {
        if organisation.rate == 0 {
            return;
        }
        let bucket = self.bucket(now, organisation);
        let back = tokens.min(bucket.spent);
        bucket.spent -= back;
        bucket.level = (bucket.level + back as f64).min(bucket.burst);
    }

    /// Returns whether others should hear of spending at once.
    pub fn is_tight(&mut self, now: Instant, organisation: &Organisation) -> bool {
        if organisation.rate == 0 {
            return false;
        }
        let bucket = self.bucket(now, organisation);
        bucket.level < bucket.burst * TIGHT_SHARE
    }

    /// Returns what this instance has spent of each organisation since its start.
    pub fn spending(&self) -> impl Iterator<Item = (&OrgId, Tokens)> {
        self.buckets
            .iter()
            .filter(|(_, bucket)| bucket.spent > 0)
            .map(|(name, bucket)| (name, bucket.spent))
    }

    /// Applies what another instance has spent since its start `incarnation`.
    pub fn note_spending(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        incarnation: u64,
        organisation: &Organisation,
        spent: Tokens,
    ) {
        if organisation.rate == 0 {
            return;
        }
        let bucket = self.bucket(now, organisation);
        let known = bucket.told.get(instance).copied();
        let before = match known {
            Some((start, _)) if start > incarnation => return,
            Some((start, sum)) if start == incarnation => sum,
            // What an instance spent before it was first heard is older than this view.
            None => spent,
            Some(_) => 0,
        };
        if spent < before {
            let back = (before - spent) as f64;
            bucket.level = (bucket.level + back).min(bucket.burst);
        } else {
            bucket.level -= (spent - before) as f64;
        }
        bucket.told.insert(instance.clone(), (incarnation, spent));
    }

    fn overdraft(&self, organisation: &Organisation) -> f64 {
        let window = organisation.rate as f64 * self.bounds.window.as_secs_f64();
        let excess = (window + organisation.burst as f64) * self.bounds.excess;
        (excess + self.bounds.slack) * OVERDRAFT_SHARE
    }

    fn bucket(&mut self, now: Instant, organisation: &Organisation) -> &mut Bucket {
        let (rate, burst) = (organisation.rate as f64, organisation.burst as f64);
        let (full, part) = (self.full, self.part);
        let bucket = self
            .buckets
            .entry(organisation.name.clone())
            .or_insert_with(|| Bucket {
                level: if full { burst } else { 0.0 },
                refilled: now,
                rate,
                burst,
                spent: 0,
                told: Map::default(),
            });
        let since = now.saturating_duration_since(bucket.refilled);
        bucket.refilled = now;
        bucket.level += since.as_secs_f64() * bucket.rate * part;
        bucket.rate = rate;
        bucket.burst = burst;
        bucket.level = bucket.level.min(burst * part);
        bucket
    }
}
