//! Demand for models, as reported by the instances.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use apricotwell_types::{InstanceId, ModelId};

/// Usage of a model on one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ModelUsage {
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of running requests.
    pub running: u32,
    /// Earliest deadline of the waiting requests.
    pub deadline: Instant,
}

#[derive(Debug)]
struct ModelDemand {
    // The last report of each instance and when it was received.
    usages: BTreeMap<InstanceId, (Instant, ModelUsage)>,
    last_use: Instant,
    // Exponentially weighted mean of the gaps between periods of use.
    mean_gap: Option<Duration>,
}

/// Demand for the models whose shards this instance holds.
///
/// # Invariants
///
/// A report counts for `lifetime` only, so the demand of a failed instance expires.
#[derive(Debug)]
pub struct DemandTable {
    lifetime: Duration,
    models: BTreeMap<ModelId, ModelDemand>,
}

impl DemandTable {
    /// Creates a table in which a report counts for `lifetime`.
    pub fn new(lifetime: Duration) -> Self {
        Self {
            lifetime,
            models: BTreeMap::new(),
        }
    }

    /// Records the usage of a model that an instance reported.
    pub fn record_usage(&mut self, now: Instant, model: &str, instance: &str, usage: ModelUsage) {
        let lifetime = self.lifetime;
        let entry = self.entry(now, model);
        let gap = now.saturating_duration_since(entry.last_use);
        if gap > lifetime {
            entry.mean_gap = Some(entry.mean_gap.map_or(gap, |mean| (mean * 3 + gap) / 4));
        }
        entry.last_use = now;
        entry.usages.insert(instance.into(), (now, usage));
    }

    /// Assumes that a model was last used now, unless it has a recorded last use.
    pub fn assume_used(&mut self, now: Instant, model: &str) {
        self.entry(now, model);
    }

    /// Returns the number of requests that wait for a model.
    pub fn waiting(&self, now: Instant, model: &str) -> u32 {
        self.current_usages(now, model)
            .map(|usage| usage.waiting)
            .sum()
    }

    /// Returns the number of requests that run on a model.
    pub fn running(&self, now: Instant, model: &str) -> u32 {
        self.current_usages(now, model)
            .map(|usage| usage.running)
            .sum()
    }

    /// Returns the earliest deadline of the requests that wait for a model.
    pub fn earliest_deadline(&self, now: Instant, model: &str) -> Option<Instant> {
        let waiting = self
            .current_usages(now, model)
            .filter(|usage| usage.waiting > 0);
        waiting.map(|usage| usage.deadline).min()
    }

    /// Returns when usage of a model was last reported or assumed.
    pub fn last_use(&self, model: &str) -> Option<Instant> {
        self.models.get(model).map(|entry| entry.last_use)
    }

    /// Returns the smoothed gap between periods of use, or `None` before the first gap.
    ///
    /// Only gaps longer than the lifetime of a report count.
    pub fn mean_gap(&self, model: &str) -> Option<Duration> {
        self.models.get(model).and_then(|entry| entry.mean_gap)
    }

    /// Returns the models with waiting requests, the earliest deadline first.
    pub fn requested_models(&self, now: Instant) -> Vec<ModelId> {
        let mut by_deadline: Vec<(Instant, ModelId)> = self
            .models
            .keys()
            .filter_map(|model| Some((self.earliest_deadline(now, model)?, model.clone())))
            .collect();
        by_deadline.sort();
        by_deadline.into_iter().map(|(_, model)| model).collect()
    }

    /// Removes the models for which `keep` returns false.
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
                usages: BTreeMap::new(),
                last_use: now,
                mean_gap: None,
            })
    }

    fn current_usages(&self, now: Instant, model: &str) -> impl Iterator<Item = &ModelUsage> {
        let lifetime = self.lifetime;
        let usages = self.models.get(model).map(|entry| entry.usages.values());
        usages
            .into_iter()
            .flatten()
            .filter(move |(at, _)| now < *at + lifetime)
            .map(|(_, usage)| usage)
    }
}
