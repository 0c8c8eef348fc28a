//! Permits that an instance grants to the others.

use std::time::{Duration, Instant};

use apricotwell_types::{InstanceId, Map, ServerId};

use crate::limits::RequestRate;
use crate::permits::PermitAnswer;

/// Longest time after which a refused instance of a small fleet asks again.
const MIN_MAX_TURN: Duration = Duration::from_secs(2);
/// The same per instance of a large fleet, so that a granter is asked at a bounded rate.
const MAX_TURN_PER_INSTANCE: Duration = Duration::from_millis(25);
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
    /// The first permit is granted after `pause`, in which the other instances hear of this one.
    pub fn grant(
        &mut self,
        now: Instant,
        server: &ServerId,
        (rate, share): (RequestRate, f64),
        (instances, pause): (u32, Duration),
    ) -> PermitAnswer {
        let pause = pause.max(MIN_PAUSE);
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
