//! Placement of models and adapters on backend servers.
//!
//! The holder of the placement lease decides which models each server loads and evicts. Most models
//! are requested rarely and a few all the time, while each server holds only a few models at once.
//! A model that a server loads from its own disk or memory is usually ready in time for the requests
//! that wait for it; one that is fetched from the weight store is late.

mod adapters;
mod demand;
mod load;
mod loading;
mod plan;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use apricotwell_messages::ModelUse;
use apricotwell_types::{Map, ServerId};

use crate::backends::BackendTable;
use crate::catalog::{ModelSpec, Service};
use crate::model::ModelName;
use crate::orders::{Operation, OrderReply, ServerOrders, StatusReport};

use demand::FleetDemand;
use loading::Candidates;
use plan::Plan;

/// Number of concurrent loads that the weight store serves at full speed.
const PARALLEL_FETCHES: usize = 4;
/// Requests per second served by one replica of a model.
const REPLICA_RATE: f64 = 2.5;
/// Requests per second from which a model that no server holds is loaded even if no request waits
/// for it.
const UNMET_RATE: f64 = 0.3;
/// Requests per second below which a model counts as rarely used.
const RARE_RATE: f64 = 0.6;
/// Requests per second to a service from which the rates of its models are considered
/// representative.
const MIN_TOTAL_RATE: f64 = 4.0;
/// Duration of an unload when no request uses the model.
const UNLOAD_TIME: Duration = Duration::from_millis(60);
/// Share of a busy model's target replicas that is loaded before rarely used models with waiting
/// requests.
const SHORTAGE_SHARE: f64 = 0.6;
/// Maximum number of models that no server holds and of which a prefetching server has the only copy:
/// requests for those models wait while it fetches.
const MAX_SOLE_COPIES: usize = 2;

/// Order for a server to load or unload a model or an adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Server that receives the order.
    pub server: ServerId,
    /// Operation to carry out.
    pub operation: Operation,
    /// Number of orders that the server had accepted when this one was decided.
    pub expected: u64,
    /// Reason for the order, for logs.
    pub reason: &'static str,
}

/// Decides which models and adapters each server holds.
#[derive(Debug, Default)]
pub struct PlacementPlanner {
    servers: BTreeMap<ServerId, ServerOrders>,
    // When requests last waited for a model or its last load ended.
    last_used: Map<ModelName, Instant>,
    // Expected duration of each server's last order; starts to count when the server accepts it.
    order_durations: Map<ServerId, Duration>,
    // Replicas of each model when all servers of the service had first reported.
    initial_replicas: Map<ModelName, usize>,
    // Models to load once the server has unloaded another model for them.
    planned_loads: BTreeMap<ServerId, PlannedLoad>,
    // Whether replicas and victims are chosen by the requests that run.
    load_aware: bool,
    // Model whose requests a swap on a server waits for, and since when.
    drained_since: Map<ServerId, (ModelName, Instant)>,
}

#[derive(Clone, Debug)]
struct PlannedLoad {
    model: ModelName,
    reason: &'static str,
    // Model that is unloaded for it, and when that was ordered.
    victim: ModelName,
    since: Instant,
}

impl PlacementPlanner {
    /// Sets whether replicas and victims are chosen by the requests that run.
    pub fn set_load_aware(&mut self, load_aware: bool) {
        self.load_aware = load_aware;
    }

    /// Returns a planner without state; `load_aware` is whether replicas and victims are chosen by the
    /// requests that run.
    pub fn new(load_aware: bool) -> Self {
        Self {
            load_aware,
            ..Self::default()
        }
    }

    /// Clears all state; called while the instance does not hold the lease.
    pub fn reset(&mut self) {
        *self = Self::new(self.load_aware);
    }

