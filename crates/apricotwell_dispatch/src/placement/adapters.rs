//! Placement of adapters.

use super::plan::{Plan, free_memory};
use super::{PlacementPlanner, UNLOAD_TIME};
use crate::model::{AdapterName, ModelName};
use crate::orders::{Operation, ServerOrders};

/// Maximum number of adapters that one plan loads for a service; limits concurrent reads from the
/// weight store.
const PARALLEL_ADAPTERS: usize = 16;

impl PlacementPlanner {
    /// Loads adapters that requests wait for, or unloads others to free adapter slots for them.
    pub(super) fn plan_adapters(&mut self, plan: &mut Plan<'_>) {
        let mut waiting = plan.demand.waiting_adapters();
        waiting.truncate(PARALLEL_ADAPTERS);
        for (model, adapter) in waiting {
            self.plan_adapter(plan, &model, &adapter);
        }
    }

    fn plan_adapter(&mut self, plan: &mut Plan<'_>, model: &ModelName, adapter: &AdapterName) {
        let held = plan.backends.keys().any(|id| {
            let server = self.servers.get(id);
            server
                .and_then(ServerOrders::inventory)
                .and_then(|inventory| inventory.adapters(model))
                .is_some_and(|adapters| adapters.contains(adapter))
        });
        if held {
            return;
        }
        let Some(spec) = plan.engine.model(model) else {
            return;
        };
        // The adapters of a model are named `a1`, `a2` and so on.
        let number = adapter.strip_prefix('a').and_then(|n| n.parse().ok());
        if number.is_none_or(|number: u32| number == 0 || number > spec.adapters) {
            return;
        }
        let best = plan
            .backends
            .iter()
            .filter(|(id, _)| self.can_order(plan, id))
            .filter_map(|(id, backend)| {
                let inventory = self.servers.get(id)?.inventory()?;
                inventory.adapters(model)?;
                let full = inventory.adapter_count() >= plan.engine.adapter_slots
                    || free_memory(plan.engine, inventory) < spec.adapter_mb;
                Some((full, inventory.adapter_count(), backend.in_flight(), id))
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

    // Returns the order to unload the least requested adapter, `None` while an unload is pending.
    fn coldest_adapter(&self, plan: &Plan<'_>, id: &str) -> Option<Operation> {
        let server = self.servers.get(id)?;
        if server.unloading_adapters() > 0 {
            return None;
        }
        let inventory = server.inventory()?;
        let rated = inventory.models.iter().flat_map(|(model, adapters)| {
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
