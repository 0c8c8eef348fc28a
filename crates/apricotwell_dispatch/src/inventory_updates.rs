//! What the lease holder tells others of the servers' stock.

use std::collections::BTreeMap;
use std::time::Instant;

use apricotwell_messages::{ModelHeld, ServerStock};
use apricotwell_types::ServerId;

use crate::backends::BackendTable;
use crate::model::Inventory;
use crate::orders::ServerOrders;
use crate::placement::PlacementPlanner;

/// Datagrams that tell of a change, as one may be lost.
const REPEATS: u32 = 3;
/// Servers told of each time though nothing changed, in turn. The platform's list tells of the others,
/// later.
const REFRESHED: usize = 4;

#[derive(Debug)]
struct Told {
    models: Vec<ModelHeld>,
    loading: String,
    repeats: u32,
}

/// Picks what to tell, so that its size does not grow with the number of servers.
#[derive(Debug, Default)]
pub struct InventoryUpdates {
    told: BTreeMap<ServerId, Told>,
    // Last server that was told of in turn.
    last: Option<ServerId>,
}

impl InventoryUpdates {
    /// Returns whether a server changed since it was last told of.
    pub fn has_change(
        &self,
        now: Instant,
        planner: &PlacementPlanner,
        list: &BackendTable,
    ) -> bool {
        planner.servers().any(|(id, server)| {
            stock_of(now, id, server).is_some_and(|stock| !self.is_told(id, &stock, list))
        })
    }

    /// Returns what is to be told next; others know what the list of servers says.
    pub fn take_batch(
        &mut self,
        now: Instant,
        planner: &PlacementPlanner,
        list: &BackendTable,
    ) -> Vec<ServerStock> {
        let turn = self.next_turn(planner);
        let mut news = Vec::new();
        self.told
            .retain(|id, _| planner.servers().any(|(known, _)| known == id));
        for (id, server) in planner.servers() {
            let Some(stock) = stock_of(now, id, server) else {
                continue;
            };
            if !self.is_told(id, &stock, list) {
                let told = Told {
                    models: stock.models.clone(),
                    loading: stock.loading.clone(),
                    repeats: REPEATS,
                };
                self.told.insert(id.clone(), told);
            }
            let repeats = self.told.get_mut(id).map(|told| &mut told.repeats);
            let repeated = repeats.is_some_and(|repeats| {
                let left = *repeats > 0;
                *repeats = repeats.saturating_sub(1);
                left
            });
            if repeated || turn.contains(id) {
                news.push(stock);
            }
        }
        news
    }

    fn is_told(&self, id: &ServerId, stock: &ServerStock, list: &BackendTable) -> bool {
        match self.told.get(id) {
            Some(told) => told.models == stock.models && told.loading == stock.loading,
            // A new holder of the lease has told nothing: only what the list lacks is news.
            None => list.get(id).is_some_and(|server| {
                stock.loading.is_empty() && held(&server.entry.inventory) == stock.models
            }),
        }
    }

    fn next_turn(&mut self, planner: &PlacementPlanner) -> Vec<ServerId> {
        let ids = || planner.servers().map(|(id, _)| id.clone());
        let last = self.last.clone();
        let after = ids().filter(|id| last.as_ref().is_none_or(|last| id > last));
        let turn: Vec<ServerId> = after.chain(ids()).take(REFRESHED).collect();
        self.last = turn.last().cloned();
        turn
    }
}

fn stock_of(now: Instant, id: &ServerId, server: &ServerOrders) -> Option<ServerStock> {
    let inventory = server.servable(now)?;
    let loading = server.loading();
    Some(ServerStock {
        server: id.to_string(),
        born: server.started_ms(),
        orders: inventory.orders,
        models: held(&inventory),
        loading: loading
            .map(|(model, _)| model.to_string())
            .unwrap_or_default(),
        remaining: loading.map_or(0, |(_, ends)| {
            ends.saturating_duration_since(now).as_millis() as u32
        }),
    })
}

fn held(inventory: &Inventory) -> Vec<ModelHeld> {
    let models = inventory.models.iter();
    models
        .map(|(model, adapters)| ModelHeld {
            model: model.to_string(),
            adapters: adapters.iter().map(ToString::to_string).collect(),
        })
        .collect()
}
