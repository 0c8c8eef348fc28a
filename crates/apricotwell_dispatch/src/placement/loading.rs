//! Choice of the server that loads a model and of the model that it evicts.

use std::time::{Duration, Instant};

use apricotwell_types::ServerId;

use super::load::LOAD_GRACE;
use super::plan::{Plan, free_memory};
use super::{PARALLEL_FETCHES, PlacementPlanner, PlannedLoad, RARE_RATE, UNLOAD_TIME};
use crate::catalog::ModelSpec;
use crate::model::ModelName;
use crate::orders::{Operation, ServerOrders};

/// Typical duration of a request; an unload waits for the running ones.
pub(super) const REQUEST_TIME: Duration = Duration::from_secs(2);
/// Time from the end of an order until a report shows it.
const REPORT_DELAY: Duration = Duration::from_millis(300);
/// Time after a load or a waiting request during which a model is not evicted.
const EVICTION_GRACE: Duration = Duration::from_millis(2500);

/// Servers that are considered for a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Candidates {
    /// All servers; a load may wait for a busy one if the model is ready sooner there.
    All,
    /// Only servers that can take an order now.
    IdleOnly,
}

/// Eviction that a server needs before it can load a model.
pub(super) struct Eviction {
    /// Model to unload, `None` if the memory is free already.
    pub(super) victim: Option<ModelName>,
    /// Time until it is unloaded.
    pub(super) time: Duration,
    /// Requests per second that would find the model unloaded.
    pub(super) cost: f64,
}

impl PlacementPlanner {
    // Loads a model on the server where it is ready first.
    pub(super) fn place_replica(
        &mut self,
        plan: &mut Plan<'_>,
        spec: &ModelSpec,
        candidates: Candidates,
        reason: &'static str,
    ) {
        let copies = plan.copies(&spec.name);
        // The weight store is slow, so weights are fetched only if every server with a copy on disk
        // already holds or loads the model.
        let all_hold = copies.iter().all(|id| self.will_hold(id, &spec.name));
        let best = if all_hold {
            self.best_server(plan, plan.backends.keys(), spec, candidates)
        } else {
            let cached = self.best_server(plan, copies.iter(), spec, candidates);
            // Servers that have a copy may all be busy for longer than requests can wait.
            if cached.is_none() && self.load_aware && plan.is_overloaded(&spec.name) {
                self.best_server(plan, plan.backends.keys(), spec, candidates)
            } else {
                cached
            }
        };
        if let Some(id) = best {
            self.load_on(plan, &id, spec, reason);
        }
    }