    /// Adds new and restarted servers of a service and drops servers that are no longer usable.
    pub fn sync_servers(&mut self, now: Instant, backends: &BackendTable, service: &Service) {
        for backend in backends.usable(now, &service.name) {
            let entry = &backend.entry;
            let known = self.servers.get(&entry.id);
            if known.is_none_or(|known| known.started_ms() != entry.started_ms) {
                let server =
                    ServerOrders::new(now, entry.started_ms).with_awaited_unloads(self.load_aware);
                self.servers.insert(entry.id.clone(), server);
            } else if let Some(known) = self.servers.get_mut(&entry.id) {
                known.check_listed(now, &entry.inventory);
            }
        }
        self.servers.retain(|id, server| {
            backends.get(id).is_some_and(|backend| {
                // A fetch that runs on an evacuated server still takes its part of the weight store.
                backends.is_usable(now, backend)
                    || (backend.is_available(now) && server.is_fetching())
            })
        });
    }

    /// Returns the time until the next server has a report due or can take an order.
    pub fn next_due(&self, now: Instant) -> Option<Duration> {
        let due = self.servers.values();
        let next = due.filter_map(|server| server.next_due(now)).min()?;
        Some(next.saturating_duration_since(now))
    }

    /// Returns the servers that must be asked for a report now and marks their reports as requested.
    pub fn take_due_reports(&mut self, now: Instant) -> Vec<ServerId> {
        let due = self
            .servers
            .iter_mut()
            .filter_map(|(id, server)| server.take_due_report(now).then(|| id.clone()));
        due.collect()
    }

