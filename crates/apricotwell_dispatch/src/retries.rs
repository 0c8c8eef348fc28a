//! Budget of second attempts that the whole fleet shares without a message.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Bounds on second attempts over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// Second attempts allowed per request.
    pub ratio: f64,
    /// Window over which both are counted.
    pub window: Duration,
    /// Second attempts allowed besides, over the whole fleet.
    pub slack: f64,
}

/// Share of the bounds that is used: the rest covers instances that count others as gone.
const USED_SHARE: f64 = 0.8;

/// One instance's part of the budget of one service.
///
/// Each instance keeps to the ratio of the requests that it took itself and to an even part of the
/// slack, so the sum over all instances stays within the bounds whatever messages are lost.
#[derive(Debug)]
pub struct RetryBudget {
    bounds: RetryBounds,
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryBudget {
    /// Returns an empty window.
    pub fn new(bounds: RetryBounds) -> Self {
        Self {
            bounds,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Notes a request from a caller.
    pub fn record_request(&mut self, now: Instant) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes one second attempt, if the part of an instance among `instances` has one left.
    pub fn try_take(&mut self, now: Instant, instances: usize) -> bool {
        self.expire(now);
        let slack = self.bounds.slack / instances.max(1) as f64;
        let allowed = USED_SHARE * (self.bounds.ratio * self.requests.len() as f64 + slack);
        if self.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
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
