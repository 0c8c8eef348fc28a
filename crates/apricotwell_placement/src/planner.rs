//! The placement planner.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use apricotwell_state::{PoolKind, Replica, ReplicaPhase, Server, State};
use apricotwell_types::{Fence, Mebibytes, ModelId, ReplicaId, ServerId, Set};

use crate::DemandTable;

/// Largest number of steps in a plan.
const MAX_STEPS: usize = 16;
/// Time that a model must have been idle before its replica is unloaded for another model.
const MIN_IDLE_TIME: Duration = Duration::from_secs(10);
/// Delay before the retry of a load that failed for the first time; doubles with each failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// Largest delay before the retry of a failed load.
const MAX_BACKOFF: Duration = Duration::from_secs(60);
/// Multiple of `keep_warm_s` up to which the mean gap between uses extends the time that an idle
/// replica is kept.
const MAX_GAP_FACTOR: u32 = 2;

/// What this instance knows of a server beyond the ledger.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerView {
    /// Whether it answers and is not draining.
    pub usable: bool,
    /// Models whose weights it has in memory or on disk, so that they load faster there.
    pub cached: Set<ModelId>,
}

/// Input of the planner.
#[derive(Debug)]
pub struct PlacementView<'a> {
    /// Replicated state.
    pub state: &'a State,
    /// Demand for the models whose shards this instance holds.
    pub demand: &'a DemandTable,
    /// Servers as this instance sees them.
    pub servers: &'a BTreeMap<ServerId, ServerView>,
    /// Replicas whose load is abandoned because its outcome has been unknown for too long.
    pub stuck: &'a Set<ReplicaId>,
}

/// Step of a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlanStep {
    /// Load a replica.
    Load {
        /// Model or adapter.
        model: ModelId,
        /// Version.
        version: String,
        /// Server.
        server: ServerId,
        /// Fencing token of the lease on the model's shard.
        fence: Fence,
    },
    /// Unload a replica of a model whose shard this instance holds.
    Retire {
        /// Replica.
        replica: ReplicaId,
        /// Fencing token of the lease on the model's shard.
        fence: Fence,
    },
    /// Ask the lease holder of another model to unload an idle replica.
    Reclaim {
        /// Replica.
        replica: ReplicaId,
    },
}

/// Plans loads and unloads for the models whose shards this instance holds.
#[derive(Debug, Default)]
pub struct PlacementPlanner {
    // Why a requested model is not being loaded, shown to operators.
    reasons: BTreeMap<ModelId, String>,
    failures: BTreeMap<ModelId, LoadFailures>,
}

#[derive(Debug)]
struct LoadFailures {
    count: u32,
    retry_at: Instant,
}

struct PlanBudget {
    // Numbers of loads that can still be started.
    models: usize,
    adapters: usize,
    steps: Vec<PlanStep>,
    // Memory that loads of this plan will take.
    reserved: BTreeMap<ServerId, Mebibytes>,
}

impl PlacementPlanner {
    /// Returns why a requested model is not being loaded, according to the last plan.
    pub fn reason(&self, model: &str) -> Option<&str> {
        self.reasons.get(model).map(String::as_str)
    }

    /// Records a load that failed on its server; the model is loaded again after a backoff.
    pub fn record_load_failure(&mut self, now: Instant, model: &str) {
        let failure = self.failures.entry(model.into()).or_insert(LoadFailures {
            count: 0,
            retry_at: now,
        });
        let backoff = INITIAL_BACKOFF.saturating_mul(1 << failure.count.min(8));
        failure.count += 1;
        failure.retry_at = now + backoff.min(MAX_BACKOFF);
    }

    /// Records a load that succeeded, which resets the backoff.
    pub fn record_load_success(&mut self, model: &str) {
        self.failures.remove(model);
    }

