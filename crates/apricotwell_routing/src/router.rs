//! The choice itself.

use std::time::{Duration, Instant};

use apricotwell_types::{Map, ServerId, ZoneId};

use crate::health::ServerHealth;
use crate::prefix::{PrefixKey, PrefixMap};

/// Cost of another zone, as a share of a full server.
const ZONE_COST: f64 = 0.15;
/// Gain of a cached prefix, as a share of a full server.
const PREFIX_GAIN: f64 = 0.30;
/// Time in which a new replica comes up to its full share.
const RAMP: Duration = Duration::from_secs(5);
/// Cost of a replica that has just become ready, as a share of a full server.
const RAMP_COST: f64 = 0.5;
/// Prefixes remembered.
const MAX_PREFIXES: usize = 8192;
/// Age beyond which a load report says nothing.
const REPORT_LIFETIME: Duration = Duration::from_secs(10);

/// Server that could run a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Server.
    pub server: ServerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// When its replica became ready.
    pub ready_at: Instant,
}

/// Load as a server reported it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests running and waiting on the server.
    pub requests: u32,
    /// When the server measured it, by this instance's clock.
    pub measured_at: Instant,
}

#[derive(Debug, Default)]
struct ServerView {
    own: u32,
    // Own requests in flight when the report was measured.
    own_at_report: u32,
    report: Option<LoadReport>,
    health: ServerHealth,
}

/// Chooses servers by load, zone, prefix and health.
#[derive(Debug)]
pub struct Router {
    zone: ZoneId,
    servers: Map<ServerId, ServerView>,
    prefixes: PrefixMap,
}

impl Router {
    /// Returns a router of an instance in `zone`.
    pub fn new(zone: ZoneId) -> Self {
        Self {
            zone,
            servers: Map::default(),
            prefixes: PrefixMap::new(MAX_PREFIXES),
        }
    }

    /// Returns the best server with a free slot.
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
        // With half of the servers ejected the fault is likely elsewhere: use them all.
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
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, candidate));
            }
        }
        best.map(|(_, candidate)| candidate.server.clone())
    }

    /// Returns the estimated number of requests on a server.
    pub fn estimated_load(&self, now: Instant, server: &str) -> f64 {
        let Some(view) = self.servers.get(server) else {
            return 0.0;
        };
        let own = f64::from(view.own);
        let Some(report) = view.report else {
            return own;
        };
        if now.saturating_duration_since(report.measured_at) > REPORT_LIFETIME {
            return own;
        }
        let others = report.requests.saturating_sub(view.own_at_report);
        own + f64::from(others)
    }

    /// Notes a request given to a server.
    pub fn begin_request(&mut self, server: &ServerId, prefix: Option<PrefixKey>) {
        self.servers.entry(server.clone()).or_default().own += 1;
        if let Some(prefix) = prefix {
            self.prefixes.insert(prefix, server.clone());
        }
    }

    /// Notes the end of a request on a server.
    pub fn end_request(&mut self, now: Instant, server: &str, answered: bool) {
        let Some(view) = self.servers.get_mut(server) else {
            return;
        };
        view.own = view.own.saturating_sub(1);
        if answered {
            view.health.record_success();
        } else {
            view.health.record_failure(now);
        }
    }

    /// Takes back a start: the request was not given to the server after all.
    pub fn cancel_request(&mut self, server: &str) {
        if let Some(view) = self.servers.get_mut(server) {
            view.own = view.own.saturating_sub(1);
        }
    }

    /// Notes a load report.
    pub fn record_report(&mut self, server: &ServerId, report: LoadReport) {
        let view = self.servers.entry(server.clone()).or_default();
        view.own_at_report = view.own;
        view.report = Some(report);
    }

    /// Forgets a server's caches, after a gap in its events or its restart.
    pub fn remove_prefixes(&mut self, server: &str) {
        self.prefixes.remove_server(server);
    }

    /// Returns this instance's requests in flight on a server.
    pub fn own_requests(&self, server: &str) -> u32 {
        self.servers.get(server).map_or(0, |view| view.own)
    }

    fn is_ejected(&self, now: Instant, server: &str) -> bool {
        let view = self.servers.get(server);
        view.is_some_and(|view| view.health.is_ejected(now))
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
            score += ZONE_COST;
        }
        if cached == Some(&candidate.server) {
            score -= PREFIX_GAIN;
        }
        let age = now.saturating_duration_since(candidate.ready_at);
        if age < RAMP && load > 0.0 {
            score += RAMP_COST * (1.0 - age.as_secs_f64() / RAMP.as_secs_f64());
        }
        score
    }
}
