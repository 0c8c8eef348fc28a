//! Token bucket of an organisation, shared by all instances.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use apricotwell_types::{InstanceId, Map, Tokens};

use crate::{EscrowReport, Grant, GrantId, Rate};

const NANOS_PER_SECOND: u128 = 1_000_000_000;
/// Margin for clock drift, as a divisor of the term: the bucket counts grants as expired that much
/// later.
const DRIFT_DIVISOR: u32 = 20;

/// Token bucket of an organisation, owned by the lease holder of its shard.
///
/// # Invariants
///
/// The sum of `level` and the tokens in grants that may still be spent never exceeds the burst. It
/// never exceeds the level of an ideal bucket either, which would charge each request at admission
/// for exactly the tokens that the request will use.
#[derive(Debug)]
pub struct Bucket {
    rate: Rate,
    term: Duration,
    level: Tokens,
    // Refilled fraction of a token, in billionths.
    fraction: u128,
    refilled_at: Instant,
    // Nothing is granted before this time, because grants of a previous holder may still be spent.
    closed_until: Instant,
    grants: BTreeMap<GrantId, OutstandingGrant>,
    last_id: GrantId,
    // Tokens reported as taken by requests whose end has not been reported.
    reserved: Tokens,
    // Share of `reserved` that must not be refunded, because an ideal bucket may have been full
    // and discarded as many tokens. The first refunds are withheld until this is zero.
    non_refundable: Tokens,
    session_totals: Map<InstanceId, SessionTotals>,
    // Tokens that remained in expired grants according to the last report. Requests may have
    // reserved them since, but the bucket has already refilled those that they did not use.
    expired: Map<InstanceId, Tokens>,
}

#[derive(Debug)]
struct OutstandingGrant {
    instance: InstanceId,
    remaining: Tokens,
    expires_at: Instant,
}

// Sums from the latest report of an instance.
#[derive(Clone, Copy, Debug, Default)]
struct SessionTotals {
    session: u64,
    settled: Tokens,
    refunded: Tokens,
}

/// State of a bucket that its holder hands over to the next one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BucketSnapshot {
    /// Tokens that can be granted.
    pub level: Tokens,
    /// Tokens in grants that may still be spent.
    pub outstanding: Tokens,
}

impl Bucket {
    /// Returns a full bucket, for an organisation whose shard never had a holder.
    pub fn full(now: Instant, rate: Rate, term: Duration) -> Self {
        Self {
            rate,
            term,
            level: rate.burst,
            fraction: 0,
            refilled_at: now,
            closed_until: now,
            grants: BTreeMap::new(),
            last_id: 0,
            reserved: 0,
            non_refundable: 0,
            session_totals: Map::default(),
            expired: Map::default(),
        }
    }

    /// Returns the bucket after a previous holder that handed over no snapshot.
    ///
    /// It is empty and grants nothing until that holder's grants have expired. They may use up the
    /// whole burst, so the bucket does not refill until then either.
    pub fn after_takeover(now: Instant, rate: Rate, term: Duration) -> Self {
        let closed_until = now + term + term / DRIFT_DIVISOR;
        Self {
            level: 0,
            closed_until,
            refilled_at: closed_until,
            ..Self::full(now, rate, term)
        }
    }

    /// Returns the bucket that the previous holder handed over.
    pub fn from_snapshot(
        now: Instant,
        rate: Rate,
        term: Duration,
        snapshot: BucketSnapshot,
    ) -> Self {
        let outstanding = snapshot.outstanding.min(rate.burst);
        let mut bucket = Self::full(now, rate, term);
        bucket.level = snapshot.level.min(rate.burst - outstanding);
        bucket.issue(now, "", outstanding);
        bucket
    }

    /// Returns the state to hand over to the next holder. Grant nothing afterwards.
    pub fn snapshot(&mut self, now: Instant) -> BucketSnapshot {
        self.advance(now);
        if now < self.closed_until {
            // Grants of an earlier holder may use up the whole burst, so the next one has to wait.
            return BucketSnapshot {
                level: 0,
                outstanding: self.rate.burst,
            };
        }
        BucketSnapshot {
            level: self.level,
            outstanding: self.outstanding(),
        }
    }

    /// Changes the refill rate and the burst.
    pub fn set_rate(&mut self, now: Instant, rate: Rate) {
        self.advance(now);
        self.rate = rate;
        self.cap_level();
    }

    /// Returns the number of tokens that can be granted.
    pub fn level(&mut self, now: Instant) -> Tokens {
        self.advance(now);
        if now < self.closed_until {
            0
        } else {
            self.level
        }
    }

    /// Grants up to `want` tokens; returns `None` if there are none.
    pub fn grant(&mut self, now: Instant, instance: &str, want: Tokens) -> Option<Grant> {
        let amount = self.level(now).min(want);
        if amount == 0 {
            return None;
        }
        self.level -= amount;
        Some(self.issue(now, instance, amount))
    }

