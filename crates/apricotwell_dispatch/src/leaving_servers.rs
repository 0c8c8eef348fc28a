//! Servers that said in their answers that they leave.
//!
//! A server that is told to leave may not reach the store, and the list then shows nothing of it. Its answers do.
//! What it said holds for its process: a later entry of the same process takes nothing back, and a process that
//! starts under its id has said nothing yet.
//!
//! Tests are in `tests/leaving_servers.rs`.

use std::time::{Duration, Instant};

use apricotwell_messages::LeavingServer;
use apricotwell_types::{Map, ServerId};

use crate::entry_order::LATE_WRITE_TIME;

/// Largest number of servers that one heartbeat names.
const MAX_REPORTED: usize = 32;

/// A process of a server that leaves.
#[derive(Clone, Copy, Debug)]
struct Leaving {
    started_ms: u64,
    since: Instant,
    // Whether another instance told of it.
    is_heard: bool,
}

/// Servers whose present processes leave, as they said themselves.
#[derive(Debug, Default)]
pub struct LeavingServers {
    servers: Map<ServerId, Leaving>,
}

impl LeavingServers {
    /// Records that a server's process leaves, as it said to this instance, or to another one if `is_heard`;
    /// returns whether that was unknown.
    pub fn record(
        &mut self,
        now: Instant,
        server: &ServerId,
        started_ms: u64,
        is_heard: bool,
    ) -> bool {
        if self.contains(server, started_ms) {
            return false;
        }
        let leaving = Leaving {
            started_ms,
            since: now,
            is_heard,
        };
        self.servers.insert(server.clone(), leaving);
        true
    }

    /// Returns whether a server's process leaves.
    pub fn contains(&self, server: &str, started_ms: u64) -> bool {
        let leaving = self.servers.get(server);
        leaving.is_some_and(|leaving| leaving.started_ms == started_ms)
    }

    /// Returns the servers that said it to this instance within `time`, for the other instances.
    pub fn recent(&self, now: Instant, time: Duration) -> Vec<LeavingServer> {
        let is_recent = |since: Instant| now.saturating_duration_since(since) < time;
        let recent = self
            .servers
            .iter()
            .filter(|(_, leaving)| !leaving.is_heard && is_recent(leaving.since));
        recent
            .take(MAX_REPORTED)
            .map(|(server, leaving)| LeavingServer {
                server: server.to_string(),
                started_ms: leaving.started_ms,
            })
            .collect()
    }

    /// Forgets the servers that `is_listed` rejects, once no late write can bring them back.
    pub fn expire<F>(&mut self, now: Instant, is_listed: F)
    where
        F: Fn(&str) -> bool,
    {
        let is_old = |since: Instant| now.saturating_duration_since(since) >= LATE_WRITE_TIME;
        self.servers
            .retain(|server, leaving| !is_old(leaving.since) || is_listed(server));
    }
}
