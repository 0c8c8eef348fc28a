//! Which server holds which models.
//!
//! The holder of the placement lease decides here what to load and what to drop. It answers the
//! load of many models that are asked for rarely and few that are asked for all the time, on servers
//! that hold a few models each: a model that waits for the weight store is late, one that comes
//! from a server's own disk or memory is on time.

mod adapters;
mod demand;
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
use loading::Patience;
use plan::Plan;

/// Loads from the weight store that run at once at full speed.
const PARALLEL_FETCHES: usize = 4;
/// Requests a second for which a model gets one more replica.
const REPLICA_RATE: f64 = 2.5;
/// Rate from which a model that no server holds is brought though no request waits for it.
const REFUSED_RATE: f64 = 0.3;
/// Rate below which a model counts as rare, in requests a second.
const RARE_RATE: f64 = 0.6;
/// Requests of a service from which its rates say which models are in use.
const KNOWN_RATE: f64 = 4.0;
/// Time that an unload takes when nothing runs.
const UNLOAD_TIME: Duration = Duration::from_millis(60);
/// Share of its replicas below which a busy model goes before rare ones that requests wait for.
const SHORTAGE_SHARE: f64 = 0.6;
/// Copies that only one server has and that are not held there, up to which the server fetches
/// ahead: while it does, requests for them wait.
const MAX_STRANDED: usize = 2;

/// Order to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Server.
    pub server: ServerId,
    /// What to do.
    pub operation: Operation,
    /// Orders that the server had accepted when this one was decided.
    pub expected: u64,
    /// Why, for logs.
    pub reason: &'static str,
}

/// Decides what servers hold.
#[derive(Debug, Default)]
pub struct PlacementPlanner {
    servers: BTreeMap<ServerId, ServerOrders>,
    // When a model was last asked for or loaded.
    used: Map<ModelName, Instant>,
    // When the pending order of a server was expected to take, for its answer.
    durations: Map<ServerId, Duration>,
    // Replicas that a model had when the planner first saw the service.
    initial: Map<ModelName, usize>,
    // Models to load at servers that are making room for them.
    intents: BTreeMap<ServerId, Intent>,
}

#[derive(Clone, Debug)]
struct Intent {
    model: ModelName,
    reason: &'static str,
}

impl PlacementPlanner {
    /// Forgets everything, when the lease is lost.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Follows the list of servers.
    pub fn sync_servers(&mut self, now: Instant, backends: &BackendTable, service: &Service) {
        for backend in backends.usable(now, &service.name) {
            let entry = &backend.entry;
            let known = self.servers.get(&entry.id);
            if known.is_none_or(|known| known.born() != entry.born) {
                self.servers
                    .insert(entry.id.clone(), ServerOrders::new(now, entry.born));
            } else if let Some(known) = self.servers.get_mut(&entry.id) {
                known.check_listed(now, &entry.holdings);
            }
        }
        self.servers.retain(|id, _| {
            backends
                .get(id)
                .is_some_and(|backend| backend.is_usable(now))
        });
    }

    /// Returns the time until some server next wants attention.
    pub fn next_due(&self, now: Instant) -> Option<Duration> {
        let due = self.servers.values().filter_map(ServerOrders::next_due);
        let next = due.filter(|due| *due > now).min()?;
        Some(next.saturating_duration_since(now))
    }

    /// Takes the servers that are to be asked for a report now.
    pub fn take_due_reports(&mut self, now: Instant) -> Vec<ServerId> {
        let due = self
            .servers
            .iter_mut()
            .filter_map(|(id, server)| server.take_due_report(now).then(|| id.clone()));
        due.collect()
    }

