//! Names of models and adapters.

use std::sync::Arc;

/// Name of a model.
pub type ModelName = Arc<str>;
/// Name of an adapter of a model.
pub type AdapterName = Arc<str>;

/// Model that a request is for, with an optional adapter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestedModel {
    /// Model.
    pub model: ModelName,
    /// Adapter of that model.
    pub adapter: Option<AdapterName>,
}

/// Models that a server holds and weights that it can load without the weight store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Inventory {
    /// Number of orders that the server had accepted in this state, 0 if unknown.
    pub orders: u64,
    /// Models that it can run, with their adapters.
    pub models: Vec<(ModelName, Vec<AdapterName>)>,
    /// Models whose weights are in its memory.
    pub in_memory: Vec<ModelName>,
    /// Models whose weights are on its disk.
    pub on_disk: Vec<ModelName>,
}

impl Inventory {
    /// Returns the loaded adapters of a model, `None` if the model isn't loaded.
    pub fn adapters(&self, model: &str) -> Option<&[AdapterName]> {
        self.models
            .iter()
            .find(|(name, _)| **name == *model)
            .map(|(_, adapters)| adapters.as_slice())
    }

    /// Returns whether the server can run the requested model and adapter.
    pub fn serves(&self, requested: &RequestedModel) -> bool {
        let Some(adapters) = self.adapters(&requested.model) else {
            return false;
        };
        requested
            .adapter
            .as_ref()
            .is_none_or(|adapter| adapters.contains(adapter))
    }

    /// Returns whether a model's weights are on disk or in memory.
    pub fn is_cached(&self, model: &str) -> bool {
        let is_model = |name: &ModelName| **name == *model;
        self.on_disk.iter().any(is_model) || self.in_memory.iter().any(is_model)
    }

    /// Returns the number of loaded adapters.
    pub fn adapter_count(&self) -> usize {
        self.models.iter().map(|(_, adapters)| adapters.len()).sum()
    }
}
