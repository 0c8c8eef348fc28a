//! The planner.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use apricotwell_state::{PoolKind, Replica, ReplicaPhase, Server, State};
use apricotwell_types::{Fence, Mebibytes, ModelId, ReplicaId, ServerId, Set};

use crate::DemandTable;

/// Records planned at once.
const MAX_STEPS: usize = 16;
/// Idle time below which a replica is not taken from its model for another one.
const MIN_IDLE: Duration = Duration::from_secs(10);
/// Pause after a first failed load; doubled by each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause after failed loads.
const LONGEST_PAUSE: Duration = Duration::from_secs(60);
/// Pauses between uses up to this multiple of `keep_warm_s` are waited out with the replica kept.
const GAP_MULTIPLE: u32 = 2;

/// Server as this instance sees it besides the ledger.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerView {
    /// Whether it answers and is not leaving.
    pub usable: bool,
    /// Models whose weights it has in memory or on disk.
    pub cached: Set<ModelId>,
}

/// What a plan is made from.
#[derive(Debug)]
pub struct PlacementView<'a> {
    /// Folded state.
    pub state: &'a State,
    /// Demand for held models.
    pub demand: &'a DemandTable,
    /// Servers as seen from here.
    pub servers: &'a BTreeMap<ServerId, ServerView>,
    /// Replicas whose load has been undetermined for too long to be counted on.
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
        /// Fence of the model's shard.
        fence: Fence,
    },
    /// Unload a replica of a held model.
    Retire {
        /// Replica.
        replica: ReplicaId,
        /// Fence of the model's shard.
        fence: Fence,
    },
    /// Ask the holder of another model to unload an idle replica.
    Reclaim {
        /// Replica.
        replica: ReplicaId,
    },
}

/// Plans for the models whose shards this instance holds.
#[derive(Debug, Default)]
pub struct PlacementPlanner {
    // Why a wanted model is not being loaded, for operators.
    reasons: BTreeMap<ModelId, String>,
    failures: BTreeMap<ModelId, Failure>,
}

#[derive(Debug)]
struct Failure {
    count: u32,
    retry: Instant,
}

struct Budget {
    models: usize,
    adapters: usize,
    steps: Vec<PlanStep>,
    // Memory that earlier steps of this plan take.
    taken: BTreeMap<ServerId, Mebibytes>,
}

impl PlacementPlanner {
    /// Returns why a wanted model is not being loaded.
    pub fn reason(&self, model: &str) -> Option<&str> {
        self.reasons.get(model).map(String::as_str)
    }

    /// Notes a load that its server failed; the model is not loaded again for a while.
    pub fn record_load_failure(&mut self, now: Instant, model: &str) {
        let failure = self.failures.entry(model.into()).or_insert(Failure {
            count: 0,
            retry: now,
        });
        let pause = FIRST_PAUSE.saturating_mul(1 << failure.count.min(8));
        failure.count += 1;
        failure.retry = now + pause.min(LONGEST_PAUSE);
    }

    /// Notes a load that succeeded.
    pub fn record_load_success(&mut self, model: &str) {
        self.failures.remove(model);
    }

