//! Permits to send single requests to servers that named a limit for all instances together.
//!
//! An instance sends a request to a limited server only with a permit, which it asks for when it has
//! a request for the server. For each server, every instance ranks all instances of the fleet in the
//! same order and asks the first one that it hears, which grants permits at the server's rate. No
//! instance is set aside for this, and none has to agree with another on who is first:
//!
//! - an instance that ranks below others that it doesn't hear grants only [`SILENT_FACTOR`] of the
//!   rate for each of them, and none below [`MAX_SILENT`], so that all instances together stay below
//!   1.32 times the rate even if none hears another;
//! - it grants only its share of the rate while it doesn't hear all instances;
//! - it pauses before its first permit, so that its predecessor has heard of it or is gone;
//! - permits expire, so that those of an instance that was frozen are void.

use std::time::{Duration, Instant};

use apricotwell_types::{InstanceId, Map, ServerId};

use crate::peers::heartbeat_interval;
use crate::server_limits::RequestRate;

/// Time from the request for a permit until the permit expires.
const PERMIT_LIFETIME: Duration = Duration::from_millis(500);
/// Time after which a request for a permit counts as lost.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);
/// Permits for one server that an instance holds or asks for at a time.
const MAX_OUTSTANDING: usize = 4;
/// Longest time after which a refused instance of a small fleet asks again.
const MIN_MAX_TURN: Duration = Duration::from_secs(2);
/// The same per instance of a large fleet, so that a granter is asked at a bounded rate.
const MAX_TURN_PER_INSTANCE: Duration = Duration::from_millis(25);
/// Longest pause that a refusal can ask for.
const MAX_REFUSAL: Duration = Duration::from_secs(60);
/// Longest interval between two permits; stands for never.
const MAX_INTERVAL: Duration = Duration::from_secs(24 * 3600);
/// Share of the rate that is granted for each instance that ranks higher and is not heard.
const SILENT_FACTOR: f64 = 0.25;
/// Number of such instances from which on nothing is granted.
const MAX_SILENT: u32 = 2;
/// Shortest pause before the first permit for a server.
const MIN_PAUSE: Duration = Duration::from_secs(1);

/// Who grants the permits for a server, as this instance sees it.
#[derive(Clone, Debug, PartialEq)]
pub enum Granter {
    /// This instance, at this share of the server's rate.
    Own(f64),
    /// Another instance.
    Peer(InstanceId),
    /// None that this instance hears.
    Unknown,
}

/// Selects the granter among the instances of the fleet, which are passed in the order of their rank
/// for the server: whether it is this one, and if not, whether it is heard.
///
/// `share` is the share of the fleet that this instance hears.
pub fn select_granter<I>(ranked: I, share: f64) -> Granter
where
    I: IntoIterator<Item = Candidate>,
{
    let mut silent = 0;
    for candidate in ranked {
        match candidate {
            Candidate::Own => return Granter::Own(SILENT_FACTOR.powi(silent as i32) * share),
            Candidate::Heard(instance) => return Granter::Peer(instance),
            Candidate::Silent if silent == MAX_SILENT => break,
            Candidate::Silent => silent += 1,
        }
    }
    Granter::Unknown
}

/// Instance that may grant permits.
#[derive(Clone, Debug, PartialEq)]
pub enum Candidate {
    /// This instance.
    Own,
    /// An instance whose heartbeats are received.
    Heard(InstanceId),
    /// An instance that may be running, but is not heard.
    Silent,
}

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

#[derive(Debug)]
struct Schedule {
    // When the next permit can be granted.
    next: Instant,
    // When the next instance that is refused is to ask again.
    next_turn: Instant,
}

/// Permits that this instance grants.
#[derive(Debug, Default)]
pub struct GrantTable {
    servers: Map<ServerId, Schedule>,
}

impl GrantTable {
    /// Grants or refuses a permit for a server, of whose `rate` this instance grants `share`, in a
    /// fleet of `instances`.
    ///
    /// The first permit is granted after a pause, in which the other instances hear of this one.
    pub fn grant(
        &mut self,
        now: Instant,
        server: &ServerId,
        (rate, share): (RequestRate, f64),
        instances: u32,
    ) -> PermitAnswer {
        let pause = heartbeat_interval(instances).max(MIN_PAUSE);
        let max_turn = MIN_MAX_TURN.max(MAX_TURN_PER_INSTANCE * instances);
        let schedule = self.servers.entry(server.clone()).or_insert(Schedule {
            next: now + pause,
            next_turn: now + pause,
        });
        let interval = Duration::try_from_secs_f64(1.0 / (rate * share))
            .map_or(MAX_INTERVAL, |interval| interval.min(MAX_INTERVAL));
        if rate > 0.0 && now >= schedule.next {
            // Requests arrive unevenly, so a permit that was not asked for in time is kept, but by
            // the first candidate only: the bound over all candidates counts on it.
            let kept = if share < 1.0 {
                Duration::ZERO
            } else {
                interval
            };
            let earliest = now.checked_sub(kept).unwrap_or(now);
            schedule.next = schedule.next.max(earliest) + interval;
            return PermitAnswer::Granted;
        }
        let turn = schedule.next_turn.max(schedule.next).max(now);
        schedule.next_turn = (turn + interval).min(now + max_turn);
        PermitAnswer::Refused(turn.saturating_duration_since(now).min(max_turn))
    }

    /// Forgets the servers for which this instance no longer grants permits.
    pub fn retain<F>(&mut self, is_own: F)
    where
        F: Fn(&str) -> bool,
    {
        self.servers.retain(|server, _| is_own(server));
    }
}
