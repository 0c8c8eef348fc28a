//! Sliding window of one organisation's spending.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use apricotwell_messages::Spending;
use apricotwell_types::{InstanceId, Map, Tokens};

use super::bucket::{Bucket, UNKNOWN_LIMIT};
use super::refunds::{BucketNumber, CountedSum};

/// Share of the other instances that are assumed to admit a similar request before they receive a
/// report of the current one.
const CONCURRENT_SHARE: f64 = 0.25;
/// Highest rate at which an organisation is assumed to request tokens, as a multiple of its limit.
const MAX_RATE_FACTOR: f64 = 8.0;
/// Minimum delay until other instances receive a report of spending.
const MIN_REPORT_LAG: Duration = Duration::from_millis(300);
/// Interval between the retries of two refused clients, as a share of the time that the instance needs
/// to grant the request. Below 1, as not all clients retry and other instances serve some that do.
const RETRY_SPACING: f64 = 0.3;
/// Longest delay until a retry, in windows.
const MAX_RETRY_WINDOWS: u32 = 2;
/// Number of buckets per window; the oldest bucket counts until all of it has left the window.
pub(super) const BUCKETS: u32 = 16;

/// Spending of an organisation in the last window and its limit.
#[derive(Debug)]
pub(super) struct Window {
    // Tokens allowed in one window; unlimited before the configuration is known.
    pub(super) limit: f64,
    // The window's parts, the current one last. Never empty.
    pub(super) buckets: VecDeque<Bucket>,
    // Start of the current bucket, and its number.
    pub(super) bucket_start: Instant,
    pub(super) number: BucketNumber,
    // Tokens that this instance has spent since its start.
    pub(super) own: CountedSum,
    // Those of them that are not yet reported to the other instances, and the last report's time.
    pub(super) unreported: Tokens,
    pub(super) reported_at: Instant,
    // Tokens that the saved state lacks.
    pub(super) unsaved: f64,
    // Tokens that a fleet which has restarted assumes to have spent after the last save.
    pub(super) assumed: f64,
    // Earliest time at which the next refused client should retry.
    pub(super) next_retry: Instant,
    // Last reports of other instances.
    pub(super) reports: Map<InstanceId, Report>,
}

/// Last report of another instance's spending.
#[derive(Debug)]
pub(super) struct Report {
    // Incarnation of the instance.
    pub(super) incarnation: u64,
    // Tokens that it has spent since its start.
    pub(super) counted: CountedSum,
    // When the report was received, and what this instance had spent by then.
    pub(super) at: Instant,
    pub(super) own_spent: Tokens,
}

impl Window {
    /// Returns the window of a fleet that has spent `share` of its limit, evenly over the window.
    pub(super) fn new(now: Instant, limit: f64, share: f64) -> Self {
        let per_bucket = limit * share / f64::from(BUCKETS);
        let spent = |_| Bucket::from_common(limit, per_bucket);
        let mut buckets: VecDeque<Bucket> = (0..BUCKETS).map(spent).collect();
        buckets.push_back(Bucket::default());
        Self {
            limit,
            buckets,
            bucket_start: now,
            number: BUCKETS,
            own: CountedSum::default(),
            unreported: 0,
            reported_at: now,
            unsaved: 0.0,
            assumed: 0.0,
            next_retry: now,
            reports: Map::default(),
        }
    }

    pub(super) fn advance(&mut self, now: Instant, bucket_len: Duration) {
        while now.saturating_duration_since(self.bucket_start) >= bucket_len {
            self.bucket_start += bucket_len;
            self.number += 1;
            self.buckets.push_back(Bucket::default());
            if self.buckets.len() > BUCKETS as usize + 1 {
                self.buckets.pop_front();
            }
        }
        self.own.forget_before(self.number - BUCKETS);
    }

    // Notes that the share of the limit that applies falls from `share`, since some instances were not
    // heard for the time `unheard`: what was spent before that is known to them.
    pub(super) fn lower_share(
        &mut self,
        now: Instant,
        bucket_len: Duration,
        share: f64,
        unheard: Duration,
    ) {
        let mut end = self.bucket_start + bucket_len;
        for bucket in self.buckets.iter_mut().rev() {
            if end + unheard <= now {
                bucket.settle(share);
            }
            end -= bucket_len;
        }
    }

    pub(super) fn level(&self, share: f64) -> f64 {
        let buckets = self.buckets.iter();
        let charged = buckets.map(|bucket| bucket.charged(self.limit, share));
        self.limit * share - charged.sum::<f64>()
    }

    // Returns all known spending, whatever limits were in force.
    pub(super) fn total(&self) -> f64 {
        self.buckets.iter().map(|bucket| bucket.total()).sum()
    }

    pub(super) fn add(&mut self, tokens: f64) {
        self.unsaved += tokens;
        let limit = if self.limit < f64::MAX {
            self.limit
        } else {
            UNKNOWN_LIMIT
        };
        if let Some(current) = self.buckets.back_mut() {
            current.add_local(limit, tokens);
        }
    }

    // Spends tokens at this instance.
    pub(super) fn spend(&mut self, tokens: Tokens) {
        self.add(tokens as f64);
        self.own.add(self.number, tokens);
        self.unreported += tokens;
    }

    // Takes back tokens that this instance charged at `charged_at`. Those that have left the window, or whose
    // bucket is not known, count as spent.
    pub(super) fn refund(&mut self, charged_at: Instant, bucket_len: Duration, tokens: Tokens) {
        let age = self.bucket_age(charged_at, bucket_len);
        let Some(number) = self.number.checked_sub(age) else {
            return;
        };
        let Some(before) = self.own.before_bucket(number) else {
            return;
        };
        let back = self.lower(number, tokens);
        if back > 0 {
            self.own.add_refund(before, back);
        }
        if charged_at > self.reported_at {
            self.unreported = self.unreported.saturating_sub(back);
        }
    }

