//! What instances tell each other.

use std::time::Instant;

use apricotwell_messages::{Heartbeat, ServerUse, Spending};
use apricotwell_types::{InstanceId, Map, OrgId, Tokens};

use super::Dispatcher;
use crate::catalog::Catalog;

impl Dispatcher {
    /// Returns this instance's heartbeat, without demand and stock.
    pub fn heartbeat(&mut self, now: Instant) -> Heartbeat {
        self.heartbeats += 1;
        let servers = self.backends.iter().filter(|server| server.own > 0);
        let fence = self.lease.fence(now);
        Heartbeat {
            instance: self.facts.id.to_string(),
            incarnation: self.facts.incarnation,
            number: self.heartbeats,
            address: self.facts.address.clone(),
            ready: self.is_ready(now),
            servers: servers
                .map(|server| ServerUse {
                    server: server.entry.id.to_string(),
                    requests: server.own,
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
            stock: Vec::new(),
            zone: self.facts.zone.to_string(),
        }
    }

    /// Applies another instance's heartbeat.
    pub fn note_heartbeat(&mut self, now: Instant, heartbeat: &Heartbeat) -> bool {
        if heartbeat.instance == *self.facts.id || !self.peers.note_heartbeat(now, heartbeat) {
            return false;
        }
        let instance: InstanceId = heartbeat.instance.as_str().into();
        let requests: Map<&str, u32> = heartbeat
            .servers
            .iter()
            .map(|usage| (usage.server.as_str(), usage.requests))
            .collect();
        self.backends.note_use(&instance, &requests);
        if let Some(catalog) = self.catalog.clone() {
            self.note_spending(now, &catalog, &instance, heartbeat);
        }
        self.lease.note_other(heartbeat.fence);
        if heartbeat.fence > 0 {
            for stock in &heartbeat.stock {
                self.backends.note_stock(now, heartbeat.fence, stock);
            }
        }
        true
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
                .note_spending(now, instance, incarnation, organisation, spent, fleet);
        }
    }
}