    /// Plans the next steps.
    ///
    /// `fence_of` returns the fencing token of the lease on a model's shard if this instance holds it,
    /// or `None`.
    pub fn plan<F>(&mut self, now: Instant, view: &PlacementView<'_>, fence_of: F) -> Vec<PlanStep>
    where
        F: Fn(&str) -> Option<Fence>,
    {
        self.reasons.clear();
        let (models, adapters) = loads_in_flight(view);
        let store = view.state.store();
        let mut budget = PlanBudget {
            models: (store.parallel_loads as usize).saturating_sub(models),
            adapters: (store.parallel_adapters as usize).saturating_sub(adapters),
            steps: Vec::new(),
            reserved: BTreeMap::new(),
        };
        for model in self.load_candidates(now, view, &fence_of) {
            if budget.steps.len() >= MAX_STEPS {
                break;
            }
            let Some(fence) = fence_of(&model) else {
                continue;
            };
            if self
                .failures
                .get(&model)
                .is_some_and(|failure| now < failure.retry_at)
            {
                let reason = "its last load failed; it is retried after a backoff";
                self.reasons.insert(model, reason.to_owned());
                continue;
            }
            self.plan_loads(now, view, &model, fence, &mut budget, &fence_of);
        }
        self.plan_retirements(now, view, &mut budget, &fence_of);
        budget.steps
    }

    // Returns the models that may need a load: those with waiting requests by deadline, then the base
    // models of adapters among them, then those with a minimum number of replicas or with replicas
    // of an outdated version.
    fn load_candidates<F>(
        &self,
        now: Instant,
        view: &PlacementView<'_>,
        fence_of: &F,
    ) -> Vec<ModelId>
    where
        F: Fn(&str) -> Option<Fence>,
    {
        let mut candidates = view.demand.requested_models(now);
        // An adapter can only be loaded on a server that has loaded its base model.
        let bases: Vec<ModelId> = candidates
            .iter()
            .filter_map(|model| model.split_once(':').map(|(base, _)| base.into()))
            .collect();
        candidates.extend(bases);
        for (name, settings) in view.state.models() {
            let outdated = view
                .state
                .ledger()
                .replicas_of(name)
                .any(|(_, replica)| replica.version != settings.version);
            if (settings.min_replicas > 0 || outdated) && fence_of(name).is_some() {
                candidates.push(name.into());
            }
        }
        let mut seen = Set::default();
        candidates.retain(|model| seen.insert(model.clone()));
        candidates
    }

    fn plan_loads<F>(
        &mut self,
        now: Instant,
        view: &PlacementView<'_>,
        model: &ModelId,
        fence: Fence,
        budget: &mut PlanBudget,
        fence_of: &F,
    ) where
        F: Fn(&str) -> Option<Fence>,
    {
        let Some((version, memory, max_replicas)) = view.state.load_spec(model) else {
            return;
        };
        let present = count_present(view, model, &version);
        let target = self.target_replicas(now, view, model, &version);
        if present >= target {
            return;
        }
        let counted = view.state.ledger().count_towards_limit(model, fence);
        if counted >= max_replicas as usize {
            self.handle_replica_limit(view, model, &version, budget, fence);
            return;
        }
        let is_adapter = model.contains(':');
        let slots = if is_adapter {
            &mut budget.adapters
        } else {
            &mut budget.models
        };
        if *slots == 0 {
            self.reasons.insert(
                model.clone(),
                "as many loads from the weight store are in flight as /platform/store allows"
                    .to_owned(),
            );
            return;
        }
        match choose_server(view, model, memory, &budget.reserved) {
            Some(server) => {
                *slots -= 1;
                *budget.reserved.entry(server.clone()).or_default() += memory;
                budget.steps.push(PlanStep::Load {
                    model: model.clone(),
                    version,
                    server,
                    fence,
                });
            }
            None => self.make_room(now, view, model, memory, budget, fence_of),
        }
    }

    // Returns how many replicas of the current version there should be.
    fn target_replicas(
        &self,
        now: Instant,
        view: &PlacementView<'_>,
        model: &str,
        version: &str,
    ) -> usize {
        let waiting = view.demand.waiting(now, model);
        let settings = view.state.model(model);
        let minimum = settings.map_or(0, |settings| settings.min_replicas as usize);
        let slots = settings
            .and_then(|settings| view.state.pool(&settings.pool))
            .map_or(1, |pool| pool.slots.max(1));
        let running = view.demand.running(now, model);
        let for_demand = if waiting > 0 {
            (waiting + running).div_ceil(slots) as usize
        } else {
            0
        };
        // The new version needs a replica before those of the old version can be retired.
        let ledger = view.state.ledger();
        let rolling = ledger.replicas_of(model).any(|(_, replica)| {
            replica.version != version && replica.phase == ReplicaPhase::Loaded
        });
        let for_base = usize::from(has_waiting_adapters(now, view, model));
        minimum
            .max(for_demand)
            .max(usize::from(rolling))
            .max(for_base)
    }

    // Records why a model at its replica limit gets no further load. If no replica has the new
    // version yet, it retires one of the old version first, so that the roll can proceed.
    fn handle_replica_limit(
        &mut self,
        view: &PlacementView<'_>,
        model: &ModelId,
        version: &str,
        budget: &mut PlanBudget,
        fence: Fence,
    ) {
        let ledger = view.state.ledger();
        let mut old = ledger.replicas_of(model).filter(|(_, replica)| {
            replica.version != version && replica.phase == ReplicaPhase::Loaded
        });
        let is_rolling = count_present(view, model, version) == 0;
        if is_rolling && let Some((replica, _)) = old.next() {
            budget.steps.push(PlanStep::Retire { replica, fence });
            self.reasons.insert(
                model.clone(),
                "a replica of the old version is unloaded first; set max_replicas above the replicas \
                 in use to roll without a gap"
                    .to_owned(),
            );
            return;
        }
        let stuck = ledger
            .replicas_of(model)
            .filter(|(id, _)| view.stuck.contains(id))
            .count();
        let reason = if stuck > 0 {
            format!(
                "{stuck} of its replicas have an undetermined load; restart their server or raise \
                 max_replicas"
            )
        } else {
            "it has max_replicas replicas; raise it to load more".to_owned()
        };
        self.reasons.insert(model.clone(), reason);
    }

    // Retires the idle replica with the least memory, which is the cheapest to load again, on a
    // server where that frees enough memory.
    fn make_room<F>(
        &mut self,
        now: Instant,
        view: &PlacementView<'_>,
        model: &ModelId,
        memory: Mebibytes,
        budget: &mut PlanBudget,
        fence_of: &F,
    ) where
        F: Fn(&str) -> Option<Fence>,
    {
        let ledger = view.state.ledger();
        let servers = eligible_servers(view, model);
        let mut best: Option<(Mebibytes, ReplicaId, &Replica)> = None;
        for (server, record) in servers {
            let capacity = capacity_of(view, record);
            // Replicas that are already being unloaded may free enough memory.
            let retiring: Mebibytes = ledger
                .replicas()
                .filter(|(_, replica)| {
                    replica.server == *server && replica.phase == ReplicaPhase::Retiring
                })
                .map(|(_, replica)| replica.memory)
                .sum();
            let free = (capacity + retiring).saturating_sub(ledger.used_memory(server));
            if retiring > 0 && free >= memory {
                let reason = "an idle replica is being unloaded to make room";
                self.reasons.insert(model.clone(), reason.to_owned());
                return;
            }
            for (id, replica) in ledger.replicas() {
                let fits = replica.server == *server
                    && replica.phase == ReplicaPhase::Loaded
                    && free + replica.memory >= memory
                    && is_idle(now, view, replica, fence_of);
                if fits && best.is_none_or(|(size, _, _)| replica.memory < size) {
                    best = Some((replica.memory, id, replica));
                }
            }
        }
        let Some((_, replica, record)) = best else {
            self.reasons.insert(
                model.clone(),
                "no server has enough memory, and no idle replica would make enough room"
                    .to_owned(),
            );
            return;
        };
        budget.steps.push(match fence_of(&record.model) {
            Some(fence) => PlanStep::Retire { replica, fence },
            None => PlanStep::Reclaim { replica },
        });
    }

    fn plan_retirements<F>(
        &self,
        now: Instant,
        view: &PlacementView<'_>,
        budget: &mut PlanBudget,
        fence_of: &F,
    ) where
        F: Fn(&str) -> Option<Fence>,
    {
        for (id, replica) in view.state.ledger().replicas() {
            if budget.steps.len() >= MAX_STEPS {
                return;
            }
            if replica.phase != ReplicaPhase::Loaded || has_adapters(view, replica) {
                continue;
            }
            let Some(fence) = fence_of(&replica.model) else {
                continue;
            };
            let is_extra = exceeds_limit(view, replica, budget);
            if is_extra || is_superseded(view, replica) || is_surplus(now, view, replica) {
                budget.steps.push(PlanStep::Retire { replica: id, fence });
            }
        }
    }

    /// Returns whether a replica may be unloaded to make room for another model.
    pub fn may_reclaim(&self, now: Instant, view: &PlacementView<'_>, replica: &Replica) -> bool {
        replica.phase == ReplicaPhase::Loaded && is_idle(now, view, replica, &|_| Some(0))
    }
}

// Returns the numbers of model and adapter loads in flight, without abandoned ones.
fn loads_in_flight(view: &PlacementView<'_>) -> (usize, usize) {
    let mut counts = (0, 0);
    for (id, replica) in view.state.ledger().replicas() {
        if replica.phase != ReplicaPhase::Decided || view.stuck.contains(&id) {
            continue;
        }
        if replica.model.contains(':') {
            counts.1 += 1;
        } else {
            counts.0 += 1;
        }
    }
    counts
}

fn count_present(view: &PlacementView<'_>, model: &str, version: &str) -> usize {
    let replicas = view.state.ledger().replicas_of(model);
    replicas
        .filter(|(id, replica)| {
            replica.version == version
                && replica.phase != ReplicaPhase::Retiring
                && !view.stuck.contains(id)
                && is_usable(view, &replica.server)
        })
        .count()
}

fn has_waiting_adapters(now: Instant, view: &PlacementView<'_>, base: &str) -> bool {
    let requested = view.demand.requested_models(now);
    requested.iter().any(|model| {
        model
            .split_once(':')
            .is_some_and(|(adapter_base, _)| adapter_base == base)
    })
}

fn is_usable(view: &PlacementView<'_>, server: &str) -> bool {
    view.servers.get(server).is_some_and(|server| server.usable)
}

fn capacity_of(view: &PlacementView<'_>, server: &Server) -> Mebibytes {
    let pool = view.state.pool(&server.pool);
    pool.filter(|pool| pool.kind == PoolKind::Engine)
        .map_or(0, |pool| pool.memory_mib)
}

fn eligible_servers<'a>(
    view: &'a PlacementView<'_>,
    model: &str,
) -> Vec<(&'a ServerId, &'a Server)> {
    let base = model.split(':').next().unwrap_or(model);
    let pool = view
        .state
        .model(base)
        .map(|settings| settings.pool.as_str());
    let ledger = view.state.ledger();
    let servers = ledger.servers();
    let fits = |(id, server): &(&ServerId, &Server)| {
        let has_replica = |name: &str, loaded: bool| {
            ledger.replicas_of(name).any(|(_, replica)| {
                replica.server == **id && (!loaded || replica.phase == ReplicaPhase::Loaded)
            })
        };
        Some(server.pool.as_str()) == pool
            && is_usable(view, id)
            && !has_replica(model, false)
            && (base == model || has_replica(base, true))
    };
    servers.filter(fits).collect()
}

