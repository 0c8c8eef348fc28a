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
//!
//! Tokens of requests that did not run are refunded where they were charged, here and at the other
//! instances. A lower limit applies to spending from then on; what was spent before counts in full again
//! once the limit is back.

mod bucket;
mod refunds;
mod window;

use std::time::{Duration, Instant};

use apricotwell_messages::{FleetSpending, OrganisationSpending, Spending};
use apricotwell_types::{InstanceId, Map, OrgId, Tokens};

use self::bucket::{Bucket, UNKNOWN_LIMIT};
use self::refunds::CountedSum;
use self::window::{BUCKETS, RefusedRequest, Report, Window};
use crate::catalog::Organisation;

/// Difference of start times, in ms, up to which two instances may have heard of no third one that knows
/// the spending of the first.
const START_SPREAD_MS: u64 = 3000;
/// Share of the allowed excess that may be spent before it is saved in the store.
const UNSAVED_SHARE: f64 = 0.25;
/// Spending that a fleet whose instances have all restarted assumes to have happened after the last save,
/// as time at the organisation's rate.
const UNSAVED_TIME: Duration = Duration::from_millis(1500);
/// Share of the allowed excess by which one instance's window may be overdrawn.
const OVERDRAFT_SHARE: f64 = 0.3;
/// Number of instances up to which the full overdraft is allowed; a larger fleet needs more of the
/// excess for spending that other instances have not reported yet.
const OVERDRAFT_INSTANCES: f64 = 12.0;
/// Share of the allowed excess that covers spending which other instances have not reported yet.
const UNREPORTED_SHARE: f64 = 0.2;
/// Share of the allowed excess which all instances of a small fleet together may spend, besides what is
/// left of the limit, while some are not heard that still count as reporting. In a large fleet the part
/// of one instance is less than a request, and so is what it can spend unheard.
const UNHEARD_SHARE: f64 = 0.5;
/// Delay after which clients retry that are refused until the other instances are heard.
const UNHEARD_RETRY_AFTER: Duration = Duration::from_millis(500);
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

