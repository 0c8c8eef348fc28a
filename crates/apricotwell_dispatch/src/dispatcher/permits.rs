//! Permits for servers with a limit: whom to ask, and what to answer.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use apricotwell_messages::{PermitRequest, PermitResponse};
use apricotwell_types::{InstanceId, ServerId, rendezvous_rank};

use super::{Admission, Dispatcher, hash};
use crate::peers::heartbeat_interval;
use crate::permits::{Candidate, Granter, PermitAnswer, select_granter};

/// Time after which to ask again if another instance grants the permits.
const REDIRECT_RETRY: Duration = Duration::from_millis(300);
/// Heartbeat intervals for which a changed limit is reported.
const REPORTED_INTERVALS: u32 = 3;
/// Interval per instance of the fleet at which an instance uses a limited server although others
/// can run its requests, to learn whether the limit still holds.
const PROBE_INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(100);

impl Dispatcher {
    /// Returns the time for which the heartbeats report a changed limit.
    pub(super) fn limit_report_time(&self) -> Duration {
        heartbeat_interval(self.peers.possible_count() as u32) * REPORTED_INTERVALS
    }

    /// Registers the requests for permits that are due. Returns those to send to other instances,
    /// and whether this instance granted itself one.
    pub fn take_permit_requests(
        &mut self,
        now: Instant,
    ) -> (Vec<(InstanceId, PermitRequest)>, bool) {
        let mut requests = Vec::new();
        let mut has_granted = false;
        for (number, server) in self.permits.take_due(now) {
            let Some(limit) = self.server_limits.encode(now, &server) else {
                continue;
            };
            match self.granter(now, &server) {
                Granter::Peer(instance) => {
                    requests.push((instance, PermitRequest { number, limit }));
                }
                Granter::Own(share) => {
                    let answer = self.grant(now, &server, share);
                    has_granted |= answer == PermitAnswer::Granted;
                    self.permits.apply(now, &server, number, answer);
                }
                Granter::Unknown => {
                    let answer = PermitAnswer::Refused(REDIRECT_RETRY);
                    self.permits.apply(now, &server, number, answer);
                }
            }
        }
        (requests, has_granted)
    }

    /// Answers another instance's request for a permit; `None` if the request is malformed.
    pub fn answer_permit(
        &mut self,
        now: Instant,
        request: &PermitRequest,
    ) -> Option<PermitResponse> {
        self.server_limits.apply_limit(now, &request.limit);
        let server: ServerId = request.limit.server.as_str().into();
        let limit = self.server_limits.encode(now, &server)?;
        let answer = match self.granter(now, &server) {
            Granter::Own(share) => self.grant(now, &server, share),
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
    pub fn apply_permit(&mut self, now: Instant, response: &PermitResponse) -> bool {
        self.server_limits.apply_limit(now, &response.limit);
        let answer = if response.granted {
            PermitAnswer::Granted
        } else {
            PermitAnswer::Refused(Duration::from_millis(u64::from(response.retry_ms)))
        };
        let server = response.limit.server.as_str();
        let is_known = self.permits.apply(now, server, response.number, answer);
        is_known || self.server_limits.rate(server).is_none()
    }

    /// Asks for a permit for a limited server that can run the request, if no instance has used the
    /// server for some time; returns whether a permit is to be asked for.
    ///
    /// To be called for requests that other servers run: a server without requests could not tell
    /// that its limit no longer holds.
    pub fn probe_limits(&mut self, now: Instant, admission: &Admission) -> bool {
        let interval = PROBE_INTERVAL_PER_INSTANCE * self.peers.possible_count() as u32;
        let requested = admission.requested_model.as_ref();
        let stale = self.server_limits.limited().filter(|(server, at)| {
            now.saturating_duration_since(*at) >= interval
                && self.backends.get(server).is_some_and(|server| {
                    server.entry.service == admission.service
                        && server.is_usable(now)
                        && server.serves(now, requested)
                })
        });
        let stale: Vec<ServerId> = stale.map(|(server, _)| server.clone()).collect();
        let mut is_due = false;
        for server in stale {
            is_due |= self.permits.probe(now, &server, interval);
        }
        is_due
    }

    // Forgets limits of servers that left, and what was granted in place of other instances.
    pub(super) fn expire_limits(&mut self, now: Instant) {
        let backends = &self.backends;
        self.server_limits
            .retain(|server| backends.get(server).is_some());
        let limits = &self.server_limits;
        self.permits.retain(|server| limits.rate(server).is_some());
        let mut grants = std::mem::take(&mut self.grants);
        grants.retain(|server| {
            self.server_limits.rate(server).is_some()
                && matches!(self.granter(now, server), Granter::Own(_))
        });
        self.grants = grants;
    }

    fn grant(&mut self, now: Instant, server: &ServerId, share: f64) -> PermitAnswer {
        let Some(rate) = self.server_limits.rate(server) else {
            // The response says that the limit was lifted, so no permit is needed.
            return PermitAnswer::Granted;
        };
        let instances = self.peers.possible_count() as u32;
        self.grants.grant(now, server, (rate, share), instances)
    }

    // Returns who grants the permits for a server.
    fn granter(&self, now: Instant, server: &str) -> Granter {
        let own = &self.config.id;
        let item = hash(&[server]);
        let mut instances = self.peers.heartbeat_targets();
        instances.push(own.clone());
        instances.sort_by_key(|instance| Reverse(rendezvous_rank(item, instance)));
        let ranked = instances.into_iter().map(|instance| {
            if instance == *own {
                Candidate::Own
            } else if self.peers.is_heard(now, &instance) {
                Candidate::Heard(instance)
            } else {
                Candidate::Silent
            }
        });
        let (reporting, possible) = (self.peers.reporting_count(now), self.peers.possible_count());
        select_granter(ranked, reporting as f64 / possible.max(reporting) as f64)
    }
}
