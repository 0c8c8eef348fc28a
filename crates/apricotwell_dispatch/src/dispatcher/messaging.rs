//! Heartbeats and server inventories that instances exchange.

use std::cmp::Reverse;
use std::time::Instant;

use apricotwell_messages::{Heartbeat, InventoryUpdate, ServerUse, Spending};
use apricotwell_types::{InstanceId, Map, OrgId, rendezvous_rank};

use super::{Dispatcher, hash};
use crate::catalog::Catalog;
use crate::lease::FenceConflict;
use crate::load_notices::LoadNotice;

/// Instances per zone that take turns in relaying server inventories, so that an unreachable relay
/// delays at most every other update.
const INVENTORY_RELAYS: usize = 2;

impl Dispatcher {
    /// Returns this instance's next heartbeat, without the demand for models.
    pub fn heartbeat(&mut self, now: Instant) -> Heartbeat {
        self.heartbeats += 1;
        self.started.get_or_insert(now);
        let crashes = self.crash_knowledge(now);
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
                    tokens: server.load.own_tokens(),
                })
                .collect(),
            spending: self.quotas.spending().collect(),
            models: Vec::new(),
            fence: fence.unwrap_or_default(),
            zone: self.config.zone.to_string(),
            limits: self.limited.limits.recent(now, self.limit_report_time()),
            crashes,
            work: self.lanes.report(now),
            slow: self.slow_servers(now),
            stopping: self.draining && self.can_serve(now),
            unreachable: self
                .unreachable_services(now)
                .iter()
                .map(|service| service.to_string())
                .collect(),
            knows_eras: true,
            leaving: self
                .backends
                .recently_leaving(now, self.limit_report_time()),
        }
    }

    /// Marks this instance's spending as reported to all other instances.
    pub fn on_spending_reported(&mut self, now: Instant) {
        self.quotas.mark_reported(now);
    }

    /// Applies another instance's heartbeat; returns `None` for an outdated or own one, and else whether its
    /// fencing token is in conflict with that of this instance.
    pub fn apply_heartbeat(
        &mut self,
        now: Instant,
        heartbeat: &Heartbeat,
    ) -> Option<FenceConflict> {
        if heartbeat.instance == *self.config.id || !self.peers.apply_heartbeat(now, heartbeat) {
            return None;
        }
        let instance: InstanceId = heartbeat.instance.as_str().into();
        let requests: Map<&str, &ServerUse> = heartbeat
            .servers
            .iter()
            .map(|usage| (usage.server.as_str(), usage))
            .collect();
        self.backends.set_peer_requests(&instance, &requests);
        self.backends.set_peer_slowness(&instance, &heartbeat.slow);
        self.lanes.set_peer_work(&instance, &heartbeat.work);
        if let Some(catalog) = self.catalog.clone() {
            self.apply_spending(now, &catalog, &instance, heartbeat);
        }
        let conflict = self.lease.observe_fence(heartbeat.fence);
        if let Some(crashes) = &heartbeat.crashes {
            self.crashes.apply(now, crashes);
        }
        for limit in &heartbeat.limits {
            self.limited.limits.apply_limit(now, limit);
        }
        for leaving in &heartbeat.leaving {
            let (server, started_ms) = (&leaving.server, leaving.started_ms);
            self.backends.record_leaving(now, server, started_ms, true);
        }
        Some(conflict)
    }

    /// Applies the server inventories that the lease holder sent.
    pub fn apply_inventory(&mut self, now: Instant, update: &InventoryUpdate) {
        for inventory in &update.servers {
            self.backends.apply_inventory(now, update.fence, inventory);
        }
    }

    /// Returns the instances to which the lease holder sends server inventories, and for each
    /// whether it must relay them to its zone.
    ///
    /// These are all instances of this zone and one relay in each other zone; `turn`, which counts
    /// the updates, selects a different relay each time.
    pub fn inventory_recipients(&self, now: Instant, turn: usize) -> Vec<(InstanceId, bool)> {
        let mut recipients = Vec::new();
        for (zone, instances) in self.peers.alive_by_zone(now) {
            if zone == self.config.zone {
                recipients.extend(instances.into_iter().map(|instance| (instance, false)));
            } else {
                let relays = instances.len().min(INVENTORY_RELAYS);
                recipients.push((instances[turn % relays].clone(), true));
            }
        }
        recipients
    }

    /// Returns the notices to send to instances whose requests wait for a model that a server holds now,
    /// and applies the one for this instance; none unless this instance holds the placement lease and
    /// [`Self::expects_waits`].
    pub fn take_load_notices(&mut self, now: Instant) -> Vec<(InstanceId, InventoryUpdate)> {
        let fence = self.lease.fence(now).filter(|_| self.expects_waits());
        let Some(fence) = fence else {
            return Vec::new();
        };
        let own = self.demand.model_uses(now);
        let own = own.iter().filter(|usage| usage.waiting > 0);
        let waiting = own.map(|usage| (&self.config.id, usage));
        let waiting = waiting.chain(self.peers.waiting_uses(now));
        let notices = self.load_notices.take(now, &self.planner, waiting);
        let mut updates = Vec::new();
        for LoadNotice { recipient, servers } in notices {
            let update = InventoryUpdate {
                fence,
                relay: false,
                servers,
            };
            if recipient == self.config.id {
                self.apply_inventory(now, &update);
            } else {
                updates.push((recipient, update));
            }
        }
        updates
    }

    /// Returns the other reachable instances of this instance's zone.
    pub fn zone_peers(&self, now: Instant) -> Vec<InstanceId> {
        let mut zones = self.peers.alive_by_zone(now);
        zones.remove(&self.config.zone).unwrap_or_default()
    }

    /// Returns the instances to tell of streams that this one begins, the best one first.
    ///
    /// Those of other zones come first, as a zone may be lost as a whole. Each instance has an order of its own,
    /// so that all of them get as many notices.
    pub fn notice_targets(&self, now: Instant) -> Vec<InstanceId> {
        let sender = hash(&[&self.config.id]);
        let zone = &self.config.zone;
        let rank = |target: &InstanceId| Reverse(rendezvous_rank(sender, target));
        let mut targets = self.peers.ready_where(now, |other| other != zone);
        targets.sort_by_key(rank);
        let mut near = self.peers.ready_where(now, |other| other == zone);
        near.sort_by_key(rank);
        targets.extend(near);
        targets
    }

    fn apply_spending(
        &mut self,
        now: Instant,
        catalog: &Catalog,
        instance: &InstanceId,
        heartbeat: &Heartbeat,
    ) {
        let reports = heartbeat.spending.iter();
        let reports: Map<&str, &Spending> = reports
            .map(|report| (report.organisation.as_str(), report))
            .collect();
        let nothing = Spending::default();
        for organisation in catalog.organisations() {
            let name: &OrgId = &organisation.name;
            let reported = reports.get(&**name).copied().unwrap_or(&nothing);
            let incarnation = heartbeat.incarnation;
            self.quotas
                .apply_spending(now, instance, incarnation, organisation, reported);
        }
    }
}