    /// Applies a report.
    pub fn apply_report(&mut self, now: Instant, id: &str, report: Option<StatusReport>) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        let loaded = server.loading().map(|(model, _)| model.clone());
        server.apply_report(now, report);
        if let Some(model) = loaded
            && server.is_free(now)
        {
            self.used.insert(model, now);
        }
    }

    /// Applies the answer to an order.
    pub fn apply_reply(&mut self, now: Instant, id: &str, reply: OrderReply) {
        let duration = self.durations.get(id).copied().unwrap_or_default();
        if let Some(server) = self.servers.get_mut(id) {
            server.apply_reply(now, reply, duration);
        }
    }

    /// Returns the state of every server, to tell the other instances.
    pub fn servers(&self) -> impl Iterator<Item = (&ServerId, &ServerOrders)> {
        self.servers.iter()
    }

    /// Decides the next orders for one service; at most one for each server.
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
            self.used.insert(model.clone(), now);
        }
        let mut plan = Plan::new(now, engine, backends.usable(now, &service.name), demand);
        self.count_holders(&mut plan);
        self.note_initial(&plan);
        self.follow_intents(&mut plan);
        self.plan_adapters(&mut plan);
        // A busy model that lacks servers makes more requests late than a rare one that waits.
        self.plan_replicas(&mut plan, SHORTAGE_SHARE);
        self.plan_waiting(&mut plan);
        self.plan_replicas(&mut plan, 1.0);
        self.plan_fetches(&mut plan);
        plan.orders
    }

    // Models that many servers hold at the start are the busy ones, before any request tells so.
    fn note_initial(&mut self, plan: &Plan<'_>) {
        if !self.initial.is_empty() || !self.knows_all(plan) {
            return;
        }
        for model in plan.engine.models.keys() {
            self.initial.insert(model.clone(), plan.replicas(model));
        }
    }

    fn knows_all(&self, plan: &Plan<'_>) -> bool {
        !plan.backends.is_empty()
            && plan.backends.keys().all(|id| {
                let server = self.servers.get(id);
                server.is_some_and(|server| server.holdings().is_some())
            })
    }

    // Loads what room was made for.
    fn follow_intents(&mut self, plan: &mut Plan<'_>) {
        self.intents.retain(|id, _| self.servers.contains_key(id));
        let ready: Vec<ServerId> = self
            .intents
            .keys()
            .filter(|id| plan.backends.contains_key(*id) && self.can_order(plan, id))
            .cloned()
            .collect();
        for id in ready {
            let Some(intent) = self.intents.remove(&id) else {
                continue;
            };
            plan.note_dropped(&intent.model);
            if let Some(spec) = plan.engine.model(&intent.model) {
                self.load_at(plan, &id, spec, intent.reason);
            }
        }
    }

    // Whether a server holds or loads a model, or makes room for it, and isn't about to drop it.
    fn keeps(&self, id: &str, model: &str) -> bool {
        let intended = self.intents.get(id);
        intended.is_some_and(|intent| *intent.model == *model)
            || self
                .servers
                .get(id)
                .is_some_and(|server| keeps(server, model))
    }

    // Counts for each model the servers that keep it and those that have a copy of it.
    fn count_holders(&self, plan: &mut Plan<'_>) {
        let ids: Vec<ServerId> = plan.backends.keys().cloned().collect();
        for id in ids {
            let intended = self.intents.get(&id).map(|intent| &intent.model);
            let Some(server) = self.servers.get(&id) else {
                continue;
            };
            let loading = server.loading().map(|(model, _)| model);
            let dropped = match server.operation() {
                Some(Operation::UnloadModel(model)) => Some(model),
                _ => None,
            };
            let Some(holdings) = server.holdings() else {
                continue;
            };
            let held = holdings.models.iter().map(|(model, _)| model);
            let kept = held
                .filter(|model| Some(*model) != dropped)
                .chain(loading)
                .chain(intended);
            plan.note_holder(&id, kept, &holdings.on_disk);
        }
    }

    fn wanted_replicas(&self, plan: &Plan<'_>, model: &str) -> usize {
        let rate = plan.demand.rate(model);
        if plan.demand.total_rate < KNOWN_RATE {
            return self.initial.get(model).copied().unwrap_or_default().max(1);
        }
        ((rate / REPLICA_RATE).ceil() as usize).max(1)
    }

    // Models that requests wait for and that no server holds or loads.
    fn plan_waiting(&mut self, plan: &mut Plan<'_>) {
        // Requests that were refused for want of the model don't wait, but come back.
        let refused = plan.demand.busiest(REFUSED_RATE);
        for model in plan.demand.most_urgent().into_iter().chain(refused) {
            let Some(spec) = plan.engine.model(&model) else {
                continue;
            };
            if plan.replicas(&model) == 0 {
                self.bring(plan, spec, Patience::AnyServer, "requests_wait");
            }
        }
    }

    // Models that are asked for so often that they need more replicas, up to a share of those.
    fn plan_replicas(&mut self, plan: &mut Plan<'_>, share: f64) {
        if plan.demand.total_rate < KNOWN_RATE {
            return;
        }
        for model in plan.demand.busiest(RARE_RATE) {
            let Some(spec) = plan.engine.model(&model) else {
                continue;
            };
            let wanted = self.wanted_replicas(plan, &model).min(plan.backends.len());
            let wanted = (wanted as f64 * share).floor() as usize;
            // The first replica is brought for those who wait, on whatever server has it first.
            for _ in plan.replicas(&model).max(1)..wanted {
                self.bring(plan, spec, Patience::FreeOnly, "more_replicas");
            }
        }
    }

    // Models that no server has a copy of.
    fn plan_fetches(&mut self, plan: &mut Plan<'_>) {
        if !self.knows_all(plan) {
            return;
        }
        let missing: Vec<&ModelSpec> = plan
            .engine
            .models
            .values()
            .filter(|spec| !plan.has_copy(&spec.name))
            .collect();
        for spec in missing {
            if self.fetches() >= PARALLEL_FETCHES {
                return;
            }
            self.fetch_ahead(plan, spec);
        }
    }

    fn fetches(&self) -> usize {
        let is_planned = |id: &ServerId, server: &ServerOrders| {
            self.intents.get(id).is_some_and(|intent| {
                server
                    .holdings()
                    .is_some_and(|holdings| !holdings.is_cached(&intent.model))
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
            .filter(|id| self.can_order(plan, id) && !self.intents.contains_key(*id))
            .filter_map(|id| {
                let room = self.room_for(plan, id, spec)?;
                if room.cost > RARE_RATE {
                    return None;
                }
                let stranded = self.stranded(plan, id);
                (stranded <= MAX_STRANDED).then_some((stranded, room.cost, id.clone()))
            })
            .min_by(|one, other| one.0.cmp(&other.0).then(one.1.total_cmp(&other.1)));
        if let Some((_, _, id)) = best {
            self.load_at(plan, &id, spec, "fetch_ahead");
        }
    }

    /// Returns the models that only this server has a copy of and that no server holds.
    fn stranded(&self, plan: &Plan<'_>, id: &str) -> usize {
        let Some(holdings) = self.servers.get(id).and_then(ServerOrders::holdings) else {
            return 0;
        };
        let only_here =
            |model: &&ModelName| plan.replicas(model) == 0 && plan.copies(model).len() == 1;
        holdings.on_disk.iter().filter(only_here).count()
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
            Operation::LoadModel(model) => plan.note_kept(model),
            Operation::UnloadModel(model) => plan.note_dropped(model),
            Operation::LoadAdapter(..) | Operation::UnloadAdapter(..) => {}
        }
        self.durations.insert(id.clone(), duration);
        plan.orders.push(Order {
            server: id.clone(),
            operation,
            expected,
            reason,
        });
    }
}

// Whether a server holds or loads a model and isn't about to drop it.
fn keeps(server: &ServerOrders, model: &str) -> bool {
    match server.operation() {
        Some(Operation::LoadModel(loading)) if **loading == *model => return true,
        Some(Operation::UnloadModel(dropped)) if **dropped == *model => return false,
        _ => {}
    }
    server
        .holdings()
        .is_some_and(|holdings| holdings.adapters(model).is_some())
}
