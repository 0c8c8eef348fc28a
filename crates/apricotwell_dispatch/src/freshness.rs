//! Limits on the age of the configuration.
//!
//! A revoked key must stop working everywhere within a bound, even on an instance that can't reach
//! the store. The age of the configuration is measured from the start of the last read that reached
//! the end of the log, so every decision can check how outdated its view may be.

use std::time::{Duration, Instant};

/// Share of the revocation bound up to which keys are accepted without a new read.
const USABLE_SHARE: f64 = 0.8;
/// Half of the age from which on a missing route or key may just have been added.
const HALF_CURRENT_AGE: Duration = Duration::from_millis(1500);
/// Share of the revocation bound from which on clients are directed to other instances.
const READY_SHARE: f64 = 0.6;

/// Age of the configuration, compared with the limits on its use.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    usable_age: Duration,
    ready_age: Duration,
    // Start of the last read that reached the end of the log.
    last_read: Option<Instant>,
}

impl Freshness {
    /// Returns the freshness of a configuration that was never read.
    ///
    /// `revocation_bound` is the time within which a revoked key must stop working.
    pub fn new(revocation_bound: Duration) -> Self {
        Self {
            usable_age: revocation_bound.mul_f64(USABLE_SHARE),
            ready_age: revocation_bound.mul_f64(READY_SHARE),
            last_read: None,
        }
    }

    /// Records a read that began at `start` and reached the end of the log.
    pub fn record_read(&mut self, start: Instant) {
        self.last_read = self.last_read.max(Some(start));
    }

    /// Returns the age of the configuration, `None` if it was never read.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.last_read
            .map(|start| now.saturating_duration_since(start))
    }

    /// Returns whether keys may be accepted.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age < self.usable_age)
    }

    /// Returns whether clients should be directed to this instance.
    pub fn is_ready(&self, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age < self.ready_age)
    }

    /// Returns whether a route or key that is missing may be reported as unknown.
    pub fn is_current(&self, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age < HALF_CURRENT_AGE * 2)
    }
}
