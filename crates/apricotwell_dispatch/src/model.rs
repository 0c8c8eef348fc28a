//! Names of models and adapters.

use std::sync::Arc;

/// Name of a model.
pub type ModelName = Arc<str>;
/// Name of an adapter of some model.
pub type AdapterName = Arc<str>;

/// Model that a request asks for, with an adapter or without.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestedModel {
    /// Model.
    pub model: ModelName,
    /// Adapter of that model.
    pub adapter: Option<AdapterName>,
}

/// What a server holds and what it can load without the weight store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Holdings {
    /// Orders that the server had accepted when this was true, 0 where that isn't known.
    pub orders: u64,
    /// Models that it can run, with their adapters.
    pub models: Vec<(ModelName, Vec<AdapterName>)>,
    /// Models whose weights it has in memory.
    pub in_memory: Vec<ModelName>,
    /// Models whose weights it has on disk.
    pub on_disk: Vec<ModelName>,
}

impl Holdings {
    /// Returns the adapters held of a model, `None` if the model isn't held.
    pub fn adapters(&self, model: &str) -> Option<&[AdapterName]> {
        self.models
            .iter()
            .find(|(name, _)| **name == *model)
            .map(|(_, adapters)| adapters.as_slice())
    }

    /// Returns whether a model with its adapter, if one is wanted, can be run.
    pub fn serves(&self, wanted: &RequestedModel) -> bool {
        let Some(adapters) = self.adapters(&wanted.model) else {
            return false;
        };
        wanted
            .adapter
            .as_ref()
            .is_none_or(|adapter| adapters.contains(adapter))
    }

    /// Returns whether a model's weights are on disk or in memory.
    pub fn is_cached(&self, model: &str) -> bool {
        let is_model = |name: &ModelName| **name == *model;
        self.on_disk.iter().any(is_model) || self.in_memory.iter().any(is_model)
    }

    /// Returns the number of adapters held.
    pub fn adapter_count(&self) -> usize {
        self.models.iter().map(|(_, adapters)| adapters.len()).sum()
    }
}
