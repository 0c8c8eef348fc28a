//! Warm-up of servers: which of them can handle only few requests, and until when.
//!
//! A server is cold after it starts, after the evacuation of its zone ends, and while its list entry
//! says so. Where a time is not known exactly, the latest possible one counts.

use std::time::{Duration, Instant};

use apricotwell_types::{Map, ServerId, ZoneId};

use crate::backends::BackendEntry;
use crate::catalog::Warmup;

/// Largest difference between the clocks of a server and an instance that is allowed for when the
/// start of a server is compared with this instance's time.
const CLOCK_TOLERANCE: Duration = Duration::from_secs(10);
/// Time for which the end of an evacuation is remembered; longer than any warm-up.
const RESTORATION_LIFETIME: Duration = Duration::from_secs(3600);
/// Time after which the list names a server that was restarted, if it is up by then.
const LISTING_TIME: Duration = Duration::from_millis(2500);
/// Lifetime of a permit, in seconds: permits granted in this time before a window may be used in it.
const PERMIT_LIFETIME_S: f64 = 0.5;
/// Rate that all instances together grant at most, as a multiple of the rate of the first one: see
/// `apricotwell_permits`.
const MAX_GRANTED: f64 = 1.0 + 0.25 + 0.0625;
/// Permits that each of the granters may grant beyond its rate in a window: one that was not asked
/// for in time, and one at the beginning of the window.
const EXTRA_PERMITS: f64 = 2.0;
/// Smallest share of the configured rate that is granted, however narrow the bounds are.
const MIN_SHARE: f64 = 0.1;

/// Permitted excess over the rate of a cold server, within any second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupBounds {
    /// Multiple of the rate.
    pub excess: f64,
    /// Requests on top of that.
    pub slack: f64,
}

impl WarmupBounds {
    /// Returns the rate at which permits are granted, so that the requests of all instances stay
    /// within the bounds of a server with a rate of `per_second`.
    pub fn granted_rate(&self, per_second: f64) -> f64 {
        let allowed = per_second * self.excess + self.slack;
        let granted = (allowed / MAX_GRANTED - EXTRA_PERMITS) / (1.0 + PERMIT_LIFETIME_S);
        granted.clamp(per_second * MIN_SHARE, per_second)
    }
}

#[derive(Clone, Copy, Debug)]
struct Start {
    started_ms: u64,
    // When this process of the server was first listed, and its age then; the age is `None` if the
    // process replaced a known one, and is then unknown but short.
    seen_at: Instant,
    age: Option<Duration>,
    // Until when its entries say that it is cold.
    stated_until: Option<Instant>,
}

/// Starts of servers, and evacuations that have ended.
#[derive(Debug)]
pub struct WarmupTable {
    // Time of this instance's start in milliseconds since the Unix epoch, and when it was first used.
    started_ms: u64,
    first_use: Option<Instant>,
    servers: Map<ServerId, Start>,
    restored: Map<ZoneId, Instant>,
    // When a server last accepted no connection or was found to have ended. Unless the list was read
    // later, it may have been restarted.
    failed: Map<ServerId, Instant>,
}

impl WarmupTable {
    /// Returns an empty table of an instance that started at `started_ms`, in milliseconds since the
    /// Unix epoch.
    pub fn new(started_ms: u64) -> Self {
        Self {
            started_ms,
            first_use: None,
            servers: Map::default(),
            restored: Map::default(),
            failed: Map::default(),
        }
    }

    /// Records an entry of the server list.
    pub fn record_entry(&mut self, now: Instant, entry: &BackendEntry) {
        let first_use = *self.first_use.get_or_insert(now);
        let uptime = now.saturating_duration_since(first_use).as_millis() as u64;
        let known = self.servers.get_mut(&entry.id);
        let stated_until = (!entry.cold_left.is_zero()).then(|| now + entry.cold_left);
        match known {
            Some(known) if entry.started_ms < known.started_ms => {}
            Some(known) if entry.started_ms == known.started_ms => {
                known.stated_until = known.stated_until.max(stated_until);
            }
            known => {
                // The server's and this instance's clock may differ, so the age of a process that
                // replaces a known one is not taken from them.
                let age = known.is_none().then(|| {
                    let wall_ms = self.started_ms.saturating_add(uptime);
                    Duration::from_millis(wall_ms.saturating_sub(entry.started_ms))
                });
                let start = Start {
                    started_ms: entry.started_ms,
                    seen_at: now,
                    age,
                    stated_until,
                };
                self.servers.insert(entry.id.clone(), start);
            }
        }
    }

    /// Records that the evacuation of a zone ended.
    pub fn record_restored(&mut self, now: Instant, zone: &ZoneId) {
        self.restored.insert(zone.clone(), now);
    }

    /// Records that a server accepted no connection or has ended.
    pub fn record_failure(&mut self, now: Instant, server: &ServerId) {
        self.failed.insert(server.clone(), now);
    }

    /// Clears the failures that a read of the list at `read_at` is later than: the server runs on, or
    /// its new process is listed. Returns the servers.
    pub fn clear_failures(&mut self, read_at: Instant) -> Vec<ServerId> {
        let is_clear = |at: Instant| at + LISTING_TIME <= read_at;
        let failed = self.failed.iter();
        let clear = failed.filter(|(_, at)| is_clear(**at));
        let clear = clear.map(|(server, _)| server.clone()).collect();
        self.failed.retain(|_, at| !is_clear(*at));
        clear
    }

    /// Returns until when a server of a zone is cold, `None` if it never was.
    pub fn cold_until(&self, server: &str, zone: &str, warmup: &Warmup) -> Option<Instant> {
        let start = self.servers.get(server);
        let after_start = start.map(|start| {
            let left = start.age.map_or(warmup.duration, |age| {
                (warmup.duration + CLOCK_TOLERANCE).saturating_sub(age)
            });
            start.seen_at + left.min(warmup.duration)
        });
        let after_evacuation = self.restored.get(zone).map(|at| *at + warmup.duration);
        let stated = start.and_then(|start| start.stated_until);
        let failed = self.failed.get(server);
        let after_failure = failed.map(|at| *at + warmup.duration);
        after_start
            .max(after_evacuation)
            .max(stated)
            .max(after_failure)
    }

    /// Forgets the servers that `is_listed` rejects, and old evacuations.
    pub fn expire<F>(&mut self, now: Instant, is_listed: F)
    where
        F: Fn(&str) -> bool,
    {
        self.servers.retain(|server, _| is_listed(server));
        self.failed.retain(|server, _| is_listed(server));
        self.restored
            .retain(|_, at| now.saturating_duration_since(*at) < RESTORATION_LIFETIME);
    }
}