    /// Applies a server's report, `None` if the server did not answer.
    pub fn apply_report(&mut self, now: Instant, id: &str, report: Option<StatusReport>) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        let loaded = server.loading().map(|(model, _)| model.clone());
        server.apply_report(now, report);
        if let Some(model) = loaded
            && server.is_free(now)
        {
            self.last_used.insert(model, now);
        }
    }

    /// Applies a server's reply to an order.
    pub fn apply_reply(&mut self, now: Instant, id: &str, reply: OrderReply) {
        let duration = self.order_durations.get(id).copied().unwrap_or_default();
        if let Some(server) = self.servers.get_mut(id) {
            server.apply_reply(now, reply, duration);
        }
    }

    /// Returns the state of every server, for broadcasting to the other instances.
    pub fn servers(&self) -> impl Iterator<Item = (&ServerId, &ServerOrders)> {
        self.servers.iter()
    }

    /// Returns the servers that hold or are loading each model.
    pub fn holders(&self) -> Map<&ModelName, Vec<(&ServerId, &ServerOrders)>> {
        let mut holders: Map<&ModelName, Vec<_>> = Map::default();
        for (id, server) in &self.servers {
            let held = server.inventory().into_iter();
            let held = held.flat_map(|inventory| inventory.models.iter().map(|(model, _)| model));
            for model in held.chain(server.loading().map(|(model, _)| model)) {
                holders.entry(model).or_default().push((id, server));
            }
        }
        holders
    }

    /// Returns the next orders for one service, at most one per server.
    pub fn plan<'a, I>(
        &mut self,
        now: Instant,
        service: &Service,
        backends: &BackendTable,
        uses: I,
    ) -> Vec<Order>
    where
        I: IntoIterator<Item = &'a ModelUse>,
    {
        let Some(engine) = &service.engine else {
            return Vec::new();
        };
        let demand = FleetDemand::sum(&service.name, uses);
        for model in demand.waiting_models() {
            self.last_used.insert(model.clone(), now);
        }
        let mut plan = Plan::new(now, engine, backends.usable(now, &service.name), demand);
        self.count_holders(&mut plan);
        self.record_initial_replicas(&plan);
        self.mark_surplus(&plan);
        self.start_planned_loads(&mut plan);
        self.plan_adapters(&mut plan);
        // A busy model with too few replicas delays more requests than a rare one that waits.
        self.plan_replicas(&mut plan, SHORTAGE_SHARE);
        self.plan_waiting(&mut plan);
        self.plan_replicas(&mut plan, 1.0);
        self.plan_fetches(&mut plan);
        plan.orders
    }

    // Until request rates are known, the models with many replicas are taken to be the busy ones.
    fn record_initial_replicas(&mut self, plan: &Plan<'_>) {
        if !self.initial_replicas.is_empty() || !self.all_reported(plan) {
            return;
        }
        for model in plan.engine.models.keys() {
            self.initial_replicas
                .insert(model.clone(), plan.replicas(model));
        }
    }

    fn all_reported(&self, plan: &Plan<'_>) -> bool {
        !plan.backends.is_empty()
            && plan.backends.keys().all(|id| {
                let server = self.servers.get(id);
                server.is_some_and(|server| server.inventory().is_some())
            })
    }

    // Starts the loads for which another model has been unloaded.
    fn start_planned_loads(&mut self, plan: &mut Plan<'_>) {
        self.planned_loads
            .retain(|id, _| self.servers.contains_key(id));
        self.drained_since
            .retain(|id, _| self.servers.contains_key(id));
        let ready: Vec<ServerId> = self
            .planned_loads
            .keys()
            .filter(|id| plan.backends.contains_key(*id) && self.can_order(plan, id))
            .cloned()
            .collect();
        for id in ready {
            let Some(load) = self.planned_loads.remove(&id) else {
                continue;
            };
            plan.remove_replica(&load.model);
            if let Some(spec) = plan.engine.model(&load.model) {
                self.load_on(plan, &id, spec, load.reason);
            }
        }
    }

    // Returns whether a server holds or is loading a model, or unloads another one for it, and is
    // not unloading it.
    fn will_hold(&self, id: &str, model: &str) -> bool {
        let planned = self.planned_loads.get(id);
        planned.is_some_and(|load| *load.model == *model)
            || self
                .servers
                .get(id)
                .is_some_and(|server| will_hold(server, model))
    }

    // Counts each model's replicas and collects the servers that have a copy of it on disk.
    fn count_holders(&self, plan: &mut Plan<'_>) {
        let ids: Vec<ServerId> = plan.backends.keys().cloned().collect();
        for id in ids {
            let planned = self.planned_loads.get(&id).map(|load| &load.model);
            let Some(server) = self.servers.get(&id) else {
                continue;
            };
            let loading = server.loading().map(|(model, _)| model);
            let dropped = match server.operation() {
                Some(Operation::UnloadModel(model)) => Some(model),
                _ => None,
            };
            let Some(inventory) = server.inventory() else {
                continue;
            };
            let held = inventory.models.iter().map(|(model, _)| model);
            let kept = held
                .filter(|model| Some(*model) != dropped)
                .chain(loading)
                .chain(planned);
            plan.add_server(&id, kept, &inventory.on_disk);
        }
    }

    fn target_replicas(&self, plan: &Plan<'_>, model: &str) -> usize {
        let rate = plan.demand.rate(model);
        if plan.demand.total_rate < MIN_TOTAL_RATE {
            return self
                .initial_replicas
                .get(model)
                .copied()
                .unwrap_or_default()
                .max(1);
        }
        if self.load_aware {
            return plan.needed_replicas(model);
        }
        ((rate / REPLICA_RATE).ceil() as usize).max(1)
    }

    // Loads models that requests wait for and that no server holds or loads.
    fn plan_waiting(&mut self, plan: &mut Plan<'_>) {
        // Requests refused because no server holds the model don't wait, but clients retry them.
        let refused = plan.demand.busiest(UNMET_RATE);
        for model in plan.demand.most_urgent().into_iter().chain(refused) {
            let Some(spec) = plan.engine.model(&model) else {
                continue;
            };
            if plan.replicas(&model) == 0 {
                self.place_replica(plan, spec, Candidates::All, "requests_wait");
            }
        }
    }

    // Adds replicas of busy models, up to a share of their target number.
    fn plan_replicas(&mut self, plan: &mut Plan<'_>, share: f64) {
        if plan.demand.total_rate < MIN_TOTAL_RATE {
            return;
        }
        for model in plan.demand.busiest(RARE_RATE) {
            let Some(spec) = plan.engine.model(&model) else {
                continue;
            };
            let target = self.target_replicas(plan, &model).min(plan.backends.len());
            let target = (target as f64 * share).floor() as usize;
            // The first replica is loaded by `plan_waiting`, wherever it is ready first.
            for _ in plan.replicas(&model).max(1)..target {
                self.place_replica(plan, spec, Candidates::IdleOnly, "more_replicas");
            }
        }
    }

    // Prefetches models that no server holds or has on disk.
    fn plan_fetches(&mut self, plan: &mut Plan<'_>) {
        if !self.all_reported(plan) {
            return;
        }
        let missing: Vec<&ModelSpec> = plan
            .engine
            .models
            .values()
            .filter(|spec| !plan.has_copy(&spec.name))
            .collect();
        for spec in missing {
            if self.fetch_count() >= PARALLEL_FETCHES {
                return;
            }
            self.fetch_ahead(plan, spec);
        }
    }

    fn fetch_count(&self) -> usize {
        let is_planned = |id: &ServerId, server: &ServerOrders| {
            self.planned_loads.get(id).is_some_and(|load| {
                server
                    .inventory()
                    .is_some_and(|inventory| !inventory.is_cached(&load.model))
            })
        };
        self.servers
            .iter()
            .filter(|(id, server)| server.is_fetching() || is_planned(id, server))
            .count()
    }

    fn fetch_ahead(&mut self, plan: &mut Plan<'_>, spec: &ModelSpec) {
        let best = plan
            .backends
            .keys()
            .filter(|id| self.can_order(plan, id) && !self.planned_loads.contains_key(*id))
            .filter_map(|id| {
                let eviction = self.plan_eviction(plan, id, spec)?;
                if eviction.cost > RARE_RATE {
                    return None;
                }
                let sole_copies = self.sole_copies(plan, id);
                (sole_copies <= MAX_SOLE_COPIES).then_some((sole_copies, eviction.cost, id.clone()))
            })
            .min_by(|one, other| one.0.cmp(&other.0).then(one.1.total_cmp(&other.1)));
        if let Some((_, _, id)) = best {
            self.load_on(plan, &id, spec, "fetch_ahead");
        }
    }

    // Returns the number of models that no server holds and that only this server has on disk.
    fn sole_copies(&self, plan: &Plan<'_>, id: &str) -> usize {
        let Some(inventory) = self.servers.get(id).and_then(ServerOrders::inventory) else {
            return 0;
        };
        let only_here =
            |model: &&ModelName| plan.replicas(model) == 0 && plan.copies(model).len() == 1;
        inventory.on_disk.iter().filter(only_here).count()
    }

    fn order(
        &mut self,
        plan: &mut Plan<'_>,
        id: &ServerId,
        operation: Operation,
        duration: Duration,
        fetches: bool,
        reason: &'static str,
    ) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        let expected = server.expected_orders();
        server.record_sent(plan.now, operation.clone(), fetches);
        match &operation {
            Operation::LoadModel(model) => plan.add_replica(model),
            Operation::UnloadModel(model) => plan.remove_replica(model),
            Operation::LoadAdapter(..) | Operation::UnloadAdapter(..) => {}
        }
        self.order_durations.insert(id.clone(), duration);
        plan.orders.push(Order {
            server: id.clone(),
            operation,
            expected,
            reason,
        });
    }
}

// Returns whether a server holds or is loading a model and is not unloading it.
fn will_hold(server: &ServerOrders, model: &str) -> bool {
    match server.operation() {
        Some(Operation::LoadModel(loading)) if **loading == *model => return true,
        Some(Operation::UnloadModel(dropped)) if **dropped == *model => return false,
        _ => {}
    }
    server
        .inventory()
        .is_some_and(|inventory| inventory.adapters(model).is_some())
}
