//! Inventories of servers that the lease holder broadcasts to other instances.

use std::collections::BTreeMap;
use std::time::Instant;

use apricotwell_messages::{HeldModel, ServerInventory};
use apricotwell_types::ServerId;

use crate::backends::BackendTable;
use crate::model::Inventory;
use crate::orders::ServerOrders;
use crate::placement::PlacementPlanner;

/// Number of times that a changed inventory is sent, as datagrams may be lost.
const TRANSMISSIONS: u32 = 3;
/// Unchanged inventories that each batch repeats, round robin. For the others, instances use the
/// platform's server list, which lags.
const REFRESHES_PER_BATCH: usize = 4;

#[derive(Debug)]
struct SentInventory {
    models: Vec<HeldModel>,
    loading: String,
    leaving: String,
    transmissions_left: u32,
}

/// Selects the inventories to broadcast, so that the size of a batch doesn't grow with the number
/// of servers.
#[derive(Debug, Default)]
pub struct InventoryUpdates {
    sent: BTreeMap<ServerId, SentInventory>,
    // Last server whose unchanged inventory was repeated.
    last_refreshed: Option<ServerId>,
}

impl InventoryUpdates {
    /// Returns whether some server's inventory changed since it was last sent.
    pub fn has_change(
        &self,
        now: Instant,
        planner: &PlacementPlanner,
        list: &BackendTable,
    ) -> bool {
        planner.servers().any(|(id, server)| {
            encode_inventory(now, id, server)
                .is_some_and(|inventory| !self.is_sent(id, &inventory, list))
        })
    }

    /// Returns the inventories to send next; `list` is the server list, which other instances also
    /// have.
    pub fn take_batch(
        &mut self,
        now: Instant,
        planner: &PlacementPlanner,
        list: &BackendTable,
    ) -> Vec<ServerInventory> {
        let refreshed = self.next_refreshed(planner);
        let mut batch = Vec::new();
        self.sent
            .retain(|id, _| planner.servers().any(|(known, _)| known == id));
        for (id, server) in planner.servers() {
            let Some(inventory) = encode_inventory(now, id, server) else {
                continue;
            };
            if !self.is_sent(id, &inventory, list) {
                let sent = SentInventory {
                    models: inventory.models.clone(),
                    loading: inventory.loading.clone(),
                    leaving: inventory.leaving.clone(),
                    transmissions_left: TRANSMISSIONS,
                };
                self.sent.insert(id.clone(), sent);
            }
            let left = self
                .sent
                .get_mut(id)
                .map(|sent| &mut sent.transmissions_left);
            let is_due = left.is_some_and(|left| {
                let due = *left > 0;
                *left = left.saturating_sub(1);
                due
            });
            if is_due || refreshed.contains(id) {
                batch.push(inventory);
            }
        }
        batch
    }

    // Whether the other instances were already sent an inventory, or have it from the server list.
    fn is_sent(&self, id: &ServerId, inventory: &ServerInventory, list: &BackendTable) -> bool {
        match self.sent.get(id) {
            Some(sent) => {
                sent.models == inventory.models
                    && sent.loading == inventory.loading
                    && sent.leaving == inventory.leaving
            }
            // A new lease holder has sent nothing yet: only differences from the list count.
            None => list.get(id).is_some_and(|server| {
                inventory.loading.is_empty()
                    && inventory.leaving.is_empty()
                    && encode_models(&server.entry.inventory) == inventory.models
            }),
        }
    }

    // Returns the servers whose inventories are repeated next, round robin.
    fn next_refreshed(&mut self, planner: &PlacementPlanner) -> Vec<ServerId> {
        let ids = || planner.servers().map(|(id, _)| id.clone());
        let last = self.last_refreshed.clone();
        let after = ids().filter(|id| last.as_ref().is_none_or(|last| id > last));
        let refreshed: Vec<ServerId> = after.chain(ids()).take(REFRESHES_PER_BATCH).collect();
        self.last_refreshed = refreshed.last().cloned();
        refreshed
    }
}

/// Encodes what requests can use on a server; `None` before its first report.
pub(crate) fn encode_inventory(
    now: Instant,
    id: &ServerId,
    server: &ServerOrders,
) -> Option<ServerInventory> {
    let inventory = server.servable(now)?;
    let loading = server.loading();
    Some(ServerInventory {
        server: id.to_string(),
        started_ms: server.started_ms(),
        orders: inventory.orders,
        models: encode_models(&inventory),
        loading: loading
            .map(|(model, _)| model.to_string())
            .unwrap_or_default(),
        remaining_ms: loading.map_or(0, |(_, ends)| {
            ends.saturating_duration_since(now).as_millis() as u32
        }),
        leaving: server
            .leaving(now)
            .map(ToString::to_string)
            .unwrap_or_default(),
    })
}

fn encode_models(inventory: &Inventory) -> Vec<HeldModel> {
    let models = inventory.models.iter();
    models
        .map(|(model, adapters)| HeldModel {
            model: model.to_string(),
            adapters: adapters.iter().map(ToString::to_string).collect(),
        })
        .collect()
}
