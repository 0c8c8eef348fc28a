//! Rate limits of organisations over the whole fleet.
//!
//! In any window an organisation may spend the tokens that its rate yields in the window, plus its
//! burst. Each instance keeps a sliding window per organisation with the spending of all instances:
//! its own is counted at once, that of others when their heartbeats report it. The level may drop
//! below zero by a share of the allowed excess; the rest of the excess covers what others have spent
//! but not yet reported. An instance that doesn't receive heartbeats from all others uses only its
//! share of the limit.
//!
//! When tokens leave the window, all instances see them become free at the same time. Clients are
//! spread evenly, so each instance assumes that the others have spent as much as itself since it last
//! reported to them. It also staggers the retries of the clients that it refuses, at its share of the
//! rate.

mod window;

use std::time::{Duration, Instant};

use apricotwell_messages::{FleetSpending, OrganisationSpending};
use apricotwell_types::{InstanceId, Map, OrgId, Tokens};

use self::window::{BUCKETS, RefusedRequest, Window};
use crate::catalog::Organisation;

/// Share of the allowed excess by which one instance's window may be overdrawn.
const OVERDRAFT_SHARE: f64 = 0.3;
/// Number of instances up to which the full overdraft is allowed; a larger fleet needs more of the
/// excess for spending that other instances have not reported yet.
const OVERDRAFT_INSTANCES: f64 = 12.0;
/// Share of the allowed excess that covers spending which other instances have not reported yet.
const UNREPORTED_SHARE: f64 = 0.2;
/// Time after the first request in which an instance may not have received all heartbeats yet.
const WARMUP_TIME: Duration = Duration::from_secs(3);
/// Shortest delay after which refused clients retry during the warm-up; the longest is twice as long.
const WARMUP_RETRY_AFTER: Duration = Duration::from_millis(700);
/// Share of the limit below which the level counts as near the limit, so that spending is reported
/// at once.
const NEAR_LIMIT_SHARE: f64 = 0.25;
/// Time to exhaustion at the current rate below which an organisation also counts as near its limit.
const NEAR_LIMIT_TIME: Duration = Duration::from_secs(2);

/// Bounds on the excess over the rate limits that is allowed for the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// Window in which spending is counted.
    pub window: Duration,
    /// Allowed excess as a share of the tokens that rate and burst allow in a window.
    pub excess: f64,
    /// Additional allowed excess, in tokens.
    pub slack: f64,
}

/// Error for tokens that can't be spent within the rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaExceeded {
    /// Tokens left in the window; negative after an overdraft.
    pub level: f64,
    /// Share of rate and burst that applies to the instances whose spending is known here.
    pub share: f64,
    /// Time after which the client should retry.
    pub retry_after: Duration,
}

/// Spending of all organisations as one instance knows it.
#[derive(Debug)]
pub struct QuotaTable {
    bounds: QuotaBounds,
    // Whether the fleet's earlier spending is known: none at its first start, or restored from the
    // store. Otherwise the whole limit is assumed to be spent.
    history_known: bool,
    windows: Map<OrgId, Window>,
    // Share of rate and burst that applies to the instances that report their spending.
    share: f64,
    // Instances that report their spending, including this one.
    reporting: usize,
    // Time of the first request.
    first_request: Option<Instant>,
    // Offset from 0 to 1 by which this instance staggers retries against the other instances.
    phase: f64,
}

impl QuotaTable {
    /// Returns an empty table.
    ///
    /// `first_start` states that the whole fleet starts for the first time and has spent nothing.
    /// Otherwise all limits count as used up until `restore` is called.
    pub fn new(bounds: QuotaBounds, first_start: bool) -> Self {
        Self {
            bounds,
            history_known: first_start,
            windows: Map::default(),
            share: 1.0,
            reporting: 1,
            first_request: None,
            phase: 0.5,
        }
    }

    /// Sets the offset, from 0 to 1, by which this instance staggers retries.
    ///
    /// Any value works that differs from those of most other instances.
    pub fn with_phase(self, phase: f64) -> Self {
        Self { phase, ..self }
    }

