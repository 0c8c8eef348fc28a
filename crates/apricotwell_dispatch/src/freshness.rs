//! How old the view of the configuration may be.
//!
//! A key that was withdrawn must stop working everywhere within a bound, also on an instance that
//! can't reach the store. The view is as old as the start of the last read that reached the log's
//! end, so every decision can tell how much it may have missed.

use std::time::{Duration, Instant};

/// Share of the revocation bound for which a view is used without a further read.
const USABLE_SHARE: f64 = 0.8;
/// Age beyond which a missing route or key may be one that has just been added.
const CURRENT_AGE: Duration = Duration::from_millis(1500);
/// Share of the revocation bound beyond which an instance sends callers elsewhere.
const READY_SHARE: f64 = 0.6;

/// Age of the view.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    usable: Duration,
    ready: Duration,
    // Start of the last read that reached the end of the log.
    current: Option<Instant>,
}

impl Freshness {
    /// Returns the freshness of a view that was never read; `revocation` bounds the life of a
    /// withdrawn key.
    pub fn new(revocation: Duration) -> Self {
        Self {
            usable: revocation.mul_f64(USABLE_SHARE),
            ready: revocation.mul_f64(READY_SHARE),
            current: None,
        }
    }

    /// Notes a read that reached the end of the log and began at `start`.
    pub fn record_read(&mut self, start: Instant) {
        self.current = self.current.max(Some(start));
    }

    /// Returns the age of the view, `None` if it was never read.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.current
            .map(|start| now.saturating_duration_since(start))
    }

    /// Returns whether keys may be honoured.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age < self.usable)
    }

    /// Returns whether callers should be sent here.
    pub fn is_ready(&self, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age < self.ready)
    }

    /// Returns whether what is missing from the view may be called unknown.
    pub fn is_current(&self, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age < CURRENT_AGE * 2)
    }
}
