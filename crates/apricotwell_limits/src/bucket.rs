//! The one bucket of an organisation.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use apricotwell_types::{InstanceId, Map, Tokens};

use crate::{EscrowReport, Grant, GrantId, Rate};

const NANOS_PER_SECOND: u128 = 1_000_000_000;
/// Share of the term that a bucket waits longer, against clocks that run apart.
const DRIFT_DIVISOR: u32 = 20;

/// Token bucket of an organisation, kept by the holder of its shard.
///
/// # Invariants
///
/// `level` plus the tokens in grants that may still be spent plus `refundable` never exceeds the
/// burst, and never exceeds the level of an ideal bucket that charges each request at admission
/// with what it turns out to use.
#[derive(Debug)]
pub struct Bucket {
    rate: Rate,
    term: Duration,
    level: Tokens,
    // Fraction of a token refilled so far, in token-nanoseconds.
    fraction: u128,
    refilled: Instant,
    // Nothing is granted before this: grants of a previous holder may still be spent.
    opens: Instant,
    grants: BTreeMap<GrantId, Lent>,
    last_id: GrantId,
    // Reserved tokens that may still come back without overfilling the ideal bucket.
    refundable: Tokens,
    progress: Map<InstanceId, Progress>,
}

#[derive(Debug)]
struct Lent {
    instance: InstanceId,
    left: Tokens,
    expires: Instant,
}

#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    session: u64,
    reserved: Tokens,
    refunded: Tokens,
}

/// Bucket as its holder hands it over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BucketSnapshot {
    /// Tokens that can be granted.
    pub level: Tokens,
    /// Tokens in grants that may still be spent.
    pub lent: Tokens,
}

impl Bucket {
    /// Returns the full bucket of an organisation that was never served.
    pub fn full(now: Instant, rate: Rate, term: Duration) -> Self {
        Self {
            rate,
            term,
            level: rate.burst,
            fraction: 0,
            refilled: now,
            opens: now,
            grants: BTreeMap::new(),
            last_id: 0,
            refundable: 0,
            progress: Map::default(),
        }
    }

    /// Returns the bucket after a holder that told nothing: empty, and closed until that holder's
    /// grants have lapsed. Tokens refill from `now` on.
    pub fn after_takeover(now: Instant, rate: Rate, term: Duration) -> Self {
        Self {
            level: 0,
            opens: now + term + term / DRIFT_DIVISOR,
            ..Self::full(now, rate, term)
        }
    }

    /// Returns the bucket that its previous holder handed over.
    pub fn from_snapshot(
        now: Instant,
        rate: Rate,
        term: Duration,
        snapshot: BucketSnapshot,
    ) -> Self {
        let lent = snapshot.lent.min(rate.burst);
        let mut bucket = Self::full(now, rate, term);
        bucket.level = snapshot.level.min(rate.burst - lent);
        bucket.lend(now, "", lent);
        bucket
    }

    /// Returns what a new holder must know; grant nothing afterwards.
    pub fn snapshot(&mut self, now: Instant) -> BucketSnapshot {
        self.advance(now);
        BucketSnapshot {
            level: self.level,
            lent: self.lent(),
        }
    }

    /// Changes rate and burst.
    pub fn set_rate(&mut self, now: Instant, rate: Rate) {
        self.advance(now);
        self.rate = rate;
        self.clip();
    }

    /// Returns the tokens that could be granted.
    pub fn level(&mut self, now: Instant) -> Tokens {
        self.advance(now);
        if now < self.opens { 0 } else { self.level }
    }

    /// Lends up to `want` tokens; `None` when there are none.
    pub fn grant(&mut self, now: Instant, instance: &str, want: Tokens) -> Option<Grant> {
        let amount = self.level(now).min(want);
        if amount == 0 {
            return None;
        }
        self.level -= amount;
        Some(self.lend(now, instance, amount))
    }

    /// Returns how long it takes until `want` tokens can be granted, `None` if never.
    pub fn wait_for(&mut self, now: Instant, want: Tokens) -> Option<Duration> {
        if want > self.rate.burst {
            return None;
        }
        self.advance(now);
        let missing = u128::from(want.saturating_sub(self.level));
        let nanos = missing * NANOS_PER_SECOND / u128::from(self.rate.per_second.max(1));
        let refill = Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX));
        Some(refill.max(self.opens.saturating_duration_since(now)))
    }

    /// Takes an instance's report of what it spent, finished and gives back.
    pub fn apply(&mut self, now: Instant, instance: &str, report: &EscrowReport) {
        self.advance(now);
        for (id, left) in &report.left {
            self.note_left(instance, *id, *left);
        }
        for id in &report.returned {
            self.take_back(instance, *id);
        }
        self.note_finished(instance, report);
        self.clip();
    }

    fn note_left(&mut self, instance: &str, id: GrantId, left: Tokens) {
        let Some(lent) = self.grants.get_mut(&id) else {
            return;
        };
        if *lent.instance != *instance || left >= lent.left {
            return;
        }
        self.refundable += lent.left - left;
        lent.left = left;
    }

    fn take_back(&mut self, instance: &str, id: GrantId) {
        let owned = self
            .grants
            .get(&id)
            .is_some_and(|lent| *lent.instance == *instance);
        if owned && let Some(lent) = self.grants.remove(&id) {
            self.level += lent.left;
        }
    }

    // Sums since the session's start make lost and repeated reports harmless.
    fn note_finished(&mut self, instance: &str, report: &EscrowReport) {
        let known = self.progress.get(instance).copied().unwrap_or_default();
        let known = if known.session == report.session {
            known
        } else if known.session < report.session {
            Progress::default()
        } else {
            return;
        };
        let reserved = report.finished.saturating_sub(known.reserved);
        let refunded = report.refunded.saturating_sub(known.refunded).min(reserved);
        let credit = refunded.min(self.refundable);
        self.refundable -= reserved.min(self.refundable);
        self.level += credit;
        let progress = Progress {
            session: report.session,
            reserved: known.reserved.max(report.finished),
            refunded: known.refunded.max(report.refunded),
        };
        self.progress.insert(instance.into(), progress);
    }

    fn lend(&mut self, now: Instant, instance: &str, amount: Tokens) -> Grant {
        self.last_id += 1;
        let lent = Lent {
            instance: instance.into(),
            left: amount,
            expires: now + self.term + self.term / DRIFT_DIVISOR,
        };
        self.grants.insert(self.last_id, lent);
        Grant {
            id: self.last_id,
            amount,
            term: self.term,
        }
    }

    fn lent(&self) -> Tokens {
        self.grants.values().map(|lent| lent.left).sum()
    }

    fn advance(&mut self, now: Instant) {
        self.grants.retain(|_, lent| now < lent.expires);
        let elapsed = now.saturating_duration_since(self.refilled).as_nanos();
        self.refilled = self.refilled.max(now);
        let refill = self.fraction + elapsed * u128::from(self.rate.per_second);
        self.fraction = refill % NANOS_PER_SECOND;
        let tokens = u64::try_from(refill / NANOS_PER_SECOND).unwrap_or(u64::MAX);
        self.level = self.level.saturating_add(tokens);
        self.clip();
    }

    fn clip(&mut self) {
        let room = self.rate.burst.saturating_sub(self.lent());
        self.level = self.level.min(room);
        self.refundable = self.refundable.min(room - self.level);
    }
}
