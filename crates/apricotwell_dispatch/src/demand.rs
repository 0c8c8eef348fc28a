//! Demand for models at one instance.

use std::time::{Duration, Instant};

use apricotwell_messages::ModelUse;
use apricotwell_types::Map;

use crate::catalog::ServiceId;
use crate::model::RequestedModel;

/// Time over which rates are smoothed.
const SMOOTHING: Duration = Duration::from_millis(2500);
/// Requests per second below which a model without waiting requests is not reported.
const MIN_RATE: f64 = 0.01;

#[derive(Debug)]
struct Usage {
    // Smoothed requests per second at `updated`; decays exponentially from then on.
    rate: f64,
    updated: Instant,
    // Deadlines of waiting requests, by the id of the wait.
    waiting: Map<u64, Instant>,
}

impl Usage {
    fn rate(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated).as_secs_f64();
        self.rate * (-age / SMOOTHING.as_secs_f64()).exp()
    }
}

/// Smoothed request rates and waiting requests of one instance by model.
#[derive(Debug, Default)]
pub struct DemandTable {
    usages: Map<(ServiceId, RequestedModel), Usage>,
    last_wait: u64,
}

impl DemandTable {
    /// Counts a request.
    pub fn record_request(
        &mut self,
        now: Instant,
        service: &ServiceId,
        requested: &RequestedModel,
    ) {
        let entry = self.entry(now, service, requested);
        entry.rate = entry.rate(now) + 1.0 / SMOOTHING.as_secs_f64();
        entry.updated = now;
    }

    /// Records that a request waits for a model until `deadline` at most; returns the id of the wait.
    pub fn begin_wait(
        &mut self,
        now: Instant,
        service: &ServiceId,
        requested: &RequestedModel,
        deadline: Instant,
    ) -> u64 {
        self.last_wait += 1;
        let wait = self.last_wait;
        self.entry(now, service, requested)
            .waiting
            .insert(wait, deadline);
        wait
    }

    /// Removes a wait that has ended.
    pub fn end_wait(&mut self, service: &ServiceId, requested: &RequestedModel, wait: u64) {
        let key = (service.clone(), requested.clone());
        if let Some(entry) = self.usages.get_mut(&key) {
            entry.waiting.remove(&wait);
        }
    }

    /// Returns the demand to report to the other instances; drops models whose rate has decayed.
    pub fn model_uses(&mut self, now: Instant) -> Vec<ModelUse> {
        self.usages
            .retain(|_, entry| !entry.waiting.is_empty() || entry.rate(now) >= MIN_RATE);
        let reports = self.usages.iter().map(|((service, requested), entry)| {
            let first = entry.waiting.values().min();
            let timeout = first.map(|end| end.saturating_duration_since(now).as_millis());
            ModelUse {
                service: service.to_string(),
                model: requested.model.to_string(),
                adapter: requested.adapter.as_deref().unwrap_or_default().to_owned(),
                waiting: entry.waiting.len() as u32,
                rate: (entry.rate(now) * 1000.0) as u32,
                timeout_ms: timeout.unwrap_or_default() as u32,
            }
        });
        reports.collect()
    }

    fn entry(
        &mut self,
        now: Instant,
        service: &ServiceId,
        requested: &RequestedModel,
    ) -> &mut Usage {
        let key = (service.clone(), requested.clone());
        self.usages.entry(key).or_insert(Usage {
            rate: 0.0,
            updated: now,
            waiting: Map::default(),
        })
    }
}