    /// Returns the time until `want` tokens can be granted; `None` if they exceed the burst.
    pub fn wait_time(&mut self, now: Instant, want: Tokens) -> Option<Duration> {
        if want > self.rate.burst {
            return None;
        }
        self.advance(now);
        let missing = u128::from(want.saturating_sub(self.level));
        let nanos = missing * NANOS_PER_SECOND / u128::from(self.rate.per_second.max(1));
        let refill = Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX));
        Some(refill + self.closed_until.saturating_duration_since(now))
    }

    /// Applies an instance's report about spent, settled and returned tokens.
    pub fn apply_report(&mut self, now: Instant, instance: &str, report: &EscrowReport) {
        self.advance(now);
        for (id, remaining) in &report.remaining {
            self.apply_remaining(instance, *id, *remaining);
        }
        for id in &report.returned {
            self.return_grant(instance, *id);
        }
        self.apply_totals(instance, report);
        self.cap_level();
    }

    fn apply_remaining(&mut self, instance: &str, id: GrantId, remaining: Tokens) {
        let Some(grant) = self.grants.get_mut(&id) else {
            return;
        };
        if *grant.instance != *instance || remaining >= grant.remaining {
            return;
        }
        self.reserved += grant.remaining - remaining;
        grant.remaining = remaining;
    }

    fn return_grant(&mut self, instance: &str, id: GrantId) {
        let owned = self
            .grants
            .get(&id)
            .is_some_and(|grant| *grant.instance == *instance);
        if owned && let Some(grant) = self.grants.remove(&id) {
            self.level += grant.remaining;
        }
    }

    // Reports contain sums since the start of the session, so lost and repeated reports do no harm.
    fn apply_totals(&mut self, instance: &str, report: &EscrowReport) {
        let previous = self
            .session_totals
            .get(instance)
            .copied()
            .unwrap_or_default();
        let previous = if previous.session == report.session {
            previous
        } else if previous.session < report.session {
            SessionTotals::default()
        } else {
            return;
        };
        let settled = report.settled.saturating_sub(previous.settled);
        let refunded = report
            .refunded
            .saturating_sub(previous.refunded)
            .min(settled);
        let expired = self.expired.entry(instance.into()).or_default();
        let from_expired = settled.min(*expired);
        *expired -= from_expired;
        let from_reserved = (settled - from_expired).min(self.reserved);
        let refund = refunded.min(from_reserved);
        let withheld = refund.min(self.non_refundable);
        self.non_refundable -= withheld;
        self.level += refund - withheld;
        self.reserved -= from_reserved;
        let totals = SessionTotals {
            session: report.session,
            settled: previous.settled.max(report.settled),
            refunded: previous.refunded.max(report.refunded),
        };
        self.session_totals.insert(instance.into(), totals);
    }

    fn issue(&mut self, now: Instant, instance: &str, amount: Tokens) -> Grant {
        self.last_id += 1;
        let grant = OutstandingGrant {
            instance: instance.into(),
            remaining: amount,
            expires_at: now + self.term + self.term / DRIFT_DIVISOR,
        };
        self.grants.insert(self.last_id, grant);
        Grant {
            id: self.last_id,
            amount,
            term: self.term,
        }
    }

    fn outstanding(&self) -> Tokens {
        self.grants.values().map(|grant| grant.remaining).sum()
    }

    // Refills up to `now`, one grant expiry after the other: until a grant expires, its tokens
    // lower the level that the bucket can reach.
    fn advance(&mut self, now: Instant) {
        while let Some(expiry) = self.next_expiry().filter(|expiry| *expiry <= now) {
            self.refill(expiry);
            let expired = &mut self.expired;
            self.grants.retain(|_, grant| {
                let is_live = expiry < grant.expires_at;
                if !is_live && grant.remaining > 0 {
                    *expired.entry(grant.instance.clone()).or_default() += grant.remaining;
                }
                is_live
            });
        }
        self.refill(now);
    }

    fn next_expiry(&self) -> Option<Instant> {
        self.grants.values().map(|grant| grant.expires_at).min()
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_nanos();
        self.refilled_at = self.refilled_at.max(now);
        let nano_tokens = self.fraction + elapsed * u128::from(self.rate.per_second);
        self.fraction = nano_tokens % NANOS_PER_SECOND;
        let refilled = u64::try_from(nano_tokens / NANOS_PER_SECOND).unwrap_or(u64::MAX);
        self.level = self.level.saturating_add(refilled);
        self.cap_level();
    }

    fn cap_level(&mut self) {
        let capacity = self.rate.burst.saturating_sub(self.outstanding());
        self.level = self.level.min(capacity);
        // Tokens that an ideal bucket would have discarded if no reserved token were used.
        let discarded = (self.level + self.reserved).saturating_sub(capacity);
        self.non_refundable = self.non_refundable.max(discarded).min(self.reserved);
    }
}
