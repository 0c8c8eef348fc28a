//! Request limits that backend servers name while they are overloaded.
//!
//! A server names its limit in its responses: the requests per second that it accepts from all
//! instances together. The limit holds until a response lacks it. What one instance learns, the
//! others learn from its heartbeats; the latest notice counts.

use std::time::{Duration, Instant};

use apricotwell_messages::ServerLimit;
use apricotwell_types::{Map, ServerId};

use crate::cold::ColdTable;

/// Requests per second.
pub type RequestRate = f64;

/// Maximum number of limits in one heartbeat.
const MAX_REPORTED: usize = 32;
/// Time for which the limit of a server is kept that is missing from the list. Its entry may lapse while it
/// runs, and instances that had forgotten its limit would all use it at once when it is listed again.
const UNLISTED_LIFETIME: Duration = Duration::from_secs(60);

/// What a server last said about its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
struct LimitNotice {
    // `None` after the limit was lifted.
    rate: Option<RequestRate>,
    // Time at which the server said so, at the earliest.
    at: Instant,
    // Time at which the rate last changed.
    changed: Instant,
    // Time at which the server was last in the list, or the limit was first named.
    listed: Instant,
}

/// Response of a server, as far as it concerns the server's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitResponse {
    /// When the request was sent that the server responded to.
    pub sent_at: Instant,
    /// Limit that the response names.
    pub rate: Option<RequestRate>,
}

/// Change of a server's limit.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitChange {
    /// Server.
    pub server: ServerId,
    /// New limit; `None` if it was lifted.
    pub rate: Option<RequestRate>,
    /// Whether another instance learnt it.
    pub is_heard: bool,
}

/// Limits of all servers that named one.
#[derive(Debug, Default)]
pub struct LimitTable {
    /// Servers that accept only few requests because they have just started.
    pub cold: ColdTable,
    servers: Map<ServerId, LimitNotice>,
    changes: Vec<LimitChange>,
}

impl LimitTable {
    /// Returns the limit of a server, `None` if it has none: the lower one of what it named and of
    /// its rate while it is cold.
    pub fn rate(&self, server: &str) -> Option<RequestRate> {
        let named = self.named_rate(server);
        match (named, self.cold.rate(server)) {
            (Some(named), Some(cold)) => Some(named.min(cold)),
            (named, cold) => named.or(cold),
        }
    }

    fn named_rate(&self, server: &str) -> Option<RequestRate> {
        self.servers.get(server)?.rate
    }

    /// Returns whether no server ever named a limit and none is cold now.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty() && self.cold.is_empty()
    }

    /// Returns the servers with a limit, with the time of the last notice of each.
    pub fn limited(&self) -> impl Iterator<Item = (&ServerId, Instant)> {
        let limited = self
            .servers
            .iter()
            .filter(|(_, known)| known.rate.is_some());
        limited.map(|(server, known)| (server, known.at))
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<LimitChange> {
        std::mem::take(&mut self.changes)
    }

    /// Applies a server's response.
    ///
    /// A response without a limit lifts it only if its request was sent after the limit was named:
    /// others may have been written before.
    pub fn record_response(&mut self, now: Instant, server: &ServerId, response: LimitResponse) {
        let at = response.rate.map_or(response.sent_at, |_| now);
        if self.apply(now, server, response.rate, at) {
            self.record_change(server, false);
        }
    }

    /// Returns the limits that changed within `time`, for the other instances.
    pub fn recent(&self, now: Instant, time: Duration) -> Vec<ServerLimit> {
        let recent = self
            .servers
            .iter()
            .filter(|(_, known)| now.saturating_duration_since(known.changed) < time);
        recent
            .take(MAX_REPORTED)
            .map(|(server, known)| encode(now, server, *known))
            .collect()
    }

    /// Returns a server's limit for another instance, `None` if the server never named one and was
    /// not cold recently.
    pub fn encode(&self, now: Instant, server: &str) -> Option<ServerLimit> {
        let limit = match self.servers.get(server) {
            Some(known) => encode(now, server, *known),
            None if self.cold.is_known(server) => unnamed(server),
            None => return None,
        };
        let Some((rate, left)) = self.cold.remaining(now, server) else {
            return Some(limit);
        };
        Some(ServerLimit {
            cold_rate: Some(rate),
            cold_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
            ..limit
        })
    }

    /// Applies what another instance knows of a server's limit.
    pub fn apply_limit(&mut self, now: Instant, limit: &ServerLimit) {
        if let Some(rate) = limit.cold_rate {
            let left = Duration::from_millis(u64::from(limit.cold_ms));
            let server = limit.server.as_str().into();
            self.cold.apply_stated(now, &server, rate, left);
        }
        let age = Duration::from_millis(u64::from(limit.age_ms));
        let Some(at) = now.checked_sub(age) else {
            return;
        };
        let rate = limit.rate.filter(|rate| rate.is_finite() && *rate >= 0.0);
        let server = limit.server.as_str().into();
        if self.apply(now, &server, rate, at) {
            self.record_change(&server, true);
        }
    }

    /// Forgets the servers that `is_listed` has rejected for some time.
    pub fn expire<F>(&mut self, now: Instant, is_listed: F)
    where
        F: Fn(&str) -> bool,
    {
        self.servers.retain(|server, known| {
            if is_listed(server) {
                known.listed = now;
            }
            now.saturating_duration_since(known.listed) < UNLISTED_LIFETIME
        });
        self.cold.retain(is_listed);
    }

    fn record_change(&mut self, server: &ServerId, is_heard: bool) {
        self.changes.push(LimitChange {
            server: server.clone(),
            rate: self.named_rate(server),
            is_heard,
        });
    }

    // Applies a notice unless a later one is known; returns whether the limit changed.
    fn apply(
        &mut self,
        now: Instant,
        server: &ServerId,
        rate: Option<RequestRate>,
        at: Instant,
    ) -> bool {
        let known = self.servers.get(server).copied();
        if known.is_some_and(|known| at <= known.at) || (known.is_none() && rate.is_none()) {
            return false;
        }
        let is_changed = known.and_then(|known| known.rate) != rate;
        let changed = match known {
            Some(known) if !is_changed => known.changed,
            _ => now,
        };
        let listed = known.map_or(now, |known| known.listed);
        let notice = LimitNotice {
            rate,
            at,
            changed,
            listed,
        };
        self.servers.insert(server.clone(), notice);
        is_changed
    }
}

fn encode(now: Instant, server: &str, known: LimitNotice) -> ServerLimit {
    let age = now.saturating_duration_since(known.at).as_millis();
    ServerLimit {
        server: server.to_owned(),
        rate: known.rate,
        age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        ..ServerLimit::default()
    }
}

// Returns the limit of a server that never named one. Its age makes it older than any that is named.
fn unnamed(server: &str) -> ServerLimit {
    ServerLimit {
        server: server.to_owned(),
        age_ms: u32::MAX,
        ..ServerLimit::default()
    }
}
