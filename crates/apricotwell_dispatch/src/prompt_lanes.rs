//! Division of the servers of a model between long and short prompts.
//!
//! An engine processes prompts one after the other, so a short prompt behind a long one waits for
//! it. Every instance ranks the servers identically, and long prompts prefer the first ones of this
//! ranking, as many as their share of the work requires. Short prompts prefer the others. The
//! ranking is by server and not by model, so that models which share a server divide it alike.
//! See `docs/design/engine-load.md`.

use std::time::{Duration, Instant};

use apricotwell_messages::PromptWork;
use apricotwell_types::{InstanceId, Map, ServerId, rendezvous_rank};

use crate::catalog::{Route, ServiceId};

/// Part of a stream's target for pauses from which on a prefill counts as long.
const LONG_PREFILL_PART: f64 = 1.0 / 3.0;
/// Part of the target of a long prompt that it waits in its own lane before it uses the other one.
const LONG_WAIT_PART: f64 = 1.0 / 3.0;
/// Time constant of the exponential decay of the measured work. Traffic changes within about 10 s,
/// and an instance needs some tens of requests for a share.
const WORK_DECAY: Duration = Duration::from_secs(10);
/// Seed of the ranking, the same in all instances: "lane" in ASCII.
const RANKING: u64 = 0x6c61_6e65;

/// Kind of prompts that a server is preferred for, or that a prompt belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromptLane {
    /// Prompts that hardly delay others.
    Short,
    /// Prompts whose prefill takes a notable part of the target for pauses.
    Long,
}

impl PromptLane {
    /// Returns the lane of a prompt by the time of its prefill in ms.
    pub fn of_prefill(route: &Route, prefill_ms: f64) -> Self {
        if prefill_ms >= least_long_prefill_ms(route) {
            Self::Long
        } else {
            Self::Short
        }
    }

    /// Returns the expected delay in ms that a request of this lane accepts on its own servers
    /// before it uses those of the other lane.
    ///
    /// A short prompt in the lane of long ones waits for one of them. A long prompt in the lane of
    /// short ones delays many, so it waits for a part of its target first.
    pub fn detour_ms(self, route: &Route) -> f64 {
        match self {
            Self::Short => least_long_prefill_ms(route),
            Self::Long => route.target.as_secs_f64() * 1000.0 * LONG_WAIT_PART,
        }
    }
}

fn least_long_prefill_ms(route: &Route) -> f64 {
    route.gap_target.as_secs_f64() * 1000.0 * LONG_PREFILL_PART
}

/// Work of engines for recent requests, in ms, decayed over time.
#[derive(Clone, Copy, Debug)]
struct RecentWork {
    short_ms: f64,
    long_ms: f64,
    at: Instant,
}

impl RecentWork {
    // Decays the work up to `now`.
    fn decay(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        let kept = (-age / WORK_DECAY.as_secs_f64()).exp();
        self.short_ms *= kept;
        self.long_ms *= kept;
        self.at = now;
    }
}

/// Recent work for long and short prompts at this instance and at the others.
///
/// An instance alone sees too few requests for a stable share, and servers at the boundary would
/// get long prompts of some instances and short ones of others.
#[derive(Debug, Default)]
pub struct PromptLanes {
    own: Map<ServiceId, RecentWork>,
    peers: Map<InstanceId, Vec<PromptWork>>,
}

impl PromptLanes {
    /// Records the work for a request that ended.
    pub fn record(&mut self, now: Instant, service: &ServiceId, lane: PromptLane, time: Duration) {
        let work_ms = time.as_secs_f64() * 1000.0;
        let work = self.own.entry(service.clone()).or_insert(RecentWork {
            short_ms: 0.0,
            long_ms: 0.0,
            at: now,
        });
        work.decay(now);
        match lane {
            PromptLane::Short => work.short_ms += work_ms,
            PromptLane::Long => work.long_ms += work_ms,
        }
    }

    /// Returns this instance's work, for its heartbeat.
    pub fn report(&mut self, now: Instant) -> Vec<PromptWork> {
        let reports = self.own.iter_mut().map(|(service, work)| {
            work.decay(now);
            PromptWork {
                service: service.to_string(),
                short_ms: work.short_ms as u32,
                long_ms: work.long_ms as u32,
            }
        });
        reports.collect()
    }

    /// Sets the work of another instance.
    pub fn set_peer_work(&mut self, instance: &InstanceId, work: &[PromptWork]) {
        if work.is_empty() {
            self.peers.remove(instance);
        } else {
            self.peers.insert(instance.clone(), work.to_vec());
        }
    }

    /// Removes the work of an instance that timed out.
    pub fn remove_instance(&mut self, instance: &str) {
        self.peers.remove(instance);
    }

    /// Returns the share of long prompts in the recent work of a service, from 0 to 1.
    pub fn long_share(&self, service: &str) -> f64 {
        let own = self.own.get(service);
        let own = own.map_or((0.0, 0.0), |work| (work.short_ms, work.long_ms));
        let peers = self.peers.values().flatten();
        let (short, long) = peers
            .filter(|work| work.service == service)
            .map(|work| (f64::from(work.short_ms), f64::from(work.long_ms)))
            .fold(own, |sum, work| (sum.0 + work.0, sum.1 + work.1));
        long / (long + short).max(f64::MIN_POSITIVE)
    }
}

/// Returns a server's rank; those with the highest ranks are preferred for long prompts.
pub fn lane_rank(server: &ServerId) -> u64 {
    rendezvous_rank(RANKING, server)
}

/// Division of some servers by their ranks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LaneSplit {
    // Lowest rank of the servers for long prompts; `None` if the servers are not divided.
    first_long: Option<u64>,
}

impl LaneSplit {
    /// Divides servers with the given ranks; `long_share` is the share of long prompts in the work.
    ///
    /// Each lane has at least one server. A single server is not divided, nor are any while all
    /// prompts are of one lane.
    pub fn new(long_share: f64, mut ranks: Vec<u64>) -> Self {
        if ranks.len() < 2 || long_share <= 0.0 || long_share >= 1.0 {
            return Self { first_long: None };
        }
        let count = (long_share * ranks.len() as f64).round() as usize;
        let shorts = ranks.len() - count.clamp(1, ranks.len() - 1);
        let (_, first_long, _) = ranks.select_nth_unstable(shorts);
        Self {
            first_long: Some(*first_long),
        }
    }

    /// Returns the lane that a server with this rank is preferred for, `None` for both.
    pub fn lane(self, rank: u64) -> Option<PromptLane> {
        let first_long = self.first_long?;
        Some(if rank >= first_long {
            PromptLane::Long
        } else {
            PromptLane::Short
        })
    }
}
