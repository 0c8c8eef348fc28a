//! Placement by the requests that run: replicas from concurrent requests, and victims without any.
//!
//! Only used where the planner is load-aware ([`PlacementPlanner::set_load_aware`]); see
//! `docs/design/placement-load.md`.

use std::cmp::Reverse;
use std::time::Duration;

use apricotwell_types::{Map, ServerId};

use super::loading::{Eviction, REQUEST_TIME};
use super::plan::Plan;
use super::{PlacementPlanner, REPLICA_RATE, UNLOAD_TIME};
use crate::model::{Inventory, ModelName};

/// Time after a load or a waiting request during which a model is not evicted: the requests that
/// waited for it learn of it by a broadcast, start and are reported to the lease holder.
pub(super) const LOAD_GRACE: Duration = Duration::from_millis(800);
/// Share of a server's slots that the requests of one replica occupy on average. The remainder is
/// for the server's other model, and for bursts of twice the usual rate.
const REPLICA_LOAD: f64 = 0.5;
/// A replica is added at some number of concurrent requests, and counts as surplus below this share of
/// that number, so that small variations cause no loads.
const SURPLUS_SHARE: f64 = 0.7;
/// Time for which a replica that is to be unloaded is announced as such without being chosen again.
const LEAVING_TIME: Duration = Duration::from_millis(1500);
/// Time that a swap waits for the requests of a replica before it is unloaded regardless.
const MAX_DRAIN_TIME: Duration = Duration::from_millis(1500);
/// Time after an unload from which on its requests are no longer awaited: reports of instances that
/// stopped may not be renewed.
const MAX_UNLOAD_WAIT: Duration = Duration::from_secs(4);
/// Delay that a request meets which finds its model unloaded.
const RELOAD_DELAY: Duration = Duration::from_millis(1200);
/// Delay that a completely occupied server adds to the ready time of a model, so that models are
/// spread over the servers.
const CROWDING_DELAY: Duration = Duration::from_millis(500);

// Whether the server is not yet announced to drop a replica, its requests in flight, and its id.
type Holder = (bool, Reverse<u32>, ServerId);

impl Plan<'_> {
    /// Returns the number of replicas that a model needs for its concurrent requests.
    pub(super) fn needed_replicas(&self, model: &str) -> usize {
        let replicas = self.replicas(model);
        let concurrent = self.wanted_slots(model);
        let per_replica = f64::from(self.engine.slots.max(1)) * REPLICA_LOAD;
        let uncounted = self.demand.uncounted_rate(model) / REPLICA_RATE;
        let needed = |share: f64| {
            let needed = concurrent / (per_replica * share) + uncounted;
            (needed.ceil() as usize).max(1)
        };
        let least = needed(1.0);
        // Existing replicas are kept while the requests decrease a little.
        least.max(replicas.min(needed(SURPLUS_SHARE)))
    }

    /// Returns whether more requests run and wait for a model than its replicas have slots.
    pub(super) fn is_overloaded(&self, model: &str) -> bool {
        let slots = self.replicas(model) as f64 * f64::from(self.engine.slots);
        self.wanted_slots(model) > slots
    }

    // Returns the number of slots that requests for a model use or would use if there were room.
    fn wanted_slots(&self, model: &str) -> f64 {
        let waiting = self.demand.get(model).map_or(0, |demand| demand.waiting);
        self.demand.concurrent(model) + f64::from(waiting)
    }

    /// Returns the delay that stands for the requests in flight on a server.
    pub(super) fn crowding(&self, id: &str) -> Duration {
        let Some(backend) = self.backends.get(id) else {
            return Duration::ZERO;
        };
        let slots = f64::from(backend.entry.slots.max(1));
        CROWDING_DELAY.mul_f64(f64::from(backend.in_flight()) / slots)
    }
}

impl PlacementPlanner {
    /// Returns the eviction on a server that delays requests least.
    pub(super) fn least_harmful_eviction(
        &self,
        plan: &Plan<'_>,
        id: &str,
        inventory: &Inventory,
    ) -> Option<Eviction> {
        let evictions = inventory
            .models
            .iter()
            .filter(|(model, _)| !self.is_recent(plan, model))
            .map(|(model, _)| {
                let cost = self.eviction_cost(plan, model);
                let reloads = RELOAD_DELAY.mul_f64(cost);
                let time = UNLOAD_TIME + drain_time(plan, id, model) + reloads;
                (time, self.last_used.get(model), model, cost)
            });
        let (time, _, victim, cost) = evictions
            .min_by(|one, other| (one.0, one.1, one.2).cmp(&(other.0, other.1, other.2)))?;
        Some(Eviction {
            victim: Some(victim.clone()),
            time,
            cost,
        })
    }

