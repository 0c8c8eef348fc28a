//! Where a model is loaded, and what has to go for it.

use std::time::{Duration, Instant};

use apricotwell_types::ServerId;

use super::plan::{Plan, free_memory};
use super::{Intent, PARALLEL_FETCHES, PlacementPlanner, RARE_RATE, UNLOAD_TIME};
use crate::catalog::ModelSpec;
use crate::model::ModelName;
use crate::orders::{Operation, ServerOrders};

/// Time that a request of a model runs.
const RUN_TIME: Duration = Duration::from_secs(2);
/// Time from the end of an order until the server is known to be free.
const ORDER_TIME: Duration = Duration::from_millis(300);
/// Time for which a model that was just loaded or asked for is not dropped.
const RECENT: Duration = Duration::from_millis(2500);

/// Whether a load may wait for a server that is busy with another order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Patience {
    /// It may, if the model is there sooner.
    AnyServer,
    /// It may not: one more replica is wanted now, wherever.
    FreeOnly,
}

/// What has to go so that a model fits on a server.
pub(super) struct Room {
    /// Model to drop, if there is no room.
    pub(super) victim: Option<ModelName>,
    /// Time until it is gone.
    pub(super) time: Duration,
    /// Requests a second that would miss it.
    pub(super) cost: f64,
}

impl PlacementPlanner {
    // Loads a model where it is there first.
    pub(super) fn bring(
        &mut self,
        plan: &mut Plan<'_>,
        spec: &ModelSpec,
        patience: Patience,
        reason: &'static str,
    ) {
        let copies = plan.copies(&spec.name);
        // The weight store is slow: it is asked only for what no further server has a copy of.
        let is_used_up = copies.iter().all(|id| self.keeps(id, &spec.name));
        let best = if is_used_up {
            self.best_server(plan, plan.backends.keys(), spec, patience)
        } else {
            self.best_server(plan, copies.iter(), spec, patience)
        };
        if let Some(id) = best {
            self.load_at(plan, &id, spec, reason);
        }
    }

    // Returns the server among `ids` where a model would be there first.
    fn best_server<'a, I>(
        &self,
        plan: &Plan<'_>,
        ids: I,
        spec: &ModelSpec,
        patience: Patience,
    ) -> Option<ServerId>
    where
        I: Iterator<Item = &'a ServerId>,
    {
        let mut best: Option<(Duration, f64, ServerId)> = None;
        for id in ids {
            let Some(server) = self.servers.get(id) else {
                continue;
            };
            if self.keeps(id, &spec.name) || self.intents.contains_key(id) || plan.has_order(id) {
                continue;
            }
            if patience == Patience::FreeOnly && !server.is_free(plan.now) {
                continue;
            }
            let Some(room) = self.room_for(plan, id, spec) else {
                continue;
            };
            let busy = self.busy_time(plan.now, server);
            let duration = busy + room.time + self.load_time(server, spec);
            let better = best
                .as_ref()
                .is_none_or(|(least, cost, _)| (duration, room.cost) < (*least, *cost));
            if better {
                best = Some((duration, room.cost, id.clone()));
            }
        }
        best.map(|(_, _, id)| id)
    }

    // Time until a server can take an order.
    fn busy_time(&self, now: Instant, server: &ServerOrders) -> Duration {
        if server.is_free(now) {
            return Duration::ZERO;
        }
        let ends = server.loading().map(|(_, ends)| ends);
        let left = ends.map(|ends| ends.saturating_duration_since(now));
        left.unwrap_or_default() + ORDER_TIME
    }

    // Loads a model at a server, or makes room for it first.
    pub(super) fn load_at(
        &mut self,
        plan: &mut Plan<'_>,
        id: &ServerId,
        spec: &ModelSpec,
        reason: &'static str,
    ) {
        if !self.can_order(plan, id) {
            return;
        }
        let Some(room) = self.room_for(plan, id, spec) else {
            return;
        };
        if let Some(victim) = room.victim {
            let operation = Operation::UnloadModel(victim);
            self.order(plan, id, operation, UNLOAD_TIME, false, reason);
            let model = spec.name.clone();
            plan.note_kept(&model);
            self.intents.insert(id.clone(), Intent { model, reason });
            return;
        }
        let Some(server) = self.servers.get(id) else {
            return;
        };
        let duration = self.load_time(server, spec);
        let fetches = server
            .holdings()
            .is_some_and(|holdings| !holdings.is_cached(&spec.name));
        // One more replica must not keep the first one of another model waiting.
        let limit = if plan.replicas(&spec.name) > 0 {
            PARALLEL_FETCHES / 2
        } else {
            PARALLEL_FETCHES
        };
        if fetches && self.fetches() >= limit {
            return;
        }
        let operation = Operation::LoadModel(spec.name.clone());
        self.order(plan, id, operation, duration, fetches, reason);
    }

    fn load_time(&self, server: &ServerOrders, spec: &ModelSpec) -> Duration {
        let Some(holdings) = server.holdings() else {
            return spec.store_load;
        };
        if holdings.in_memory.contains(&spec.name) {
            return spec.memory_load;
        }
        if holdings.on_disk.contains(&spec.name) {
            return spec.disk_load;
        }
        let behind = (self.fetches() + 1).saturating_sub(PARALLEL_FETCHES);
        spec.store_load
            + spec
                .store_load
                .mul_f64(behind as f64 / PARALLEL_FETCHES as f64)
    }

    pub(super) fn can_order(&self, plan: &Plan<'_>, id: &str) -> bool {
        !plan.has_order(id)
            && self
                .servers
                .get(id)
                .is_some_and(|server| server.is_free(plan.now))
    }

    /// Returns what has to go so that a model fits, `None` if nothing can go.
    pub(super) fn room_for(&self, plan: &Plan<'_>, id: &str, spec: &ModelSpec) -> Option<Room> {
        let server = self.servers.get(id)?;
        let holdings = server.holdings()?;
        let free = free_memory(plan.engine, holdings);
        if free >= spec.weights {
            return Some(Room {
                victim: None,
                time: Duration::ZERO,
                cost: 0.0,
            });
        }
        let victims = holdings
            .models
            .iter()
            .filter(|(model, _)| !self.is_recent(plan, model))
            .map(|(model, _)| (self.drop_cost(plan, model), self.used.get(model), model));
        let (cost, _, victim) = victims.min_by(|one, other| {
            one.0
                .total_cmp(&other.0)
                .then(one.1.cmp(&other.1))
                .then(one.2.cmp(other.2))
        })?;
        let running = (plan.demand.rate(victim) * RUN_TIME.as_secs_f64()).min(1.0);
        Some(Room {
            victim: Some(victim.clone()),
            // An unload waits for what runs.
            time: UNLOAD_TIME + RUN_TIME.mul_f64(running),
            cost,
        })
    }

    fn is_recent(&self, plan: &Plan<'_>, model: &str) -> bool {
        let waited = plan
            .demand
            .get(model)
            .is_some_and(|demand| demand.waiting > 0);
        let used = self.used.get(model);
        waited || used.is_some_and(|at| plan.now.saturating_duration_since(*at) < RECENT)
    }

    // Requests a second that would miss the model.
    fn drop_cost(&self, plan: &Plan<'_>, model: &str) -> f64 {
        let rate = plan.demand.rate(model);
        let replicas = plan.replicas(model);
        if replicas > self.wanted_replicas(plan, model) {
            return 0.0;
        }
        if replicas > 1 {
            return RARE_RATE + rate / replicas as f64;
        }
        // A model that nobody asked for lately may still be asked for next.
        0.01 + rate
    }
}