/// Instances that report their spending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportingFleet {
    /// Instances that do, including this one.
    pub reporting: usize,
    /// Instances that may be serving requests, including this one.
    pub possible: usize,
    /// Time without a heartbeat after which an instance no longer counts as reporting.
    pub timeout: Duration,
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
    // Start of this instance, in milliseconds.
    incarnation: u64,
    // Whether the fleet's earlier spending is known: none at its first start, or restored from the
    // store. Otherwise the whole limit is assumed to be spent.
    history_known: bool,
    windows: Map<OrgId, Window>,
    // Share of rate and burst that applies to the instances that report their spending.
    share: f64,
    // Instances that report their spending, including this one.
    reporting: usize,
    // Time without a heartbeat after which an instance no longer counts as reporting.
    timeout: Duration,
    // Time of the first request.
    first_request: Option<Instant>,
    // When the fleet's earlier spending was restored from the store.
    restored_at: Option<Instant>,
    // Until when spending after the last save is assumed; an instance that did not restart ends that.
    assumes_until: Option<Instant>,
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
            incarnation: u64::MAX,
            history_known: first_start,
            windows: Map::default(),
            share: 1.0,
            reporting: 1,
            timeout: Duration::ZERO,
            first_request: None,
            restored_at: None,
            assumes_until: None,
            phase: 0.5,
        }
    }

    /// Sets the incarnation of this instance, its start in milliseconds, by which it tells which
    /// instances started with it.
    pub fn with_incarnation(self, incarnation: u64) -> Self {
        Self {
            incarnation,
            ..self
        }
    }

    /// Sets the offset, from 0 to 1, by which this instance staggers retries.
    ///
    /// Any value works that differs from those of most other instances.
    pub fn with_phase(self, phase: f64) -> Self {
        Self { phase, ..self }
    }

    /// Sets how many instances report their spending.
    ///
    /// When some stop, what is left of the limit is split: spending that they know of is charged to the
    /// share of those that still report, later spending in full.
    pub fn set_share(&mut self, now: Instant, fleet: ReportingFleet) {
        self.reporting = fleet.reporting.max(1);
        let possible = fleet.possible.max(self.reporting);
        let share = self.reporting as f64 / possible as f64;
        let bucket_len = self.bucket_len();
        if share < self.share {
            for window in self.windows.values_mut() {
                window.advance(now, bucket_len);
                window.lower_share(now, bucket_len, self.share, fleet.timeout);
            }
        }
        self.share = share;
        self.timeout = fleet.timeout;
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
        let assumes = self.assumes(now);
        let (reporting, phase) = (self.reporting as f64, self.phase);
        let is_small = reporting <= OVERDRAFT_INSTANCES;
        let unheard_tolerance = self.excess(organisation) * UNHEARD_SHARE / reporting;
        let timeout = self.timeout;
        let is_warming_up = self.is_warming_up(now);
        let window = self.window(now, organisation);
        let cost = tokens as f64;
        let others = window.unreported_by_peers(now, bucket_len, cost, reporting);
        let assumed = if assumes { window.assumed } else { 0.0 };
        let level = window.level(share) - assumed * share;
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
            let request = RefusedRequest {
                cost,
                share,
                rate,
                phase,
            };
            let retry_after = window.schedule_retry(now, bucket_len, missing, request);
            return Err(QuotaExceeded {
                level,
                share,
                retry_after,
            });
        }
        let unheard = window.spent_unheard(now, timeout);
        let part = (level + unheard).max(0.0) / reporting + unheard_tolerance;
        if is_small && unheard > 0.0 && unheard + cost > part {
            return Err(QuotaExceeded {
                level,
                share,
                retry_after: UNHEARD_RETRY_AFTER,
            });
        }
        window.spend(tokens);
        Ok(())
    }

    // Returns whether the instance has just started and lacks heartbeats of some instances.
    fn is_warming_up(&mut self, now: Instant) -> bool {
        let first_request = *self.first_request.get_or_insert(now);
        let is_new = now.saturating_duration_since(first_request) < WARMUP_TIME;
        self.history_known && self.share < 1.0 && is_new
    }

    /// Refunds the tokens of a request that did not run and was charged at `charged_at`.
    ///
    /// Only the spending of that time is lowered: tokens that have left the window can be spent anyway.
    /// `organisation` may be that of an earlier configuration, whose limit no longer applies.
    pub fn refund(
        &mut self,
        now: Instant,
        organisation: &Organisation,
        charged_at: Instant,
        tokens: Tokens,
    ) {
        let bucket_len = self.bucket_len();
        let Some(window) = self.windows.get_mut(&organisation.name) else {
            return;
        };
        if organisation.rate == 0 {
            return;
        }
        window.advance(now, bucket_len);
        window.refund(charged_at, bucket_len, tokens);
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

    /// Returns the fleet's spending in the last window, as far as this instance knows it, to be saved.
    pub fn snapshot(&mut self, now: Instant) -> FleetSpending {
        let bucket_len = self.bucket_len();
        let assumes = self.assumes(now);
        let organisations = self.windows.iter_mut().map(|(name, window)| {
            window.advance(now, bucket_len);
            window.unsaved = 0.0;
            let mut buckets: Vec<f64> = window.buckets.iter().map(|it| it.total()).collect();
            if assumes && let Some(last) = buckets.last_mut() {
                *last += window.assumed;
            }
            OrganisationSpending {
                organisation: name.to_string(),
                buckets,
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
        self.restored_at = Some(now);
        self.assumes_until = Some(now + self.bounds.window);
        let spent = std::mem::take(&mut self.windows);
        for saved in &spending.organisations {
            let mut window = Window::new(now, f64::MAX, 0.0);
            let skipped = saved.buckets.len().saturating_sub(BUCKETS as usize);
            let buckets = saved.buckets.iter().skip(skipped).copied();
            let restored = |tokens| Bucket::from_common(UNKNOWN_LIMIT, tokens);
            window.buckets = buckets.chain([0.0]).map(restored).collect();
            self.windows
                .insert(saved.organisation.as_str().into(), window);
        }
        // Spending since the start is kept. What others reported was compared with unknown spending, so
        // their next reports count as their first ones.
        for (name, before) in spent {
            let window = self
                .windows
                .entry(name)
                .or_insert_with(|| Window::new(now, f64::MAX, 0.0));
            window.add(before.own.net() as f64);
            window.own = CountedSum::from_total(before.own.sum());
            window.unreported = before.unreported;
            window.reported_at = before.reported_at;
        }
    }

    /// Returns whether an organisation has spent so much since the last snapshot that it must be saved.
    pub fn needs_save(&self) -> bool {
        let max_unsaved = |window: &Window| {
            (window.limit * self.bounds.excess + self.bounds.slack) * UNSAVED_SHARE
        };
        self.windows
            .values()
            .any(|window| window.unsaved > max_unsaved(window))
    }

    /// Returns whether some organisation is close to its limit.
    pub fn is_any_near_limit(&self) -> bool {
        let share = self.share;
        self.windows
            .values()
            .any(|window| window.level(share) < window.limit * NEAR_LIMIT_SHARE)
    }

    /// Returns what to report to the other instances about each organisation.
    pub fn spending(&self) -> impl Iterator<Item = Spending> {
        let reports = self.windows.iter().map(|(name, window)| Spending {
            organisation: name.to_string(),
            tokens: window.own.sum(),
            fleet_tokens: self.known_total(window),
            refunds: window.own.told_refunds().to_vec(),
        });
        reports.filter(|report| report.tokens > 0 || report.fleet_tokens > 0)
    }

    /// Returns the tokens of an organisation that the fleet spent in the last window, as far as that is
    /// known.
    pub fn fleet_tokens(&self, organisation: &str) -> Tokens {
        let window = self.windows.get(organisation);
        window.map_or(0, |window| self.known_total(window))
    }

    // As long as the limit only counts as spent, that is nothing to tell others.
    fn known_total(&self, window: &Window) -> Tokens {
        if self.history_known {
            window.total() as Tokens
        } else {
            0
        }
    }

    /// Marks all spending of this instance as reported to the others.
    pub fn mark_reported(&mut self, now: Instant) {
        for window in self.windows.values_mut() {
            window.unreported = 0;
            window.reported_at = now;
        }
    }

    /// Applies the spending that another instance reports, its sum since its start `incarnation`.
    ///
    /// A sum that falls, as earlier builds report after a refund, takes nothing back: where they charged
    /// those tokens is not known. Its view of the whole fleet is used only with its first report, as this
    /// instance may just have started itself, and with all reports until this instance has restored the
    /// fleet's earlier spending.
    pub fn apply_spending(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        incarnation: u64,
        organisation: &Organisation,
        reported: &Spending,
    ) {
        if organisation.rate == 0 {
            return;
        }
        let is_new = self.is_new(now);
        let own_recent = |window: &Window| if is_new { window.own.net() as f64 } else { 0.0 };
        let starts_together = self.starts_with(incarnation);
        let is_history_known = self.history_known;
        if !starts_together {
            self.assumes_until = None;
        }
        let window = self.window(now, organisation);
        let known = window.reports.get(instance);
        if known.is_some_and(|known| known.incarnation > incarnation) {
            return;
        }
        let known = window.reports.remove(instance);
        let is_first = known.is_none();
        let mut counted = match known {
            Some(known) if known.incarnation == incarnation => known.counted,
            // What an instance spent before its first report is in its view of the fleet, unless
            // it started with this one: then each of them may know its own spending only.
            None if !starts_together => CountedSum::from_total(reported.tokens),
            None | Some(_) => CountedSum::default(),
        };
        window.count(&mut counted, reported);
        // An instance that has not restored the earlier spending yet reports no view, so the first report
        // of each is not enough after a restart of all.
        if is_first || !is_history_known {
            // What was spent since a recent start may be unknown to that instance.
            let missing = reported.fleet_tokens as f64 - (window.total() - own_recent(window));
            window.add_common(missing.max(0.0));
        }
        let report = Report {
            incarnation,
            counted,
            at: now,
            own_spent: window.own.sum(),
        };
        window.reports.insert(instance.clone(), report);
    }

    // Returns whether an instance of that incarnation started about when this one did.
    fn starts_with(&self, incarnation: u64) -> bool {
        incarnation.saturating_add(START_SPREAD_MS) >= self.incarnation
    }

    // Returns whether spending after the last save is assumed.
    fn assumes(&self, now: Instant) -> bool {
        self.assumes_until.is_some_and(|until| now < until)
    }

    // Returns whether all that this instance has spent is still in the window.
    fn is_new(&self, now: Instant) -> bool {
        let started = self.restored_at.or(self.first_request);
        started.is_none_or(|at| now.saturating_duration_since(at) < self.bounds.window)
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
        window.limit = limit;
        window.assumed = organisation.rate as f64 * UNSAVED_TIME.as_secs_f64();
        window
    }
}