    /// Sets how many of the fleet's `possible` instances report their spending, including this one.
    ///
    /// Known spending is attributed to all reporting instances alike, so it is scaled with the share:
    /// it shrinks when instances stop reporting and grows when they report again.
    pub fn set_share(&mut self, reporting: usize, possible: usize) {
        self.reporting = reporting.max(1);
        let share = reporting as f64 / possible.max(reporting).max(1) as f64;
        if share == self.share {
            return;
        }
        let scale = share / self.share;
        for window in self.windows.values_mut() {
            window
                .buckets
                .iter_mut()
                .for_each(|bucket| *bucket *= scale);
        }
        self.share = share;
    }

    /// Spends tokens of an organisation.
    ///
    /// # Errors
    ///
    /// Returns the remaining level and when to retry if the tokens would exceed the rate limit.
    pub fn spend(
        &mut self,
        now: Instant,
        organisation: &Organisation,
        tokens: Tokens,
    ) -> Result<(), QuotaExceeded> {
        if organisation.rate == 0 {
            return Ok(());
        }
        let (share, bucket_len) = (self.share, self.bucket_len());
        let overdraft = self.overdraft(organisation) * share;
        let tolerated = self.excess(organisation) * UNREPORTED_SHARE;
        let (reporting, phase) = (self.reporting as f64, self.phase);
        let is_warming_up = self.is_warming_up(now);
        let window = self.window(now, organisation);
        let cost = tokens as f64;
        let others = window.unreported_by_peers(now, bucket_len, cost, reporting);
        let level = window.level(share);
        let missing = cost - level - overdraft + (others - tolerated).max(0.0);
        if missing > 0.0 && is_warming_up {
            // The share grows with each instance from which a heartbeat arrives.
            let retry_after = WARMUP_RETRY_AFTER.mul_f64(1.0 + phase);
            return Err(QuotaExceeded {
                level,
                share,
                retry_after,
            });
        }
        if missing > 0.0 {
            let rate = window.limit * share / (bucket_len * BUCKETS).as_secs_f64() / reporting;
            let request = RefusedRequest { cost, rate, phase };
            let retry_after = window.schedule_retry(now, bucket_len, missing, request);
            return Err(QuotaExceeded {
                level,
                share,
                retry_after,
            });
        }
        window.add(cost);
        window.spent += tokens;
        window.unreported += tokens;
        Ok(())
    }

    // Returns whether the instance has just started and lacks heartbeats of some instances.
    fn is_warming_up(&mut self, now: Instant) -> bool {
        let first_request = *self.first_request.get_or_insert(now);
        let is_new = now.saturating_duration_since(first_request) < WARMUP_TIME;
        self.history_known && self.share < 1.0 && is_new
    }

    /// Refunds the tokens of a request that did not run.
    pub fn refund(&mut self, now: Instant, organisation: &Organisation, tokens: Tokens) {
        if organisation.rate == 0 {
            return;
        }
        let window = self.window(now, organisation);
        let back = tokens.min(window.spent);
        window.spent -= back;
        window.unreported -= back.min(window.unreported);
        window.add(-(back as f64));
    }

    /// Returns whether an organisation is so close to its limit that spending must be reported to the
    /// other instances at once.
    pub fn is_near_limit(&mut self, now: Instant, organisation: &Organisation) -> bool {
        if organisation.rate == 0 {
            return false;
        }
        let (share, bucket_len) = (self.share, self.bucket_len());
        let window = self.window(now, organisation);
        let soon = window.recent_rate(now, bucket_len) * NEAR_LIMIT_TIME.as_secs_f64();
        window.level(share) < (window.limit * NEAR_LIMIT_SHARE).max(soon)
    }

    /// Returns the fleet's spending in the last window, as far as this instance knows it.
    pub fn snapshot(&mut self, now: Instant) -> FleetSpending {
        let bucket_len = self.bucket_len();
        let organisations = self.windows.iter_mut().map(|(name, window)| {
            window.advance(now, bucket_len);
            OrganisationSpending {
                organisation: name.to_string(),
                buckets: window.buckets.iter().copied().collect(),
            }
        });
        FleetSpending {
            organisations: organisations.collect(),
        }
    }

