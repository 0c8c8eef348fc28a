//! What instances tell each other.

use std::time::Instant;

use apricotwell_messages::{Heartbeat, ServerUse, Spending, StockTold};
use apricotwell_types::{InstanceId, Map, OrgId, Tokens};

use super::Dispatcher;
use crate::catalog::Catalog;

/// Instances of a zone that pass on in turn what servers hold, so that a silent one holds up no more
/// than every other time.
const STOCK_RELAYS: usize = 2;

impl Dispatcher {
    /// Returns this instance's heartbeat, without demand.
    pub fn heartbeat(&mut self, now: Instant) -> Heartbeat {
        self.heartbeats += 1;
        let servers = self
            .backends
            .iter()
            .filter(|server| server.own_requests > 0);
        let fence = self.lease.announced_fence(now);
        Heartbeat {
            instance: self.config.id.to_string(),
            incarnation: self.config.incarnation,
            number: self.heartbeats,
            address: self.config.address.clone(),
            ready: self.is_ready(now),
            servers: servers
                .map(|server| ServerUse {
                    server: server.entry.id.to_string(),
                    requests: server.own_requests,
                })
                .collect(),
            spending: self
                .quotas
                .spending()
                .map(|(organisation, tokens, fleet)| Spending {
                    organisation: organisation.to_string(),
                    tokens,
                    fleet,
                })
                .collect(),
            models: Vec::new(),
            fence: fence.unwrap_or_default(),
            zone: self.config.zone.to_string(),
        }
    }

    /// Notes that all other instances are told what is spent here.
    pub fn on_spending_reported(&mut self, now: Instant) {
        self.quotas.mark_reported(now);
    }

    /// Applies another instance's heartbeat.
    pub fn apply_heartbeat(&mut self, now: Instant, heartbeat: &Heartbeat) -> bool {
        if heartbeat.instance == *self.config.id || !self.peers.apply_heartbeat(now, heartbeat) {
            return false;
        }
        let instance: InstanceId = heartbeat.instance.as_str().into();
        let requests: Map<&str, u32> = heartbeat
            .servers
            .iter()
            .map(|usage| (usage.server.as_str(), usage.requests))
            .collect();
        self.backends.set_peer_requests(&instance, &requests);
        if let Some(catalog) = self.catalog.clone() {
            self.note_spending(now, &catalog, &instance, heartbeat);
        }
        self.lease.observe_fence(heartbeat.fence);
        true
    }

    /// Applies what the lease holder tells of servers.
    pub fn apply_inventory(&mut self, now: Instant, told: &StockTold) {
        for stock in &told.servers {
            self.backends.apply_inventory(now, told.fence, stock);
        }
    }

    /// Returns the instances to which the lease holder tells what servers hold, and for each whether
    /// it is to pass that on: its own zone's, and one of each other zone, another one every time.
    pub fn inventory_recipients(&self, now: Instant, turn: usize) -> Vec<(InstanceId, bool)> {
        let mut audience = Vec::new();
        for (zone, instances) in self.peers.alive_by_zone(now) {
            if zone == self.config.zone {
                audience.extend(instances.into_iter().map(|instance| (instance, false)));
            } else {
                let relays = instances.len().min(STOCK_RELAYS);
                audience.push((instances[turn % relays].clone(), true));
            }
        }
        audience
    }

    /// Returns the other instances of this one's zone.
    pub fn zone_peers(&self, now: Instant) -> Vec<InstanceId> {
        let mut zones = self.peers.alive_by_zone(now);
        zones.remove(&self.config.zone).unwrap_or_default()
    }

    fn note_spending(
        &mut self,
        now: Instant,
        catalog: &Catalog,
        instance: &InstanceId,
        heartbeat: &Heartbeat,
    ) {
        let spending: Map<&str, (Tokens, Tokens)> = heartbeat
            .spending
            .iter()
            .map(|told| (told.organisation.as_str(), (told.tokens, told.fleet)))
            .collect();
        for organisation in catalog.organisations() {
            let name: &OrgId = &organisation.name;
            let (spent, fleet) = spending.get(&**name).copied().unwrap_or_default();
            let incarnation = heartbeat.incarnation;
            self.quotas
                .apply_spending(now, instance, incarnation, organisation, spent, fleet);
        }
    }
}
