//! State of one planning round for a service.

use std::collections::BTreeMap;
use std::time::Instant;

use apricotwell_types::{Map, ServerId};

use super::Order;
use super::demand::FleetDemand;
use crate::backends::Backend;
use crate::catalog::EngineSpec;
use crate::model::{Inventory, ModelName};

/// Servers of one service, the demand for its models and the orders planned so far.
pub(super) struct Plan<'a> {
    pub(super) now: Instant,
    pub(super) engine: &'a EngineSpec,
    pub(super) backends: BTreeMap<ServerId, &'a Backend>,
    pub(super) demand: FleetDemand,
    pub(super) orders: Vec<Order>,
    // Servers that hold or will load each model, with the planned orders counted in.
    replicas: Map<ModelName, usize>,
    // Servers with a copy of each model on disk.
    copies: Map<ModelName, Vec<ServerId>>,
}

impl<'a> Plan<'a> {
    /// Returns a plan without orders.
    pub(super) fn new<I>(
        now: Instant,
        engine: &'a EngineSpec,
        backends: I,
        demand: FleetDemand,
    ) -> Self
    where
        I: Iterator<Item = &'a Backend>,
    {
        Self {
            now,
            engine,
            backends: backends
                .map(|backend| (backend.entry.id.clone(), backend))
                .collect(),
            demand,
            orders: Vec::new(),
            replicas: Map::default(),
            copies: Map::default(),
        }
    }

    /// Adds a server with the models that it keeps and those on its disk.
    pub(super) fn add_server<'m, I>(&mut self, id: &ServerId, kept: I, on_disk: &[ModelName])
    where
        I: Iterator<Item = &'m ModelName>,
    {
        for model in kept {
            self.add_replica(model);
        }
        for model in on_disk {
            let copies = self.copies.entry(model.clone()).or_default();
            copies.push(id.clone());
        }
    }

    /// Counts one more replica of a model.
    pub(super) fn add_replica(&mut self, model: &ModelName) {
        *self.replicas.entry(model.clone()).or_default() += 1;
    }

    /// Counts one replica less of a model.
    pub(super) fn remove_replica(&mut self, model: &ModelName) {
        if let Some(count) = self.replicas.get_mut(model) {
            *count = count.saturating_sub(1);
        }
    }

    /// Returns the number of servers that hold or will load a model.
    pub(super) fn replicas(&self, model: &str) -> usize {
        self.replicas.get(model).copied().unwrap_or_default()
    }

    /// Returns the models that several servers hold or will load, with the number of these.
    pub(super) fn replicated(&self) -> impl Iterator<Item = (&ModelName, usize)> {
        let counted = self.replicas.iter().map(|(model, count)| (model, *count));
        counted.filter(|(_, count)| *count > 1)
    }

    /// Returns the servers with a copy of a model on disk.
    pub(super) fn copies(&self, model: &str) -> &[ServerId] {
        self.copies.get(model).map_or(&[], Vec::as_slice)
    }

    /// Returns whether some server holds a model or can load it without the weight store.
    pub(super) fn has_copy(&self, model: &str) -> bool {
        self.replicas(model) > 0 || !self.copies(model).is_empty()
    }

    /// Returns whether the plan has an order for a server.
    pub(super) fn has_order(&self, id: &str) -> bool {
        self.orders.iter().any(|order| *order.server == *id)
    }
}

/// Returns the memory in MB that neither models nor adapters occupy.
pub(super) fn free_memory(engine: &EngineSpec, inventory: &Inventory) -> f64 {
    let largest = || {
        let weights = engine.models.values().map(|spec| spec.weights_mb);
        weights.fold(0.0, f64::max)
    };
    let taken = inventory.models.iter().map(|(name, adapters)| {
        // A model that is no longer configured is counted as the largest one.
        let spec = engine.model(name);
        let weights = spec.map_or_else(largest, |spec| spec.weights_mb);
        let adapter = spec.map_or(0.0, |spec| spec.adapter_mb);
        weights + adapter * adapters.len() as f64
    });
    engine.memory_mb - taken.sum::<f64>()
}
