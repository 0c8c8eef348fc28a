//! Permits that an instance holds and asks for.

use std::time::{Duration, Instant};

use apricotwell_types::{Map, ServerId};

/// Time from the request for a permit until the permit expires.
const PERMIT_LIFETIME: Duration = Duration::from_millis(500);
/// Time after which a request for a permit counts as lost.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);
/// Permits for one server that an instance holds or asks for at a time.
const MAX_OUTSTANDING: usize = 4;
/// Longest pause that a refusal can ask for.
const MAX_REFUSAL: Duration = Duration::from_secs(60);

/// Answer to a request for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitAnswer {
    /// Granted.
    Granted,
    /// Not granted; ask again after this time.
    Refused(Duration),
}

#[derive(Debug, Default)]
struct ServerPermits {
    // Requests that wait for a permit.
    waiting: usize,
    // When a permit was last asked for on behalf of no waiting request.
    probed: Option<Instant>,
    is_probing: bool,
    // Numbers and times of the requests for permits that are not answered yet.
    pending: Vec<(u64, Instant)>,
    // When the permits that are held expire.
    held: Vec<Instant>,
    // When to ask again after a refusal.
    turn: Option<Instant>,
}

impl ServerPermits {
    fn expire(&mut self, now: Instant) {
        let is_recent = |asked: Instant| now.saturating_duration_since(asked) < RESPONSE_TIMEOUT;
        self.pending.retain(|(_, asked)| is_recent(*asked));
        self.held.retain(|expiry| now < *expiry);
        self.turn = self.turn.filter(|turn| now < *turn);
    }

    // Returns how many permits to ask for now.
    fn missing(&self) -> usize {
        if self.turn.is_some() {
            return 0;
        }
        let wanted = self.waiting.max(usize::from(self.is_probing));
        let outstanding = self.pending.len() + self.held.len();
        wanted.min(MAX_OUTSTANDING).saturating_sub(outstanding)
    }
}

/// Permits that this instance holds and asks for.
#[derive(Debug)]
pub struct PermitTable {
    servers: Map<ServerId, ServerPermits>,
    // Number of the last request; unique per address, even across restarts of the process.
    number: u64,
}

impl PermitTable {
    /// Returns an empty table of a process with this incarnation, its start in milliseconds.
    pub fn new(incarnation: u64) -> Self {
        const REQUESTS_PER_MS: u64 = 1 << 10;
        Self {
            servers: Map::default(),
            number: incarnation.wrapping_mul(REQUESTS_PER_MS),
        }
    }

    /// Counts a request that begins to wait for a permit.
    pub fn begin_wait(&mut self, server: &ServerId) {
        self.servers.entry(server.clone()).or_default().waiting += 1;
    }

    /// Counts a request that no longer waits for a permit.
    pub fn end_wait(&mut self, server: &str) {
        if let Some(permits) = self.servers.get_mut(server) {
            permits.waiting = permits.waiting.saturating_sub(1);
        }
    }

    /// Sets how many requests wait for permits, by server.
    pub fn set_waiting(&mut self, waiting: &Map<ServerId, usize>) {
        for (server, permits) in &mut self.servers {
            permits.waiting = waiting.get(server).copied().unwrap_or(0);
        }
        for (server, count) in waiting {
            self.servers.entry(server.clone()).or_default().waiting = *count;
        }
    }

    /// Asks for one permit although no request waits for it, unless that was done within `interval`;
    /// returns whether a permit is to be asked for now.
    pub fn probe(&mut self, now: Instant, server: &ServerId, interval: Duration) -> bool {
        let permits = self.servers.entry(server.clone()).or_default();
        let is_recent = |at: Instant| now.saturating_duration_since(at) < interval;
        if permits.probed.is_some_and(is_recent) {
            return false;
        }
        permits.probed = Some(now);
        permits.is_probing = true;
        true
    }

    /// Returns whether requests wait for permits.
    pub fn has_waiting(&self) -> bool {
        self.servers.values().any(|permits| permits.waiting > 0)
    }

    /// Returns whether a permit is held for a server.
    pub fn is_held(&self, now: Instant, server: &str) -> bool {
        let permits = self.servers.get(server);
        permits.is_some_and(|permits| permits.held.iter().any(|expiry| now < *expiry))
    }

    /// Returns when a refused instance may ask again for a server.
    pub fn turn(&self, server: &str) -> Option<Instant> {
        self.servers.get(server)?.turn
    }

    /// Uses up a permit, if one is held.
    pub fn take(&mut self, now: Instant, server: &str) {
        let Some(permits) = self.servers.get_mut(server) else {
            return;
        };
        permits.expire(now);
        permits.held.pop();
        permits.is_probing = false;
    }

    /// Registers the requests for permits that are to be sent now; returns their numbers and servers.
    pub fn take_due(&mut self, now: Instant) -> Vec<(u64, ServerId)> {
        let mut due = Vec::new();
        for (server, permits) in &mut self.servers {
            permits.expire(now);
            for _ in 0..permits.missing() {
                self.number = self.number.wrapping_add(1);
                permits.pending.push((self.number, now));
                due.push((self.number, server.clone()));
            }
            permits.is_probing = false;
        }
        self.servers.retain(|_, permits| {
            permits.waiting > 0
                || permits.probed.is_some()
                || !permits.pending.is_empty()
                || !permits.held.is_empty()
        });
        due
    }

    /// Applies the answer to a request; returns whether waiting requests may go on.
    pub fn apply(&mut self, now: Instant, server: &str, number: u64, answer: PermitAnswer) -> bool {
        let Some(permits) = self.servers.get_mut(server) else {
            return false;
        };
        permits.expire(now);
        let position = permits.pending.iter().position(|(it, _)| *it == number);
        let Some(position) = position else {
            return false;
        };
        let (_, asked) = permits.pending.swap_remove(position);
        match answer {
            PermitAnswer::Granted => permits.held.push(asked + PERMIT_LIFETIME),
            PermitAnswer::Refused(time) => permits.turn = Some(now + time.min(MAX_REFUSAL)),
        }
        true
    }

    /// Forgets the servers that `is_listed` rejects, unless requests wait for them.
    pub fn retain<F>(&mut self, is_listed: F)
    where
        F: Fn(&str) -> bool,
    {
        self.servers
            .retain(|server, permits| permits.waiting > 0 || is_listed(server));
    }
}
