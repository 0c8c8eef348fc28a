//! Which adapters servers hold.

use super::plan::{Plan, free_memory};
use super::{PlacementPlanner, UNLOAD_TIME};
use crate::model::{AdapterName, ModelName};
use crate::orders::{Operation, ServerOrders};

/// Adapters on their way from the weight store at once, over all servers.
const PARALLEL_ADAPTERS: usize = 16;

impl PlacementPlanner {
    /// Loads adapters that requests wait for.
    pub(super) fn plan_adapters(&mut self, plan: &mut Plan<'_>) {
        let mut wanted = plan.demand.waiting_adapters();
        wanted.truncate(PARALLEL_ADAPTERS);
        for (model, adapter) in wanted {
            self.plan_adapter(plan, &model, &adapter);
        }
    }

    fn plan_adapter(&mut self, plan: &mut Plan<'_>, model: &ModelName, adapter: &AdapterName) {
        let held = plan.backends.keys().any(|id| {
            let server = self.servers.get(id);
            server
                .and_then(ServerOrders::holdings)
                .and_then(|holdings| holdings.adapters(model))
                .is_some_and(|adapters| adapters.contains(adapter))
        });
        if held {
            return;
        }
        let Some(spec) = plan.engine.model(model) else {
            return;
        };
        let number = adapter.strip_prefix('a').and_then(|n| n.parse().ok());
        if number.is_none_or(|number: u32| number == 0 || number > spec.adapters) {
            return;
        }
        let best = plan
            .backends
            .iter()
            .filter(|(id, _)| self.can_order(plan, id))
            .filter_map(|(id, backend)| {
                let holdings = self.servers.get(id)?.holdings()?;
                holdings.adapters(model)?;
                let full = holdings.adapter_count() >= plan.engine.adapter_slots
                    || free_memory(plan.engine, holdings) < spec.adapter_weights;
                Some((full, holdings.adapter_count(), backend.in_flight(), id))
            })
            .min();
        let Some((full, _, _, id)) = best else {
            return;
        };
        let id = id.clone();
        if !full {
            let operation = Operation::LoadAdapter(model.clone(), adapter.clone());
            self.order(plan, &id, operation, UNLOAD_TIME, false, "adapter_waits");
            return;
        }
        if let Some(operation) = self.coldest_adapter(plan, &id) {
            self.order(plan, &id, operation, UNLOAD_TIME, false, "adapter_room");
        }
    }

    fn coldest_adapter(&self, plan: &Plan<'_>, id: &str) -> Option<Operation> {
        let server = self.servers.get(id)?;
        if server.unloading_adapters() > 0 {
            return None;
        }
        let holdings = server.holdings()?;
        let rated = holdings.models.iter().flat_map(|(model, adapters)| {
            let demand = plan.demand.get(model);
            let staying = adapters
                .iter()
                .filter(|adapter| !server.is_unloading_adapter(model, adapter));
            staying.map(move |adapter| {
                let rate = demand
                    .and_then(|demand| demand.adapters.get(adapter))
                    .map_or(0.0, |(waiting, rate)| rate + f64::from(*waiting));
                (rate, model, adapter)
            })
        });
        let coldest = rated.min_by(|one, other| one.0.total_cmp(&other.0))?;
        Some(Operation::UnloadAdapter(
            coldest.1.clone(),
            coldest.2.clone(),
        ))
    }
}
