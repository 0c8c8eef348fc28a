//! Servers that are cold: they have just started, and accept only few requests from all instances
//! together until they have warmed up.
//!
//! Unlike a limit that a server states, the end of this state is known in advance. The end that
//! instances know may differ by the age of their views; the latest one counts.

use std::time::{Duration, Instant};

use apricotwell_types::{Map, ServerId};

use crate::limits::RequestRate;

/// Difference up to which an end that another instance states is taken to be the same. Without it,
/// the time that messages take would move the end on with each of them.
const END_TOLERANCE: Duration = Duration::from_secs(1);
/// Time for which the end is remembered, so that instances with a slightly later one don't restart
/// the state.
const ENDED_LIFETIME: Duration = Duration::from_secs(10);
/// Longest time to the end that another instance can state; a longer one is reduced to this, so that
/// a faulty message can't keep a server cold for good.
const MAX_STATED: Duration = Duration::from_secs(600);

#[derive(Clone, Copy, Debug)]
struct Warmup {
    rate: RequestRate,
    ends_at: Instant,
    is_cold: bool,
}

/// Change of a server between cold and warm.
#[derive(Clone, Debug, PartialEq)]
pub struct WarmupChange {
    /// Server.
    pub server: ServerId,
    /// Requests per second that all instances together may send, and for how long; `None` if it is
    /// warm.
    pub cold: Option<(RequestRate, Duration)>,
}

/// Cold servers, and those that have become warm recently.
#[derive(Debug, Default)]
pub struct ColdTable {
    servers: Map<ServerId, Warmup>,
    changes: Vec<WarmupChange>,
}

impl ColdTable {
    /// Returns the rate of a server, `None` if it is not cold.
    pub fn rate(&self, server: &str) -> Option<RequestRate> {
        let warmup = self.servers.get(server)?;
        warmup.is_cold.then_some(warmup.rate)
    }

    /// Returns the number of cold servers.
    pub fn len(&self) -> usize {
        let servers = self.servers.values();
        servers.filter(|warmup| warmup.is_cold).count()
    }

    /// Returns whether no server is cold.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns whether a server is cold or was recently.
    pub fn is_known(&self, server: &str) -> bool {
        self.servers.contains_key(server)
    }

    /// Returns the rate of a cold server and the time for which it is cold.
    pub fn remaining(&self, now: Instant, server: &str) -> Option<(RequestRate, Duration)> {
        let warmup = self.servers.get(server).filter(|warmup| warmup.is_cold)?;
        let left = warmup.ends_at.saturating_duration_since(now);
        Some((warmup.rate, left))
    }

    /// Records that a server is cold at least until `ends_at`.
    pub fn record(&mut self, now: Instant, server: &ServerId, rate: RequestRate, ends_at: Instant) {
        let known = self.servers.get(server);
        let ends_at = known.map_or(ends_at, |known| known.ends_at.max(ends_at));
        let was_cold = known.is_some_and(|known| known.is_cold);
        if ends_at <= now && !was_cold {
            return;
        }
        let warmup = Warmup {
            rate,
            ends_at,
            is_cold: true,
        };
        self.servers.insert(server.clone(), warmup);
        if !was_cold {
            self.changes.push(WarmupChange {
                server: server.clone(),
                cold: Some((rate, ends_at.saturating_duration_since(now))),
            });
        }
    }

    /// Applies what another instance knows.
    pub fn apply_stated(
        &mut self,
        now: Instant,
        server: &ServerId,
        rate: RequestRate,
        left: Duration,
    ) {
        if !(rate.is_finite() && rate > 0.0) || left.is_zero() {
            return;
        }
        let ends_at = now + left.min(MAX_STATED);
        let known = self.servers.get(server);
        let is_same = |known: &Warmup| ends_at <= known.ends_at + END_TOLERANCE;
        if !known.is_some_and(is_same) {
            let rate = known.map_or(rate, |known| known.rate.min(rate));
            self.record(now, server, rate, ends_at);
        }
    }

    /// Ends the state of a server whose service no longer has it.
    pub fn end(&mut self, server: &str) {
        if let Some(warmup) = self.servers.remove(server)
            && warmup.is_cold
        {
            self.changes.push(WarmupChange {
                server: server.into(),
                cold: None,
            });
        }
    }

    /// Ends the states that are over, and forgets those that ended some time ago.
    pub fn expire(&mut self, now: Instant) {
        for (server, warmup) in &mut self.servers {
            if warmup.is_cold && warmup.ends_at <= now {
                warmup.is_cold = false;
                self.changes.push(WarmupChange {
                    server: server.clone(),
                    cold: None,
                });
            }
        }
        self.servers
            .retain(|_, warmup| now.saturating_duration_since(warmup.ends_at) < ENDED_LIFETIME);
    }

    /// Forgets the servers that `is_listed` rejects.
    pub fn retain<F>(&mut self, is_listed: F)
    where
        F: Fn(&str) -> bool,
    {
        self.servers.retain(|server, _| is_listed(server));
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<WarmupChange> {
        std::mem::take(&mut self.changes)
    }
}
