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
/// `level` plus the tokens in grants that may still be spent never exceeds the burst, nor the level
/// of an ideal bucket that charges each request at admission with what it turns out to use.
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
    // Tokens reserved by requests that have been reported and have not ended.
    reserved: Tokens,
    // Part of them for which an ideal bucket may have had no room: refunds pay it off first.
    forfeit: Tokens,
    progress: Map<InstanceId, Progress>,
    // Tokens of grants that lapsed without a last report: requests may have reserved them, and
    // what those did not use has been refilled already.
    lapsed: Map<InstanceId, Tokens>,
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
    pub outstanding: Tokens,
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
            reserved: 0,
            forfeit: 0,
            progress: Map::default(),
            lapsed: Map::default(),
        }
    }

    /// Returns the bucket after a holder that told nothing: empty, and closed until that holder's
    /// grants have lapsed. Those may take the whole burst, so nothing refills before either.
    pub fn after_takeover(now: Instant, rate: Rate, term: Duration) -> Self {
        let opens = now + term + term / DRIFT_DIVISOR;
        Self {
            level: 0,
            opens,
            refilled: opens,
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
        let lent = snapshot.outstanding.min(rate.burst);
        let mut bucket = Self::full(now, rate, term);
        bucket.level = snapshot.level.min(rate.burst - lent);
        bucket.lend(now, "", lent);
        bucket
    }

    /// Returns what a new holder must know; grant nothing afterwards.
    pub fn snapshot(&mut self, now: Instant) -> BucketSnapshot {
        self.advance(now);
        if now < self.opens {
            // Grants of a still earlier holder may take the whole burst: the next one must wait too.
            return BucketSnapshot {
                level: 0,
                outstanding: self.rate.burst,
            };
        }
        BucketSnapshot {
            level: self.level,
            outstanding: self.lent(),
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
    pub fn wait_time(&mut self, now: Instant, want: Tokens) -> Option<Duration> {
        if want > self.rate.burst {
            return None;
        }
        self.advance(now);
        let missing = u128::from(want.saturating_sub(self.level));
        let nanos = missing * NANOS_PER_SECOND / u128::from(self.rate.per_second.max(1));
        let refill = Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX));
        Some(refill + self.opens.saturating_duration_since(now))
    }

    /// Takes an instance's report of what it spent, finished and gives back.
    pub fn apply_report(&mut self, now: Instant, instance: &str, report: &EscrowReport) {
        self.advance(now);
        for (id, left) in &report.remaining {
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
        self.reserved += lent.left - left;
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
        let reserved = report.settled.saturating_sub(known.reserved);
        let refunded = report.refunded.saturating_sub(known.refunded).min(reserved);
        let lapsed = self.lapsed.entry(instance.into()).or_default();
        let uncounted = reserved.min(*lapsed);
        *lapsed -= uncounted;
        let counted = (reserved - uncounted).min(self.reserved);
        let refund = refunded.min(counted);
        let paid = refund.min(self.forfeit);
        self.forfeit -= paid;
        self.level += refund - paid;
        self.reserved -= counted;
        let progress = Progress {
            session: report.session,
            reserved: known.reserved.max(report.settled),
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

    // Goes through the ends of grants in order: while a grant may be spent, its tokens leave that
    // much less room for refilling.
    fn advance(&mut self, now: Instant) {
        while let Some(end) = self.next_expiry().filter(|end| *end <= now) {
            self.refill(end);
            let lapsed = &mut self.lapsed;
            self.grants.retain(|_, lent| {
                let stays = end < lent.expires;
                if !stays && lent.left > 0 {
                    *lapsed.entry(lent.instance.clone()).or_default() += lent.left;
                }
                stays
            });
        }
        self.refill(now);
    }

    fn next_expiry(&self) -> Option<Instant> {
        self.grants.values().map(|lent| lent.expires).min()
    }

    fn refill(&mut self, now: Instant) {
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
        // What an ideal bucket would hold if no reservation were used, beyond its burst.
        let lost = (self.level + self.reserved).saturating_sub(room);
        self.forfeit = self.forfeit.max(lost).min(self.reserved);
    }
}
