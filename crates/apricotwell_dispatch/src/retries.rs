//! Retry budget that the whole fleet shares without exchanging messages.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Bounds on retries over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Window in which requests and retries are counted.
    pub window: Duration,
    /// Additional retries allowed for the whole fleet.
    pub slack: f64,
}

/// Share of the bounds that instances use which have run for a window.
const USED_SHARE: f64 = 0.8;
/// Share of the ratio that the others use. The process before one may have spent what its own last window of
/// requests allowed, so both together must stay within the ratio.
const FIRST_WINDOW_SHARE: f64 = 1.0 - USED_SHARE;

/// Use of one instance's share of the retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryUsage {
    /// Retries taken in the last window.
    pub taken: usize,
    /// Retries allowed in it.
    pub allowed: f64,
    /// Instances among which the slack is divided; 0 if this one has no share of it.
    pub instances: usize,
}

/// One instance's share of the retry budget of one service.
///
/// Each instance limits its retries by the ratio to its own requests and by an equal share of the
/// slack, so the total over all instances stays within the bounds even if messages are lost. In its
/// first window an instance leaves the slack alone: the retries of an earlier process, whose share it
/// takes over, still count, and it may not have heard of others that started with it.
#[derive(Debug)]
pub struct RetryBudget {
    bounds: RetryBounds,
    // Start of the instance; until it is known, the first request.
    started: Option<Instant>,
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryBudget {
    /// Returns a budget without requests or retries.
    pub fn new(bounds: RetryBounds) -> Self {
        Self {
            bounds,
            started: None,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Sets when the instance started, `None` if that is not known.
    pub fn with_start(self, started: Option<Instant>) -> Self {
        Self { started, ..self }
    }

    /// Counts a request from a client.
    pub fn record_request(&mut self, now: Instant) {
        self.started.get_or_insert(now);
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes one retry if this instance's share among `instances` allows it; returns whether it does.
    ///
    /// With 0 instances it has no share of the slack.
    pub fn try_take(&mut self, now: Instant, instances: usize) -> bool {
        let is_left = self.has_retry(now, instances);
        if is_left {
            self.retries.push_back(now);
        }
        is_left
    }

    /// Returns whether this instance's share among `instances` allows one more retry.
    pub fn has_retry(&mut self, now: Instant, instances: usize) -> bool {
        let usage = self.usage(now, instances);
        usage.taken as f64 + 1.0 <= usage.allowed
    }

    /// Returns how much of this instance's share among `instances` is used.
    pub fn usage(&mut self, now: Instant, instances: usize) -> RetryUsage {
        self.expire(now);
        let started = *self.started.get_or_insert(now);
        let is_settled = now.saturating_duration_since(started) >= self.bounds.window;
        let by_requests = self.bounds.ratio * self.requests.len() as f64;
        let slack = if instances > 0 {
            self.bounds.slack / instances as f64
        } else {
            0.0
        };
        let allowed = if is_settled {
            USED_SHARE * (by_requests + slack)
        } else {
            FIRST_WINDOW_SHARE * by_requests
        };
        RetryUsage {
            taken: self.retries.len(),
            allowed,
            instances,
        }
    }

    fn expire(&mut self, now: Instant) {
        for times in [&mut self.requests, &mut self.retries] {
            while times
                .front()
                .is_some_and(|time| now.saturating_duration_since(*time) > self.bounds.window)
            {
                times.pop_front();
            }
        }
    }
}