    /// Restores the fleet's spending from before this instance started.
    ///
    /// The age of the snapshot is unknown, so the spending is counted as if it ended now.
    pub fn restore(&mut self, now: Instant, spending: &FleetSpending) {
        self.history_known = true;
        let spent = std::mem::take(&mut self.windows);
        for saved in &spending.organisations {
            let mut window = Window::new(now, f64::MAX, 0.0);
            let skipped = saved.buckets.len().saturating_sub(BUCKETS as usize);
            let buckets = saved.buckets.iter().skip(skipped).copied();
            window.buckets = buckets.chain([0.0]).collect();
            self.windows
                .insert(saved.organisation.as_str().into(), window);
        }
        // Spending since the start is kept.
        for (name, before) in spent {
            let window = self
                .windows
                .entry(name)
                .or_insert_with(|| Window::new(now, f64::MAX, 0.0));
            window.add(before.spent as f64);
            window.spent = before.spent;
            window.unreported = before.unreported;
            window.reported_at = before.reported_at;
            window.peer_spending = before.peer_spending;
        }
    }

    /// Returns whether some organisation is close to its limit.
    pub fn is_any_near_limit(&self) -> bool {
        let share = self.share;
        self.windows
            .values()
            .any(|window| window.level(share) < window.limit * NEAR_LIMIT_SHARE)
    }

    /// Returns for each organisation the tokens that this instance has spent since its start and
    /// those that the fleet spent in the last window.
    pub fn spending(&self) -> impl Iterator<Item = (&OrgId, Tokens, Tokens)> {
        self.windows
            .iter()
            .map(|(name, window)| (name, window.spent, window.sum().max(0.0) as Tokens))
            .filter(|(_, spent, fleet)| *spent > 0 || *fleet > 0)
    }

    /// Marks all spending of this instance as reported to the others.
    pub fn mark_reported(&mut self, now: Instant) {
        for window in self.windows.values_mut() {
            window.unreported = 0;
            window.reported_at = now;
        }
    }

    /// Applies the spending that another instance reports.
    ///
    /// `spent` counts from the instance's start `incarnation`. `fleet`, its view of the whole fleet,
    /// is used only with its first report, as this instance may just have started itself.
    pub fn apply_spending(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        incarnation: u64,
        organisation: &Organisation,
        spent: Tokens,
        fleet: Tokens,
    ) {
        if organisation.rate == 0 {
            return;
        }
        let share = self.share;
        let window = self.window(now, organisation);
        let before = match window.peer_spending.get(instance) {
            Some((start, _)) if *start > incarnation => return,
            Some((start, sum)) if *start == incarnation => *sum,
            // What an instance spent before its first report is older than this window.
            None => spent,
            Some(_) => 0,
        };
        if !window.peer_spending.contains_key(instance) {
            let missing = fleet as f64 * share - window.sum();
            window.add(missing.max(0.0));
        }
        window.add(spent as f64 - before as f64);
        window
            .peer_spending
            .insert(instance.clone(), (incarnation, spent));
    }

    fn limit(&self, organisation: &Organisation) -> f64 {
        let refill = organisation.rate as f64 * self.bounds.window.as_secs_f64();
        refill + organisation.burst as f64
    }

    fn overdraft(&self, organisation: &Organisation) -> f64 {
        let share = OVERDRAFT_SHARE * (OVERDRAFT_INSTANCES / self.reporting as f64).min(1.0);
        self.excess(organisation) * share
    }

    fn excess(&self, organisation: &Organisation) -> f64 {
        self.limit(organisation) * self.bounds.excess + self.bounds.slack
    }

    fn bucket_len(&self) -> Duration {
        self.bounds.window / BUCKETS
    }

    fn window(&mut self, now: Instant, organisation: &Organisation) -> &mut Window {
        let (limit, bucket_len) = (self.limit(organisation), self.bucket_len());
        let spent = if self.history_known { 0.0 } else { 1.0 };
        let window = self
            .windows
            .entry(organisation.name.clone())
            .or_insert_with(|| Window::new(now, limit, spent));
        window.advance(now, bucket_len);
        window.set_limit(limit);
        window
    }
}