    /// Returns whether a model can be unloaded now; otherwise announces that it is to be unloaded.
    pub(super) fn may_unload(&mut self, plan: &Plan<'_>, id: &str, model: &ModelName) -> bool {
        if plan.demand.runs_on(model, id).count == 0 {
            return true;
        }
        let drained = self.drained_since.get(id);
        let since = drained
            .filter(|(of, since)| of == model && plan.now < *since + MAX_DRAIN_TIME + LEAVING_TIME)
            .map_or(plan.now, |(_, since)| *since);
        self.drained_since.insert(id.into(), (model.clone(), since));
        if plan.replicas(model) > 1
            && let Some(server) = self.servers.get_mut(id)
        {
            server.mark_leaving(plan.now, model, plan.now + LEAVING_TIME);
        }
        plan.now >= since + MAX_DRAIN_TIME
    }

    /// Returns whether a server's last unload still waits for running requests.
    pub(super) fn awaits_requests(&self, plan: &Plan<'_>, id: &str) -> bool {
        self.load_aware
            && self.planned_loads.get(id).is_some_and(|load| {
                plan.now < load.since + MAX_UNLOAD_WAIT
                    && plan.demand.runs_on(&load.victim, id).count > 0
            })
    }

    /// Announces the replicas that are no longer needed, so that their requests end before they are
    /// evicted.
    pub(super) fn mark_surplus(&mut self, plan: &Plan<'_>) {
        if !self.load_aware || plan.demand.total_rate < super::MIN_TOTAL_RATE {
            return;
        }
        let until = plan.now + LEAVING_TIME;
        for (model, surplus, holders) in self.surplus_replicas(plan) {
            for (_, _, id) in holders.into_iter().take(surplus) {
                if let Some(server) = self.servers.get_mut(&id) {
                    server.mark_leaving(plan.now, &model, until);
                }
            }
        }
    }

    // Returns the models with surplus replicas, the number of these, and the servers that hold them:
    // first those already announced to drop theirs, then the most occupied ones.
    fn surplus_replicas(&self, plan: &Plan<'_>) -> Vec<(ModelName, usize, Vec<Holder>)> {
        let mut surplus: Map<&ModelName, (usize, Vec<Holder>)> = Map::default();
        for (model, replicas) in plan.replicated() {
            let count = replicas.saturating_sub(self.target_replicas(plan, model));
            if count > 0 {
                surplus.insert(model, (count, Vec::new()));
            }
        }
        for (id, backend) in &plan.backends {
            let Some(server) = self.servers.get(id) else {
                continue;
            };
            let held = server.inventory().into_iter();
            for (model, _) in held.flat_map(|inventory| &inventory.models) {
                if let Some((_, holders)) = surplus.get_mut(model) {
                    let is_new = server.leaving(plan.now) != Some(model);
                    holders.push((is_new, Reverse(backend.in_flight()), id.clone()));
                }
            }
        }
        let sorted = surplus.into_iter().map(|(model, (count, mut holders))| {
            holders.sort();
            (model.clone(), count, holders)
        });
        let mut sorted: Vec<_> = sorted.collect();
        sorted.sort();
        sorted
    }
}

// Time until the running requests of a replica have ended; the newest one determines it.
fn drain_time(plan: &Plan<'_>, id: &str, model: &str) -> Duration {
    let runs = plan.demand.runs_on(model, id);
    // Requests of instances that don't count them may run as well.
    let uncounted = plan.demand.uncounted_rate(model) * REQUEST_TIME.as_secs_f64();
    let uncounted = REQUEST_TIME.mul_f64(uncounted.min(1.0));
    if runs.count == 0 {
        return uncounted;
    }
    REQUEST_TIME
        .saturating_sub(runs.newest)
        .max(REQUEST_TIME / 10)
        .max(uncounted)
}
