//! Demand for models as entry instances tell it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use apricotwell_types::{InstanceId, ModelId};

/// Use of a model on one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ModelUsage {
    /// Requests waiting.
    pub waiting: u32,
    /// Requests running.
    pub running: u32,
    /// Earliest deadline among those waiting.
    pub deadline: Instant,
}

#[derive(Debug)]
struct ModelDemand {
    uses: BTreeMap<InstanceId, (Instant, ModelUsage)>,
    last_use: Instant,
    // Smoothed pause between two times of use.
    mean_gap: Option<Duration>,
}

/// Demand for the models whose shards this instance holds.
///
/// # Invariants
///
/// What an instance told counts for `lifetime` only, so an instance that died stops counting.
#[derive(Debug)]
pub struct DemandTable {
    lifetime: Duration,
    models: BTreeMap<ModelId, ModelDemand>,
}

impl DemandTable {
    /// Returns a table in which news count for `lifetime`.
    pub fn new(lifetime: Duration) -> Self {
        Self {
            lifetime,
            models: BTreeMap::new(),
        }
    }

    /// Notes what an instance tells of a model.
    pub fn record_usage(&mut self, now: Instant, model: &str, instance: &str, told: ModelUsage) {
        let lifetime = self.lifetime;
        let entry = self.entry(now, model);
        let gap = now.saturating_duration_since(entry.last_use);
        if gap > lifetime {
            entry.mean_gap = Some(entry.mean_gap.map_or(gap, |usual| (usual * 3 + gap) / 4));
        }
        entry.last_use = now;
        entry.uses.insert(instance.into(), (now, told));
    }

    /// Counts a model as used now, when its history is not known.
    pub fn mark_used(&mut self, now: Instant, model: &str) {
        self.entry(now, model);
    }

    /// Returns the requests waiting for a model.
    pub fn waiting(&self, now: Instant, model: &str) -> u32 {
        self.current(now, model).map(|told| told.waiting).sum()
    }

    /// Returns the requests running on a model.
    pub fn running(&self, now: Instant, model: &str) -> u32 {
        self.current(now, model).map(|told| told.running).sum()
    }

    /// Returns the earliest deadline among those waiting for a model.
    pub fn earliest_deadline(&self, now: Instant, model: &str) -> Option<Instant> {
        let waiting = self.current(now, model).filter(|told| told.waiting > 0);
        waiting.map(|told| told.deadline).min()
    }

    /// Returns when a model was last in use.
    pub fn last_use(&self, model: &str) -> Option<Instant> {
        self.models.get(model).map(|entry| entry.last_use)
    }

    /// Returns the usual pause between two times of use.
    pub fn mean_gap(&self, model: &str) -> Option<Duration> {
        self.models.get(model).and_then(|entry| entry.mean_gap)
    }

    /// Returns the models with requests waiting, the most urgent first.
    pub fn requested_models(&self, now: Instant) -> Vec<ModelId> {
        let mut wanted: Vec<(Instant, ModelId)> = self
            .models
            .keys()
            .filter_map(|model| Some((self.earliest_deadline(now, model)?, model.clone())))
            .collect();
        wanted.sort();
        wanted.into_iter().map(|(_, model)| model).collect()
    }

    /// Forgets models for which `keep` is false.
    pub fn retain<F>(&mut self, mut keep: F)
    where
        F: FnMut(&str) -> bool,
    {
        self.models.retain(|model, _| keep(model));
    }

    fn entry(&mut self, now: Instant, model: &str) -> &mut ModelDemand {
        self.models
            .entry(model.into())
            .or_insert_with(|| ModelDemand {
                uses: BTreeMap::new(),
                last_use: now,
                mean_gap: None,
            })
    }

    fn current(&self, now: Instant, model: &str) -> impl Iterator<Item = &ModelUsage> {
        let lifetime = self.lifetime;
        let uses = self.models.get(model).map(|entry| entry.uses.values());
        uses.into_iter()
            .flatten()
            .filter(move |(at, _)| now < *at + lifetime)
            .map(|(_, told)| told)
    }
}
