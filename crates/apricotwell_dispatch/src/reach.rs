//! Which services this instance can't reach, though other instances may.
//!
//! A service counts as unreachable once several of its servers in a row, or all of them, accepted no
//! connection. One dead server is not enough, nor are servers that are slow to respond: a process that
//! is busy or stalled still accepts connections. Responses on open connections prove nothing about new
//! ones, so only an accepted connection ends the state.

use std::time::{Duration, Instant};

use apricotwell_types::{Map, ServerId};

use crate::backends::Backend;
use crate::catalog::ServiceId;

/// Servers in a row that must accept no connection for their service to count as unreachable.
const MIN_FAILED: usize = 3;
/// Servers of a service for each one that is probed at a time while it counts as unreachable.
const SERVERS_PER_PROBE: usize = 16;
/// Failed servers of one service that are remembered.
const MAX_FAILED: usize = 16;
/// Time for which failures are remembered without another one.
const FAILURE_LIFETIME: Duration = Duration::from_secs(5);

/// Process of a server: its id and its start.
type Process = (ServerId, u64);

/// Servers that accepted no connection, by service.
///
/// # Invariants
///
/// No server of a service with an entry accepted a connection since its first failure.
#[derive(Debug, Default)]
pub struct ReachTable {
    services: Map<ServiceId, Failures>,
}

#[derive(Debug)]
struct Failures {
    // Processes that accepted no connection, the last one at the end.
    processes: Vec<Process>,
    last: Instant,
    // Place of the next server to probe while the service is unreachable.
    turn: usize,
}

impl ReachTable {
    /// Records that a server accepted no connection.
    pub fn record_failure(&mut self, now: Instant, server: &Backend) {
        let failures = self
            .services
            .entry(server.entry.service.clone())
            .or_insert_with(|| Failures {
                processes: Vec::new(),
                last: now,
                turn: 0,
            });
        let process = process(server);
        failures.last = now;
        failures.processes.retain(|failed| *failed != process);
        failures.processes.push(process);
        if failures.processes.len() > MAX_FAILED {
            failures.processes.remove(0);
        }
    }

    /// Records that a server of a service accepted a connection.
    pub fn record_success(&mut self, service: &str) {
        self.services.remove(service);
    }

    /// Returns whether a service counts as unreachable; `usable` are its servers.
    pub fn is_unreachable<'a, I>(&self, service: &str, usable: I) -> bool
    where
        I: IntoIterator<Item = &'a Backend>,
    {
        let Some(failures) = self.services.get(service) else {
            return false;
        };
        let (mut servers, mut failed) = (0, 0);
        for server in usable {
            servers += 1;
            failed += usize::from(failures.processes.contains(&process(server)));
        }
        servers > 0 && failed >= MIN_FAILED.min(servers)
    }

    /// Returns the services with servers that accepted no connection.
    pub fn suspected(&self) -> impl Iterator<Item = &ServiceId> {
        self.services.keys()
    }

    /// Returns the servers to ask for a connection next; `usable` are those of the service.
    ///
    /// As long as the service counts as reachable, these are as many others as make it unreachable,
    /// afterwards some in turn: one alone may have crashed with those that failed before.
    pub fn probe_targets<'a>(&mut self, service: &str, usable: &[&'a Backend]) -> Vec<&'a Backend> {
        let is_unreachable = self.is_unreachable(service, usable.iter().copied());
        let Some(failures) = self.services.get_mut(service) else {
            return Vec::new();
        };
        if is_unreachable {
            let count = (usable.len() / SERVERS_PER_PROBE).clamp(1, MIN_FAILED);
            let first = failures.turn % usable.len();
            failures.turn = first + count;
            let in_turn = usable.iter().cycle().skip(first);
            return in_turn.take(count).copied().collect();
        }
        let others = usable
            .iter()
            .filter(|server| !failures.processes.contains(&process(server)));
        others.take(MIN_FAILED - 1).copied().collect()
    }

    /// Forgets old failures.
    pub fn expire(&mut self, now: Instant) {
        self.services
            .retain(|_, failures| now.saturating_duration_since(failures.last) < FAILURE_LIFETIME);
    }
}

fn process(server: &Backend) -> Process {
    (server.entry.id.clone(), server.entry.started_ms)
}