    // Counts what another instance reports.
    pub(super) fn count(&mut self, counted: &mut CountedSum, reported: &Spending) {
        counted.forget_before(self.number - BUCKETS);
        match reported.tokens.checked_sub(counted.sum()) {
            Some(rise) => {
                self.add(rise as f64);
                counted.add(self.number, rise);
            }
            None => *counted = CountedSum::from_total(reported.tokens),
        }
        for refund in &reported.refunds {
            // One that has left the window must not be noted either, as a repeat would lower another.
            if let Some(number) = counted.bucket_after(refund.before) {
                let missing = counted.raise_refund(refund);
                self.lower(number, missing);
            }
        }
    }

    // Takes back up to so many tokens of a bucket, and returns how many.
    fn lower(&mut self, number: BucketNumber, tokens: Tokens) -> Tokens {
        let age = self.number.checked_sub(number);
        let bucket = age.and_then(|age| self.buckets.iter_mut().rev().nth(age as usize));
        bucket.map_or(0, |bucket| bucket.lower(tokens))
    }

    // Returns how many buckets before the current one a time lies.
    fn bucket_age(&self, at: Instant, bucket_len: Duration) -> BucketNumber {
        let before = self.bucket_start.saturating_duration_since(at);
        let age = before.as_nanos().div_ceil(bucket_len.as_nanos());
        BucketNumber::try_from(age).unwrap_or(BucketNumber::MAX)
    }

    // Adds spending that all instances know of, under limits that this one does not know.
    pub(super) fn add_common(&mut self, tokens: f64) {
        self.unsaved += tokens;
        if let Some(current) = self.buckets.back_mut() {
            current.add_common(UNKNOWN_LIMIT, tokens);
        }
    }

    // Returns what this instance has spent since it last heard of each instance that reports, each of which
    // may have spent as much meanwhile; `timeout` is the time after which one no longer does.
    pub(super) fn spent_unheard(&self, now: Instant, timeout: Duration) -> f64 {
        let reports = self.reports.values();
        let current = reports.filter(|it| now.saturating_duration_since(it.at) < timeout);
        let heard = current.map(|it| it.own_spent).min();
        heard.map_or(0.0, |heard| self.own.sum().saturating_sub(heard) as f64)
    }

    // Returns the fleet's recent spending in tokens per second, as it counts against the limit: after the
    // limit has fallen, the rate does so as well.
    pub(super) fn recent_rate(&self, now: Instant, bucket_len: Duration) -> f64 {
        let passed = now.saturating_duration_since(self.bucket_start);
        let recent = self.buckets.iter().rev().take(2);
        let recent: f64 = recent.map(|bucket| bucket.counted(self.limit)).sum();
        recent / (bucket_len + passed).as_secs_f64()
    }

    // Estimates the tokens that the other instances have spent but not yet reported: each is assumed to
    // have spent as much as this one, with a share of the current request, and all of them together no
    // less than the recent rate yields.
    pub(super) fn unreported_by_peers(
        &self,
        now: Instant,
        bucket_len: Duration,
        cost: f64,
        reporting: f64,
    ) -> f64 {
        let rate = self.recent_rate(now, bucket_len);
        // The last reports of the others are at most as old as that of this instance, on average half.
        let age = now
            .saturating_duration_since(self.reported_at)
            .min(bucket_len)
            / 2;
        let others = (reporting - 1.0) / reporting;
        let own = self.unreported as f64 + cost * CONCURRENT_SHARE;
        let max_rate = self.limit / (bucket_len * BUCKETS).as_secs_f64() * MAX_RATE_FACTOR;
        let upper = max_rate * age.max(MIN_REPORT_LAG).as_secs_f64();
        (own * (reporting - 1.0))
            .min(upper)
            .max(rate * age.as_secs_f64() * others)
    }

    // Returns the delay after which a refused client should retry: when the missing tokens have left
    // the window, and after the clients that were refused before. The first retry is offset by the
    // instance's phase, so that the clients of all instances retry one after the other.
    pub(super) fn schedule_retry(
        &mut self,
        now: Instant,
        bucket_len: Duration,
        missing: f64,
        request: RefusedRequest,
    ) -> Duration {
        let free = now + self.time_to_free(now, bucket_len, missing, request.share);
        let latest = now + bucket_len * BUCKETS * MAX_RETRY_WINDOWS;
        let time = Duration::from_secs_f64(request.cost * RETRY_SPACING / request.rate.max(1.0));
        let at = self
            .next_retry
            .max(free + time.mul_f64(request.phase))
            .min(latest);
        self.next_retry = at + time;
        at.saturating_duration_since(now)
    }

    // Returns the time until `missing` tokens have left the window.
    pub(super) fn time_to_free(
        &self,
        now: Instant,
        bucket_len: Duration,
        missing: f64,
        share: f64,
    ) -> Duration {
        let passed = now.saturating_duration_since(self.bucket_start);
        let mut freed = 0.0;
        let mut time = bucket_len.saturating_sub(passed);
        for bucket in &self.buckets {
            freed += bucket.charged(self.limit, share);
            if freed >= missing {
                break;
            }
            time += bucket_len;
        }
        time
    }
}

/// Request that exceeds the limit.
#[derive(Clone, Copy, Debug)]
pub(super) struct RefusedRequest {
    // Tokens that the request needs.
    pub(super) cost: f64,
    // Share of the limit that applies.
    pub(super) share: f64,
    // Tokens per second that the instance can grant.
    pub(super) rate: f64,
    // Offset of the first retry, as a share of the retry interval.
    pub(super) phase: f64,
}
