//! Servers with limits: whom to ask for permits, and when a limited server is tried.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use apricotwell_messages::{PermitRequest, PermitResponse};
use apricotwell_permits::prelude::*;
use apricotwell_types::{InstanceId, ServerId, rendezvous_rank};

use super::{Admission, Dispatcher, hash};
use crate::peers::{PeerTable, heartbeat_interval};

/// Heartbeat intervals for which a changed limit or a server that leaves is reported.
const REPORTED_INTERVALS: u32 = 3;
/// Interval per instance of the fleet at which an instance uses a limited server although others
/// can run its requests, to learn whether the limit still holds.
const PROBE_INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(100);

// The fleet as this instance knows it from heartbeats and the store's group.
struct HeardFleet<'a> {
    own: &'a InstanceId,
    peers: &'a PeerTable,
}

impl FleetView for HeardFleet<'_> {
    fn ranked(&self, now: Instant, server: &str) -> Vec<Candidate> {
        let item = hash(&[server]);
        let mut instances = self.peers.heartbeat_targets();
        instances.push(self.own.clone());
        instances.sort_by_key(|instance| Reverse(rendezvous_rank(item, instance)));
        let candidates = instances.into_iter().map(|instance| {
            if instance == *self.own {
                Candidate::Own
            } else if self.peers.is_heard(now, &instance) {
                Candidate::Heard(instance)
            } else {
                Candidate::Silent
            }
        });
        candidates.collect()
    }

    fn heard_share(&self, now: Instant) -> f64 {
        let reporting = self.peers.reporting_count(now);
        reporting as f64 / self.peers.possible_count().max(reporting) as f64
    }

    fn instances(&self) -> u32 {
        self.peers.possible_count() as u32
    }

    fn announcement_time(&self) -> Duration {
        heartbeat_interval(self.instances())
    }
}

impl Dispatcher {
    /// Returns the time for which the heartbeats report a changed limit or a server that leaves.
    pub(super) fn limit_report_time(&self) -> Duration {
        heartbeat_interval(self.peers.possible_count() as u32) * REPORTED_INTERVALS
    }

    /// Registers the requests for permits that are due. Returns those to send to other instances,
    /// and whether this instance granted itself one.
    pub fn take_permit_requests(
        &mut self,
        now: Instant,
    ) -> (Vec<(InstanceId, PermitRequest)>, bool) {
        let (own, peers) = (&self.config.id, &self.peers);
        self.limited.take_requests(now, &HeardFleet { own, peers })
    }

    /// Answers another instance's request for a permit; `None` if the request is malformed.
    pub fn answer_permit(
        &mut self,
        now: Instant,
        request: &PermitRequest,
    ) -> Option<PermitResponse> {
        let (own, peers) = (&self.config.id, &self.peers);
        self.limited
            .answer(now, &HeardFleet { own, peers }, request)
    }

    /// Asks for a permit for a limited server that can run the request, if no instance has used the
    /// server for some time; returns whether a permit is to be asked for.
    ///
    /// To be called for requests that other servers run: a server without requests could not tell
    /// that its limit no longer holds.
    pub fn probe_limits(&mut self, now: Instant, admission: &Admission) -> bool {
        let interval = PROBE_INTERVAL_PER_INSTANCE * self.peers.possible_count() as u32;
        let requested = admission.requested_model.as_ref();
        let stale = self.limited.limits.limited().filter(|(server, at)| {
            now.saturating_duration_since(*at) >= interval
                && self.backends.get(server).is_some_and(|server| {
                    server.entry.service == admission.service
                        && self.backends.is_usable(now, server)
                        && server.serves(now, requested)
                })
        });
        let stale: Vec<ServerId> = stale.map(|(server, _)| server.clone()).collect();
        let mut is_due = false;
        for server in stale {
            is_due |= self.limited.permits.probe(now, &server, interval);
        }
        is_due
    }

    // Forgets limits of servers that left, and what was granted in place of other instances.
    pub(super) fn expire_limits(&mut self, now: Instant) {
        let (own, peers) = (&self.config.id, &self.peers);
        let backends = &self.backends;
        let is_listed = |server: &str| backends.get(server).is_some();
        self.limited
            .expire(now, &HeardFleet { own, peers }, is_listed);
    }
}
