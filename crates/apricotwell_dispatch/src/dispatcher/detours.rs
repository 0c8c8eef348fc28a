//! Requests that another instance serves, since this one reaches no server of their service.

use std::net::SocketAddr;
use std::time::Instant;

use apricotwell_types::{InstanceId, ServerId, ZoneId, rendezvous_owner};

use super::{Dispatcher, hash};
use crate::backends::Backend;
use crate::catalog::ServiceId;

impl Dispatcher {
    /// Records whether a server accepted a connection; returns whether that changed the reachability of
    /// its service, which the other instances need to know.
    pub fn record_connection(&mut self, now: Instant, server: &str, is_accepted: bool) -> bool {
        let Some(backend) = self.backends.get(server) else {
            return false;
        };
        let service = backend.entry.service.clone();
        let before = self.is_unreachable(now, &service);
        if is_accepted {
            self.reach.record_success(&service);
        } else {
            let server = backend.entry.id.clone();
            self.reach.record_failure(now, backend);
            self.suspect_restart(now, &server);
        }
        self.is_unreachable(now, &service) != before
    }

    /// Returns whether this instance reaches no server of a service.
    pub fn is_unreachable(&self, now: Instant, service: &str) -> bool {
        let usable = self.backends.usable(now, service);
        self.reach.is_unreachable(service, usable)
    }

    /// Returns the services of which this instance reaches no server.
    pub fn unreachable_services(&self, now: Instant) -> Vec<ServiceId> {
        let suspected = self.reach.suspected();
        let unreachable = suspected.filter(|service| self.is_unreachable(now, service));
        unreachable.cloned().collect()
    }

    /// Returns whether this instance reaches no engine of some service that another instance may reach.
    pub fn is_cut_from_engines(&self, now: Instant) -> bool {
        let Some(catalog) = &self.catalog else {
            return false;
        };
        let has_engines = |service: &ServiceId| {
            catalog
                .service(service)
                .is_some_and(|service| service.engine.is_some())
        };
        let unreachable = self.unreachable_services(now);
        let mut engines = unreachable.iter().filter(|service| has_engines(service));
        engines.any(|service| !self.peers.reaching(now, service).is_empty())
    }

    /// Returns the servers that show, by accepting a connection or not, which services are reachable.
    pub fn probe_targets(&mut self, now: Instant) -> Vec<(ServerId, SocketAddr)> {
        let suspected: Vec<ServiceId> = self.reach.suspected().cloned().collect();
        let mut targets = Vec::new();
        for service in suspected {
            let usable: Vec<&Backend> = self.backends.usable(now, &service).collect();
            let probed = self.reach.probe_targets(&service, &usable);
            targets.extend(
                probed
                    .iter()
                    .map(|server| (server.entry.id.clone(), server.entry.address)),
            );
        }
        targets
    }

    /// Returns the instance that a request is passed on to, `None` if none may reach its service.
    ///
    /// It is one of this zone, as long as at least half of the zone's instances may reach the service;
    /// otherwise one of the whole fleet, so that the few that are left don't carry all. One that is
    /// stopping is the last resort: it serves for some seconds, then says that it does not.
    pub fn detour(
        &self,
        now: Instant,
        service: &str,
        attempt: &str,
        tried: &[ServerId],
    ) -> Option<InstanceId> {
        let is_new = |instance: &&InstanceId| tried.iter().all(|tried| **tried != ***instance);
        let candidates = self.zone_first(now, self.peers.reaching(now, service));
        let mut new: Vec<&InstanceId> = candidates.into_iter().filter(is_new).collect();
        if new.is_empty() {
            let stopping = self.peers.reaching_until_stopped(now, service).into_iter();
            new.extend(stopping.map(|(instance, _)| instance).filter(is_new));
        }
        let new = new.into_iter().map(|instance| &**instance);
        let chosen = rendezvous_owner(hash(&[attempt]), new)?;
        Some(chosen.into())
    }

    fn zone_first<'a>(
        &self,
        now: Instant,
        candidates: Vec<(&'a InstanceId, &ZoneId)>,
    ) -> Vec<&'a InstanceId> {
        let own_zone: Vec<&InstanceId> = candidates
            .iter()
            .filter(|(_, zone)| **zone == self.config.zone)
            .map(|(instance, _)| *instance)
            .collect();
        let zone_size = 1 + self.zone_peers(now).len();
        if own_zone.len() * 2 >= zone_size {
            return own_zone;
        }
        let all = candidates.into_iter();
        all.map(|(instance, _)| instance).collect()
    }
}
