//! Servers with limits as one instance deals with them: as a sender of requests and as a granter.

use std::time::{Duration, Instant};

use apricotwell_messages::{PermitRequest, PermitResponse};
use apricotwell_types::{InstanceId, ServerId};

use crate::grants::{Candidate, GrantTable, Granter, select_granter};
use crate::limits::LimitTable;
use crate::permits::{PermitAnswer, PermitTable};

/// Time after which to ask again if another instance grants the permits.
const REDIRECT_RETRY: Duration = Duration::from_millis(300);

/// The fleet as one instance sees it.
pub trait FleetView {
    /// Returns all instances that may be running, in the order of their rank for a server.
    fn ranked(&self, now: Instant, server: &str) -> Vec<Candidate>;

    /// Returns the share of these instances that this one hears, itself included.
    fn heard_share(&self, now: Instant) -> f64;

    /// Returns the number of instances that may be running, this one included.
    fn instances(&self) -> u32;

    /// Returns the time within which the others hear of an instance that has started.
    fn announcement_time(&self) -> Duration;
}

/// Limits of servers, and the permits to send within them.
#[derive(Debug)]
pub struct LimitedServers {
    /// Limits that servers named.
    pub limits: LimitTable,
    /// Permits that this instance holds and asks for.
    pub permits: PermitTable,
    // Permits that this instance grants.
    grants: GrantTable,
}

impl LimitedServers {
    /// Returns an empty table of a process with this incarnation, its start in milliseconds.
    pub fn new(incarnation: u64) -> Self {
        Self {
            limits: LimitTable::default(),
            permits: PermitTable::new(incarnation),
            grants: GrantTable::default(),
        }
    }

    /// Registers the requests for permits that are due. Returns those to send to other instances,
    /// and whether this instance granted itself one.
    pub fn take_requests<F>(
        &mut self,
        now: Instant,
        fleet: &F,
    ) -> (Vec<(InstanceId, PermitRequest)>, bool)
    where
        F: FleetView,
    {
        let mut requests = Vec::new();
        let mut has_granted = false;
        for (number, server) in self.permits.take_due(now) {
            let Some(limit) = self.limits.encode(now, &server) else {
                continue;
            };
            let answer = match granter(now, fleet, &server) {
                Granter::Peer(instance) => {
                    requests.push((instance, PermitRequest { number, limit }));
                    continue;
                }
                Granter::Own(share) => self.grant(now, fleet, &server, share),
                Granter::Unknown => PermitAnswer::Refused(REDIRECT_RETRY),
            };
            has_granted |= answer == PermitAnswer::Granted;
            self.permits.apply(now, &server, number, answer);
        }
        (requests, has_granted)
    }

    /// Answers another instance's request for a permit; `None` if the request is malformed.
    pub fn answer<F>(
        &mut self,
        now: Instant,
        fleet: &F,
        request: &PermitRequest,
    ) -> Option<PermitResponse>
    where
        F: FleetView,
    {
        self.limits.apply_limit(now, &request.limit);
        let server: ServerId = request.limit.server.as_str().into();
        let mut limit = self.limits.encode(now, &server)?;
        // The requester knows of the cold state, so that the response need not state it.
        if request.limit.cold_rate.is_some() {
            limit.cold_rate = None;
            limit.cold_ms = 0;
        }
        let answer = match granter(now, fleet, &server) {
            Granter::Own(share) => self.grant(now, fleet, &server, share),
            Granter::Peer(_) | Granter::Unknown => PermitAnswer::Refused(REDIRECT_RETRY),
        };
        let retry = match answer {
            PermitAnswer::Granted => Duration::ZERO,
            PermitAnswer::Refused(retry) => retry,
        };
        Some(PermitResponse {
            number: request.number,
            limit,
            granted: answer == PermitAnswer::Granted,
            retry_ms: retry.as_millis() as u32,
        })
    }

    /// Applies the response to a request for a permit; returns whether waiting requests may go on.
    pub fn apply(&mut self, now: Instant, response: &PermitResponse) -> bool {
        self.limits.apply_limit(now, &response.limit);
        let answer = if response.granted {
            PermitAnswer::Granted
        } else {
            PermitAnswer::Refused(Duration::from_millis(u64::from(response.retry_ms)))
        };
        let server = response.limit.server.as_str();
        let is_known = self.permits.apply(now, server, response.number, answer);
        is_known || self.limits.rate(server).is_none()
    }

    /// Forgets the servers that `is_listed` has rejected for some time, and what was granted in place of other
    /// instances that are heard again.
    pub fn expire<F, L>(&mut self, now: Instant, fleet: &F, is_listed: L)
    where
        F: FleetView,
        L: Fn(&str) -> bool,
    {
        self.limits.expire(now, is_listed);
        let limits = &self.limits;
        self.permits.retain(|server| limits.rate(server).is_some());
        self.grants.retain(|server| {
            limits.rate(server).is_some() && matches!(granter(now, fleet, server), Granter::Own(_))
        });
    }

    fn grant<F>(&mut self, now: Instant, fleet: &F, server: &ServerId, share: f64) -> PermitAnswer
    where
        F: FleetView,
    {
        let Some(rate) = self.limits.rate(server) else {
            // The response says that the limit was lifted, so no permit is needed.
            return PermitAnswer::Granted;
        };
        let pacing = (fleet.instances(), fleet.announcement_time());
        self.grants.grant(now, server, (rate, share), pacing)
    }
}

// Returns who grants the permits for a server.
fn granter<F>(now: Instant, fleet: &F, server: &str) -> Granter
where
    F: FleetView,
{
    select_granter(fleet.ranked(now, server), fleet.heard_share(now))
}
