//! The router.

use std::time::{Duration, Instant};

use apricotwell_types::{Map, ServerId, ZoneId};

use crate::health::ServerHealth;
use crate::prefix::{PrefixKey, PrefixMap};

/// Score penalty of another zone; a fully loaded server has a score of 1.
const ZONE_PENALTY: f64 = 0.15;
/// Score bonus of a cached prefix; a fully loaded server has a score of 1.
const PREFIX_BONUS: f64 = 0.30;
/// Time over which the penalty of a new replica falls to 0.
const RAMP_TIME: Duration = Duration::from_secs(5);
/// Score penalty of a replica that has just become ready, unless its server is idle; a fully loaded
/// server has a score of 1.
const RAMP_PENALTY: f64 = 0.5;
/// Largest number of prefixes kept.
const MAX_PREFIXES: usize = 8192;
/// Age beyond which a load report is ignored.
const REPORT_LIFETIME: Duration = Duration::from_secs(10);

/// Server that can run a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Id of the server.
    pub server: ServerId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// When its replica became ready.
    pub ready_at: Instant,
}

/// Load that a server reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of requests running and waiting on the server.
    pub requests: u32,
    /// When the server measured it, by this instance's clock.
    pub measured_at: Instant,
}

#[derive(Debug, Default)]
struct ServerState {
    // This instance's requests in flight on the server.
    own_requests: u32,
    // The same number when the last report was received, which is assumed to include them.
    own_at_report: u32,
    report: Option<LoadReport>,
    health: ServerHealth,
}

/// Selects servers by load, zone, prefix and health.
#[derive(Debug)]
pub struct Router {
    zone: ZoneId,
    servers: Map<ServerId, ServerState>,
    prefixes: PrefixMap,
}

impl Router {
    /// Creates a router for an instance in `zone`.
    pub fn new(zone: ZoneId) -> Self {
        Self {
            zone,
            servers: Map::default(),
            prefixes: PrefixMap::new(MAX_PREFIXES),
        }
    }

    /// Returns the server with the lowest score among those with a free slot, if any.
    pub fn select_server(
        &self,
        now: Instant,
        candidates: &[Candidate],
        prefix: Option<PrefixKey>,
    ) -> Option<ServerId> {
        let ejected = candidates
            .iter()
            .filter(|candidate| self.is_ejected(now, &candidate.server))
            .count();
        // If more than half of the servers are ejected, the fault is likely elsewhere, and all of them
        // are used.
        let ignore_health = ejected * 2 > candidates.len() || ejected == candidates.len();
        let cached = prefix.and_then(|prefix| self.prefixes.get(prefix));
        let mut best: Option<(f64, &Candidate)> = None;
        for candidate in candidates {
            if !ignore_health && self.is_ejected(now, &candidate.server) {
                continue;
            }
            let load = self.estimated_load(now, &candidate.server);
            if load >= f64::from(candidate.slots) {
                continue;
            }
            let score = self.score(now, candidate, load, cached);
            if best.is_none_or(|(best_score, _)| score < best_score) {
                best = Some((score, candidate));
            }
        }
        best.map(|(_, candidate)| candidate.server.clone())
    }

    /// Returns the estimated number of requests running and waiting on a server.
    pub fn estimated_load(&self, now: Instant, server: &str) -> f64 {
        let Some(state) = self.servers.get(server) else {
            return 0.0;
        };
        let own_requests = f64::from(state.own_requests);
        let Some(report) = state.report else {
            return own_requests;
        };
        if now.saturating_duration_since(report.measured_at) > REPORT_LIFETIME {
            return own_requests;
        }
        let others = report.requests.saturating_sub(state.own_at_report);
        own_requests + f64::from(others)
    }

    /// Records a request that is dispatched to a server.
    pub fn begin_request(&mut self, server: &ServerId, prefix: Option<PrefixKey>) {
        self.servers.entry(server.clone()).or_default().own_requests += 1;
        if let Some(prefix) = prefix {
            self.prefixes.insert(prefix, server.clone());
        }
    }

    /// Records the end of a request.
    ///
    /// `healthy` is true if the server answered, even with an error, or if the client disconnected.
    pub fn end_request(&mut self, now: Instant, server: &str, healthy: bool) {
        let Some(state) = self.servers.get_mut(server) else {
            return;
        };
        state.own_requests = state.own_requests.saturating_sub(1);
        if healthy {
            state.health.record_success();
        } else {
            state.health.record_failure(now);
        }
    }

    /// Reverts [`begin_request`](Self::begin_request) for a request that was not dispatched after all.
    pub fn cancel_request(&mut self, server: &str) {
        if let Some(state) = self.servers.get_mut(server) {
            state.own_requests = state.own_requests.saturating_sub(1);
        }
    }

    /// Records a load report.
    pub fn record_report(&mut self, server: &ServerId, report: LoadReport) {
        let state = self.servers.entry(server.clone()).or_default();
        state.own_at_report = state.own_requests;
        state.report = Some(report);
    }

    /// Removes the cached prefixes of a server, after it restarted or some of its events were missed.
    pub fn remove_prefixes(&mut self, server: &str) {
        self.prefixes.remove_server(server);
    }

    /// Returns the number of this instance's requests in flight on a server.
    pub fn own_requests(&self, server: &str) -> u32 {
        self.servers
            .get(server)
            .map_or(0, |state| state.own_requests)
    }

    fn is_ejected(&self, now: Instant, server: &str) -> bool {
        let state = self.servers.get(server);
        state.is_some_and(|state| state.health.is_ejected(now))
    }

    fn score(
        &self,
        now: Instant,
        candidate: &Candidate,
        load: f64,
        cached: Option<&ServerId>,
    ) -> f64 {
        let mut score = load / f64::from(candidate.slots.max(1));
        if candidate.zone != self.zone {
            score += ZONE_PENALTY;
        }
        if cached == Some(&candidate.server) {
            score -= PREFIX_BONUS;
        }
        let age = now.saturating_duration_since(candidate.ready_at);
        if age < RAMP_TIME && load > 0.0 {
            score += RAMP_PENALTY * (1.0 - age.as_secs_f64() / RAMP_TIME.as_secs_f64());
        }
        score
    }
}