// Prefers cached weights, then a zone without replicas of the model, then the most free memory.
fn choose_server(
    view: &PlacementView<'_>,
    model: &ModelId,
    memory: Mebibytes,
    reserved: &BTreeMap<ServerId, Mebibytes>,
) -> Option<ServerId> {
    let ledger = view.state.ledger();
    let zones: Set<_> = ledger
        .replicas_of(model)
        .filter_map(|(_, replica)| ledger.server(&replica.server))
        .map(|server| server.zone.clone())
        .collect();
    let servers = eligible_servers(view, model).into_iter();
    servers
        .filter_map(|(id, server)| {
            let used = ledger.used_memory(id) + reserved.get(id).copied().unwrap_or(0);
            let free = capacity_of(view, server).checked_sub(used)?;
            let cached = view
                .servers
                .get(id)
                .is_some_and(|server| server.cached.contains(model));
            let new_zone = !zones.contains(&server.zone);
            (free >= memory).then_some(((cached, new_zone, free), id))
        })
        .max_by_key(|(rank, _)| *rank)
        .map(|(_, id)| id.clone())
}

fn is_idle<F>(now: Instant, view: &PlacementView<'_>, replica: &Replica, fence_of: &F) -> bool
where
    F: Fn(&str) -> Option<Fence>,
{
    let busy = view.demand.waiting(now, &replica.model) + view.demand.running(now, &replica.model);
    if busy > 0 || has_adapters(view, replica) {
        return false;
    }
    let settings = view.state.model(&replica.model);
    let minimum = settings.map_or(0, |settings| settings.min_replicas as usize);
    if count_present(view, &replica.model, &replica.version) <= minimum {
        return false;
    }
    if fence_of(&replica.model).is_none() {
        // Only the lease holder of that model knows its usage, so it makes the final decision.
        return true;
    }
    let last = view.demand.last_use(&replica.model);
    last.is_none_or(|last| now >= last + MIN_IDLE_TIME)
}

fn has_adapters(view: &PlacementView<'_>, base: &Replica) -> bool {
    if base.model.contains(':') {
        return false;
    }
    view.state.ledger().replicas().any(|(_, replica)| {
        replica.server == base.server
            && replica
                .model
                .split_once(':')
                .is_some_and(|(name, _)| name == &*base.model)
    })
}

// A load that takes effect after it was abandoned can exceed the limit of replicas.
fn exceeds_limit(view: &PlacementView<'_>, replica: &Replica, budget: &PlanBudget) -> bool {
    let Some((_, _, max_replicas)) = view.state.load_spec(&replica.model) else {
        return false;
    };
    let ledger = view.state.ledger();
    let is_retired = |id: ReplicaId| {
        let retires =
            |step: &PlanStep| matches!(step, PlanStep::Retire { replica, .. } if *replica == id);
        budget.steps.iter().any(retires)
    };
    let loaded = ledger
        .replicas_of(&replica.model)
        .filter(|(id, other)| other.phase == ReplicaPhase::Loaded && !is_retired(*id));
    loaded.count() > max_replicas as usize
}

// A replica of an old version is unloaded once the new version is loaded, and every replica of a
// model that is no longer configured is unloaded at once.
fn is_superseded(view: &PlacementView<'_>, replica: &Replica) -> bool {
    let Some((version, _, _)) = view.state.load_spec(&replica.model) else {
        return true;
    };
    if replica.version == version {
        return false;
    }
    let mut replicas = view.state.ledger().replicas_of(&replica.model);
    replicas.any(|(_, other)| other.version == version && other.phase == ReplicaPhase::Loaded)
}

// A replica above the minimum number is unloaded after `keep_warm_s` without use. If the mean gap
// between uses suggests that the next one comes soon, it is kept for 1.25 times that gap if longer.
fn is_surplus(now: Instant, view: &PlacementView<'_>, replica: &Replica) -> bool {
    let base = replica.model.split(':').next().unwrap_or(&replica.model);
    let Some(settings) = view.state.model(base) else {
        return true;
    };
    let minimum = if base == &*replica.model {
        settings.min_replicas as usize
    } else {
        0
    };
    if count_present(view, &replica.model, &replica.version) <= minimum {
        return false;
    }
    let busy = view.demand.waiting(now, &replica.model) + view.demand.running(now, &replica.model);
    let Some(last) = view.demand.last_use(&replica.model) else {
        return false;
    };
    let keep_warm = Duration::from_secs(u64::from(settings.keep_warm_s));
    let typical_gap = view.demand.mean_gap(&replica.model);
    let keep_warm = match typical_gap {
        Some(gap) if gap <= keep_warm * MAX_GAP_FACTOR => keep_warm.max(gap + gap / 4),
        _ => keep_warm,
    };
    busy == 0 && now >= last + keep_warm
}
