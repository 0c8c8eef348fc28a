//! Demand for models at one instance.

use std::time::{Duration, Instant};

use apricotwell_messages::ModelUse;
use apricotwell_types::Map;

use crate::catalog::ServiceId;
use crate::model::RequestedModel;

/// Time over which rates are smoothed.
const SMOOTHING: Duration = Duration::from_millis(2500);
/// Rate below which a model without waiting requests is not told of, in requests a second.
const LEAST_RATE: f64 = 0.01;

#[derive(Debug)]
struct Use {
    rate: f64,
    updated: Instant,
    // Deadlines of waiting requests, by the number of the wait.
    waiting: Map<u64, Instant>,
}

impl Use {
    fn rate(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated).as_secs_f64();
        self.rate * (-age / SMOOTHING.as_secs_f64()).exp()
    }
}

/// Requests for models, smoothed over time, and those that wait.
#[derive(Debug, Default)]
pub struct DemandTable {
    uses: Map<(ServiceId, RequestedModel), Use>,
    last_wait: u64,
}

impl DemandTable {
    /// Notes a request.
    pub fn record_request(&mut self, now: Instant, service: &ServiceId, wanted: &RequestedModel) {
        let entry = self.entry(now, service, wanted);
        entry.rate = entry.rate(now) + 1.0 / SMOOTHING.as_secs_f64();
        entry.updated = now;
    }

    /// Notes that a request waits until `deadline` at most; returns the wait's number.
    pub fn begin_wait(
        &mut self,
        now: Instant,
        service: &ServiceId,
        wanted: &RequestedModel,
        deadline: Instant,
    ) -> u64 {
        self.last_wait += 1;
        let wait = self.last_wait;
        self.entry(now, service, wanted)
            .waiting
            .insert(wait, deadline);
        wait
    }

    /// Notes that a wait is over.
    pub fn end_wait(&mut self, service: &ServiceId, wanted: &RequestedModel, wait: u64) {
        let key = (service.clone(), wanted.clone());
        if let Some(entry) = self.uses.get_mut(&key) {
            entry.waiting.remove(&wait);
        }
    }

    /// Returns the demand to tell, and forgets what has faded.
    pub fn model_uses(&mut self, now: Instant) -> Vec<ModelUse> {
        self.uses
            .retain(|_, entry| !entry.waiting.is_empty() || entry.rate(now) >= LEAST_RATE);
        let told = self.uses.iter().map(|((service, wanted), entry)| {
            let first = entry.waiting.values().min();
            let patience = first.map(|end| end.saturating_duration_since(now).as_millis());
            ModelUse {
                service: service.to_string(),
                model: wanted.model.to_string(),
                adapter: wanted.adapter.as_deref().unwrap_or_default().to_owned(),
                waiting: entry.waiting.len() as u32,
                rate: (entry.rate(now) * 1000.0) as u32,
                patience: patience.unwrap_or_default() as u32,
            }
        });
        told.collect()
    }

    fn entry(&mut self, now: Instant, service: &ServiceId, wanted: &RequestedModel) -> &mut Use {
        let key = (service.clone(), wanted.clone());
        self.uses.entry(key).or_insert(Use {
            rate: 0.0,
            updated: now,
            waiting: Map::default(),
        })
    }
}