    /// Plans the next steps; `fence_of` gives the fence of a model that is held right now.
    pub fn plan<F>(&mut self, now: Instant, view: &PlacementView<'_>, fence_of: F) -> Vec<PlanStep>
    where
        F: Fn(&str) -> Option<Fence>,
    {
        self.reasons.clear();
        let (models, adapters) = in_flight(view);
        let store = view.state.store();
        let mut budget = Budget {
            models: (store.parallel_loads as usize).saturating_sub(models),
            adapters: (store.parallel_adapters as usize).saturating_sub(adapters),
            steps: Vec::new(),
            taken: BTreeMap::new(),
        };
        for model in self.wanted_models(now, view, &fence_of) {
            if budget.steps.len() >= MAX_STEPS {
                break;
            }
            let Some(fence) = fence_of(&model) else {
                continue;
            };
            if self
                .failures
                .get(&model)
                .is_some_and(|failure| now < failure.retry)
            {
                let reason = "its last load failed; it is tried again after a pause";
                self.reasons.insert(model, reason.to_owned());
                continue;
            }
            self.plan_loads(now, view, &model, fence, &mut budget, &fence_of);
        }
        self.plan_retirements(now, view, &mut budget, &fence_of);
        budget.steps
    }

    // Models with waiting requests by deadline, then those below their least number of replicas
    // or with a version to roll.
    fn wanted_models<F>(&self, now: Instant, view: &PlacementView<'_>, fence_of: &F) -> Vec<ModelId>
    where
        F: Fn(&str) -> Option<Fence>,
    {
        let mut wanted = view.demand.requested_models(now);
        // An adapter waits for its base model first.
        let bases: Vec<ModelId> = wanted
            .iter()
            .filter_map(|model| model.split_once(':').map(|(base, _)| base.into()))
            .collect();
        wanted.extend(bases);
        for (name, settings) in view.state.models() {
            let outdated = view
                .state
                .ledger()
                .replicas_of(name)
                .any(|(_, replica)| replica.version != settings.version);
            if (settings.min_replicas > 0 || outdated) && fence_of(name).is_some() {
                wanted.push(name.into());
            }
        }
        let mut seen = Set::default();
        wanted.retain(|model| seen.insert(model.clone()));
        wanted
    }

    fn plan_loads<F>(
        &mut self,
        now: Instant,
        view: &PlacementView<'_>,
        model: &ModelId,
        fence: Fence,
        budget: &mut Budget,
        fence_of: &F,
    ) where
        F: Fn(&str) -> Option<Fence>,
    {
        let Some((version, memory, max_replicas)) = view.state.load_spec(model) else {
            return;
        };
        let present = count_present(view, model, &version);
        let want = self.want(now, view, model, &version);
        if present >= want {
            return;
        }
        let all = view.state.ledger().count_towards_limit(model, fence);
        if all >= max_replicas as usize {
            self.explain_limit(view, model, &version, budget, fence);
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
                "the weight store has all loads in flight that /platform/store allows".to_owned(),
            );
            return;
        }
        match choose_server(view, model, memory, &budget.taken) {
            Some(server) => {
                *slots -= 1;
                *budget.taken.entry(server.clone()).or_default() += memory;
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

    // How many replicas of the present version there should be.
    fn want(&self, now: Instant, view: &PlacementView<'_>, model: &str, version: &str) -> usize {
        let waiting = view.demand.waiting(now, model);
        let settings = view.state.model(model);
        let least = settings.map_or(0, |settings| settings.min_replicas as usize);
        let slots = settings
            .and_then(|settings| view.state.pool(&settings.pool))
            .map_or(1, |pool| pool.slots.max(1));
        let running = view.demand.running(now, model);
        let for_demand = if waiting > 0 {
            (waiting + running).div_ceil(slots) as usize
        } else {
            0
        };
        // A new version needs one replica before the old ones may go.
        let ledger = view.state.ledger();
        let rolling = ledger.replicas_of(model).any(|(_, replica)| {
            replica.version != version && replica.phase == ReplicaPhase::Loaded
        });
        let for_base = usize::from(adapters_wait(now, view, model));
        least
            .max(for_demand)
            .max(usize::from(rolling))
            .max(for_base)
    }

    // At the limit of replicas, a roll needs an old one to go first when there are several.
    fn explain_limit(
        &mut self,
        view: &PlacementView<'_>,
        model: &ModelId,
        version: &str,
        budget: &mut Budget,
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
                "a replica of the old version makes room; set max_replicas above the replicas in \
                 use to roll without a gap"
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

    // Retires the idle replica whose return costs least on a server where that makes room.
    fn make_room<F>(
        &mut self,
        now: Instant,
        view: &PlacementView<'_>,
        model: &ModelId,
        memory: Mebibytes,
        budget: &mut Budget,
        fence_of: &F,
    ) where
        F: Fn(&str) -> Option<Fence>,
    {
        let ledger = view.state.ledger();
        let servers = eligible_servers(view, model);
        let mut best: Option<(Mebibytes, ReplicaId, &Replica)> = None;
        for (server, record) in servers {
            let capacity = capacity_of(view, record);
            // A retirement under way on the server may already make enough room.
            let leaving: Mebibytes = ledger
                .replicas()
                .filter(|(_, replica)| {
                    replica.server == *server && replica.phase == ReplicaPhase::Retiring
                })
                .map(|(_, replica)| replica.memory)
                .sum();
            let free = (capacity + leaving).saturating_sub(ledger.used_memory(server));
            if leaving > 0 && free >= memory {
                let reason = "an idle replica is being unloaded to make room";
                self.reasons.insert(model.clone(), reason.to_owned());
                return;
            }
            for (id, replica) in ledger.replicas() {
                let fits = replica.server == *server
                    && replica.phase == ReplicaPhase::Loaded
                    && free + replica.memory >= memory
                    && is_idle(now, view, replica, fence_of);
                if fits && best.is_none_or(|(cost, _, _)| replica.memory < cost) {
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
        budget: &mut Budget,
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
            let is_extra = is_beyond_limit(view, replica, budget);
            if is_extra || is_superseded(view, replica) || is_surplus(now, view, replica) {
                budget.steps.push(PlanStep::Retire { replica: id, fence });
            }
        }
    }

    /// Returns whether a replica may be unloaded for another model's sake.
    pub fn may_reclaim(&self, now: Instant, view: &PlacementView<'_>, replica: &Replica) -> bool {
        replica.phase == ReplicaPhase::Loaded && is_idle(now, view, replica, &|_| Some(0))
    }
}

fn in_flight(view: &PlacementView<'_>) -> (usize, usize) {
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

fn adapters_wait(now: Instant, view: &PlacementView<'_>, base: &str) -> bool {
    let wanted = view.demand.requested_models(now);
    wanted.iter().any(|model| {
        model
            .split_once(':')
            .is_some_and(|(adapter_base, _)| adapter_base == base)
    })
}

fn is_usable(view: &PlacementView<'_>, server: &str) -> bool {
    view.servers.get(server).is_some_and(|seen| seen.usable)
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
        let holds = |name: &str, loaded: bool| {
            ledger.replicas_of(name).any(|(_, replica)| {
                replica.server == **id && (!loaded || replica.phase == ReplicaPhase::Loaded)
            })
        };
        Some(server.pool.as_str()) == pool
            && is_usable(view, id)
            && !holds(model, false)
            && (base == model || holds(base, true))
    };
    servers.filter(fits).collect()
}

// Cached weights first, then another zone than the model's other replicas, then most free memory.
fn choose_server(
    view: &PlacementView<'_>,
    model: &ModelId,
    memory: Mebibytes,
    taken: &BTreeMap<ServerId, Mebibytes>,
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
            let used = ledger.used_memory(id) + taken.get(id).copied().unwrap_or(0);
            let free = capacity_of(view, server).checked_sub(used)?;
            let cached = view
                .servers
                .get(id)
                .is_some_and(|seen| seen.cached.contains(model));
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
    let least = settings.map_or(0, |settings| settings.min_replicas as usize);
    if count_present(view, &replica.model, &replica.version) <= least {
        return false;
    }
    if fence_of(&replica.model).is_none() {
        // The other model's holder knows its use and decides.
        return true;
    }
    let last = view.demand.last_use(&replica.model);
    last.is_none_or(|last| now >= last + MIN_IDLE)
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

// A load that came about after it had been given up leaves one replica too many.
fn is_beyond_limit(view: &PlacementView<'_>, replica: &Replica, budget: &Budget) -> bool {
    let Some((_, _, max_replicas)) = view.state.load_spec(&replica.model) else {
        return false;
    };
    let ledger = view.state.ledger();
    let goes = |id: ReplicaId| {
        let retires =
            |step: &PlanStep| matches!(step, PlanStep::Retire { replica, .. } if *replica == id);
        budget.steps.iter().any(retires)
    };
    let loaded = ledger
        .replicas_of(&replica.model)
        .filter(|(id, other)| other.phase == ReplicaPhase::Loaded && !goes(*id));
    loaded.count() > max_replicas as usize
}

// An old version goes once the new one is loaded, or at once when the model is gone.
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

// Beyond the least number of replicas, one that has been idle for long enough goes. A model whose
// next use is expected soon by its usual pause stays.
fn is_surplus(now: Instant, view: &PlacementView<'_>, replica: &Replica) -> bool {
    let base = replica.model.split(':').next().unwrap_or(&replica.model);
    let Some(settings) = view.state.model(base) else {
        return true;
    };
    let least = if base == &*replica.model {
        settings.min_replicas as usize
    } else {
        0
    };
    if count_present(view, &replica.model, &replica.version) <= least {
        return false;
    }
    let busy = view.demand.waiting(now, &replica.model) + view.demand.running(now, &replica.model);
    let Some(last) = view.demand.last_use(&replica.model) else {
        return false;
    };
    let keep = Duration::from_secs(u64::from(settings.keep_warm_s));
    let usual = view.demand.mean_gap(&replica.model);
    let keep = match usual {
        Some(gap) if gap <= keep * GAP_MULTIPLE => keep.max(gap + gap / 4),
        _ => keep,
    };
    busy == 0 && now >= last + keep
}