    // Returns the server among `ids` on which a model would be ready first.
    fn best_server<'a, I>(
        &self,
        plan: &Plan<'_>,
        ids: I,
        spec: &ModelSpec,
        candidates: Candidates,
    ) -> Option<ServerId>
    where
        I: Iterator<Item = &'a ServerId>,
    {
        let mut best: Option<(Duration, f64, ServerId)> = None;
        for id in ids {
            let Some(server) = self.servers.get(id) else {
                continue;
            };
            if self.will_hold(id, &spec.name)
                || self.planned_loads.contains_key(id)
                || plan.has_order(id)
            {
                continue;
            }
            if candidates == Candidates::IdleOnly && !server.is_free(plan.now) {
                continue;
            }
            let Some(eviction) = self.plan_eviction(plan, id, spec) else {
                continue;
            };
            let busy = self.time_until_free(plan.now, server);
            let mut duration = busy + eviction.time + self.load_time(server, spec);
            if self.load_aware {
                duration += plan.crowding(id);
            }
            let better = best
                .as_ref()
                .is_none_or(|(least, cost, _)| (duration, eviction.cost) < (*least, *cost));
            if better {
                best = Some((duration, eviction.cost, id.clone()));
            }
        }
        best.map(|(_, _, id)| id)
    }

    // Time until a server can take an order.
    fn time_until_free(&self, now: Instant, server: &ServerOrders) -> Duration {
        if server.is_free(now) {
            return Duration::ZERO;
        }
        let ends = server.loading().map(|(_, ends)| ends);
        let left = ends.map(|ends| ends.saturating_duration_since(now));
        left.unwrap_or_default() + REPORT_DELAY
    }

    // Orders a server to load a model, or to unload another one first if it lacks memory.
    pub(super) fn load_on(
        &mut self,
        plan: &mut Plan<'_>,
        id: &ServerId,
        spec: &ModelSpec,
        reason: &'static str,
    ) {
        if !self.can_order(plan, id) {
            return;
        }
        let Some(eviction) = self.plan_eviction(plan, id, spec) else {
            return;
        };
        if let Some(victim) = eviction.victim {
            if self.load_aware && !self.may_unload(plan, id, &victim) {
                return;
            }
            let operation = Operation::UnloadModel(victim.clone());
            self.order(plan, id, operation, UNLOAD_TIME, false, reason);
            let model = spec.name.clone();
            plan.add_replica(&model);
            let load = PlannedLoad {
                model,
                reason,
                victim,
                since: plan.now,
            };
            self.planned_loads.insert(id.clone(), load);
            return;
        }
        let Some(server) = self.servers.get(id) else {
            return;
        };
        let duration = self.load_time(server, spec);
        let fetches = server
            .inventory()
            .is_some_and(|inventory| !inventory.is_cached(&spec.name));
        // Additional replicas may use only half of the fetches, so that they don't delay the first
        // replica of another model.
        let limit = if plan.replicas(&spec.name) > 0 {
            PARALLEL_FETCHES / 2
        } else {
            PARALLEL_FETCHES
        };
        if fetches && self.fetch_count() >= limit {
            return;
        }
        let operation = Operation::LoadModel(spec.name.clone());
        self.order(plan, id, operation, duration, fetches, reason);
    }

    fn load_time(&self, server: &ServerOrders, spec: &ModelSpec) -> Duration {
        let Some(inventory) = server.inventory() else {
            return spec.store_load;
        };
        if inventory.in_memory.contains(&spec.name) {
            return spec.memory_load;
        }
        if inventory.on_disk.contains(&spec.name) {
            return spec.disk_load;
        }
        let behind = (self.fetch_count() + 1).saturating_sub(PARALLEL_FETCHES);
        spec.store_load
            + spec
                .store_load
                .mul_f64(behind as f64 / PARALLEL_FETCHES as f64)
    }

    pub(super) fn can_order(&self, plan: &Plan<'_>, id: &str) -> bool {
        !plan.has_order(id)
            && !self.awaits_requests(plan, id)
            && self
                .servers
                .get(id)
                .is_some_and(|server| server.is_free(plan.now))
    }

    /// Returns the eviction that a model needs on a server, `None` if no model can be evicted.
    pub(super) fn plan_eviction(
        &self,
        plan: &Plan<'_>,
        id: &str,
        spec: &ModelSpec,
    ) -> Option<Eviction> {
        let server = self.servers.get(id)?;
        let inventory = server.inventory()?;
        let free = free_memory(plan.engine, inventory);
        if free >= spec.weights_mb {
            return Some(Eviction {
                victim: None,
                time: Duration::ZERO,
                cost: 0.0,
            });
        }
        if self.load_aware {
            return self.least_harmful_eviction(plan, id, inventory);
        }
        let victims = inventory
            .models
            .iter()
            .filter(|(model, _)| !self.is_recent(plan, model))
            .map(|(model, _)| {
                (
                    self.eviction_cost(plan, model),
                    self.last_used.get(model),
                    model,
                )
            });
        let (cost, _, victim) = victims.min_by(|one, other| {
            one.0
                .total_cmp(&other.0)
                .then(one.1.cmp(&other.1))
                .then(one.2.cmp(other.2))
        })?;
        let running = (plan.demand.rate(victim) * REQUEST_TIME.as_secs_f64()).min(1.0);
        Some(Eviction {
            victim: Some(victim.clone()),
            // An unload waits for running requests.
            time: UNLOAD_TIME + REQUEST_TIME.mul_f64(running),
            cost,
        })
    }

    pub(super) fn is_recent(&self, plan: &Plan<'_>, model: &str) -> bool {
        let waited = plan
            .demand
            .get(model)
            .is_some_and(|demand| demand.waiting > 0);
        let used = self.last_used.get(model);
        let grace = if self.load_aware {
            LOAD_GRACE
        } else {
            EVICTION_GRACE
        };
        waited || used.is_some_and(|at| plan.now.saturating_duration_since(*at) < grace)
    }

    // Returns the cost of evicting one replica of a model, in requests per second.
    pub(super) fn eviction_cost(&self, plan: &Plan<'_>, model: &str) -> f64 {
        let rate = plan.demand.rate(model);
        let replicas = plan.replicas(model);
        if replicas > self.target_replicas(plan, model) {
            return 0.0;
        }
        if replicas > 1 {
            return RARE_RATE + rate / replicas as f64;
        }
        // A model without recent requests can still be requested next.
        0.01 + rate
    }
}
