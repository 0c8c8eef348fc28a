//! Limits on the age of the configuration and of the server list.
//!
//! A revoked key must stop working everywhere within a bound, even on an instance that can't reach
//! the store. The age of the configuration is measured from the start of the last read that reached
//! the end of the log, so every decision can check how outdated its view may be.

use std::time::{Duration, Instant};

use crate::feeds::Feed;

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

/// Times within which changes of the feeds must be in force everywhere.
#[derive(Clone, Copy, Debug)]
pub struct ChangeBounds {
    /// Bound for changes of the configuration.
    pub configuration: Duration,
    /// Bound for changes of the server list: after it a server that leaves gets no new requests.
    pub servers: Duration,
}

impl ChangeBounds {
    /// Returns the bound for changes of a feed.
    pub fn of(&self, feed: Feed) -> Duration {
        match feed {
            Feed::Configuration => self.configuration,
            Feed::Servers => self.servers,
        }
    }

    /// Returns the age from which on a view of a feed is too old for decisions: a change that was made
    /// since may have to be in force.
    pub fn max_use_age(&self, feed: Feed) -> Duration {
        match feed {
            Feed::Configuration => self.configuration,
            // The bound ends with the arrival of a request at its server.
            Feed::Servers => self.servers.saturating_sub(SEND_TIME),
        }
    }

    /// Returns the time within which an instance renews its view once the store answers it again.
    pub fn renewal_time(&self, feed: Feed) -> Duration {
        self.of(feed).mul_f64(RENEWAL_SHARE)
    }
}

/// Time for which a process may not be scheduled while it follows a feed.
pub const SCHEDULING_GAP: Duration = Duration::from_millis(300);
/// Longest read of the store by an instance that reaches it: one on a connection whose other end has
/// vanished times out, and its repetition succeeds.
pub const STORE_READ: Duration = Duration::from_millis(700);
/// Time from the last check of a server to the arrival of the request there.
pub const SEND_TIME: Duration = Duration::from_millis(100);
/// Interval between two queries to another instance.
pub const QUERY_INTERVAL: Duration = Duration::from_millis(500);
/// Time that is left for a query before the view is so old that the store is read.
const QUERY_TIME: Duration = Duration::from_millis(100);
/// Smallest pause before a query, unless the store is due earlier.
const MIN_QUERY_PAUSE: Duration = Duration::from_millis(50);
/// Smallest share of a bound after which the store is read, where the bound leaves no room for the delays.
const MIN_AGE_SHARE: f64 = 0.2;
/// Share of a bound between two reads of the store by the zone's reader. The others get views that are
/// this old, and must have the time for a query before they read the store.
const READ_SHARE: f64 = 0.25;

/// Share of a bound within which an instance renews its view once the store answers it again.
const RENEWAL_SHARE: f64 = 2.0 / 3.0;

/// Ages of a view of a feed whose changes must be in force everywhere within a bound.
///
/// The age counts from the time up to which the view is known to be complete, whatever source it has.
/// At [`Self::max_age`] the store is read, no matter what the instance waits for. So a change is in
/// force after at most `max_age + STORE_READ + SCHEDULING_GAP + SEND_TIME`.
#[derive(Clone, Copy, Debug)]
pub struct ViewAge {
    bound: Duration,
}

impl ViewAge {
    /// Returns the ages for a bound.
    pub fn new(bound: Duration) -> Self {
        Self { bound }
    }

    /// Returns the age at which an instance that queries another one reads the store itself.
    pub fn max_age(&self) -> Duration {
        let delays = SCHEDULING_GAP + STORE_READ + SEND_TIME;
        let max_age = self.bound.saturating_sub(delays);
        max_age.max(self.bound.mul_f64(MIN_AGE_SHARE))
    }

    /// Returns the interval between two reads of the store by the zone's reader.
    pub fn read_interval(&self) -> Duration {
        self.bound.mul_f64(READ_SHARE)
    }

    /// Returns how long an instance with a view of this age may wait before it reads the store.
    pub fn time_left(&self, age: Duration) -> Duration {
        self.max_age().saturating_sub(age)
    }

    /// Returns the pause before the next query to another instance; it leaves time for the query.
    pub fn query_pause(&self, age: Duration) -> Duration {
        let left = self.time_left(age);
        let pause = left.saturating_sub(QUERY_TIME).min(QUERY_INTERVAL);
        pause.max(left.min(MIN_QUERY_PAUSE))
    }
}
