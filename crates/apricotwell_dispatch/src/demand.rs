//! Demand for models at one instance.

use std::time::{Duration, Instant};

use apricotwell_messages::{ModelRun, ModelUse};
use apricotwell_types::{Map, ServerId};

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
    // Running requests by server, with the start of the newest.
    running: Map<ServerId, (u32, Instant)>,
    // Smoothed number of running requests as of `concurrent_at`.
    concurrent: f64,
    concurrent_at: Instant,
}

impl Usage {
    fn rate(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated).as_secs_f64();
        self.rate * (-age / SMOOTHING.as_secs_f64()).exp()
    }

    fn running(&self) -> u32 {
        self.running.values().map(|(count, _)| count).sum()
    }

    fn concurrent(&self, now: Instant) -> f64 {
        let age = now
            .saturating_duration_since(self.concurrent_at)
            .as_secs_f64();
        let running = f64::from(self.running());
        running + (self.concurrent - running) * (-age / SMOOTHING.as_secs_f64()).exp()
    }

    // Brings the smoothed number up to date; called before the running requests change.
    fn smooth(&mut self, now: Instant) {
        self.concurrent = self.concurrent(now);
        self.concurrent_at = now;
    }

    fn is_idle(&self, now: Instant) -> bool {
        self.waiting.is_empty()
            && self.running.is_empty()
            && self.rate(now) < MIN_RATE
            && self.concurrent(now) < MIN_RATE
    }
}

/// Smoothed request rates and waiting requests of one instance by model.
#[derive(Debug, Default)]
pub struct DemandTable {
    usages: Map<(ServiceId, RequestedModel), Usage>,
    last_wait: u64,
    counts_runs: bool,
}

impl DemandTable {
    /// Returns an empty table; `counts_runs` states whether running requests are counted and
    /// reported.
    pub fn new(counts_runs: bool) -> Self {
        Self {
            counts_runs,
            ..Self::default()
        }
    }

    /// Sets whether running requests are counted and reported.
    pub fn set_counts_runs(&mut self, counts_runs: bool) {
        self.counts_runs = counts_runs;
    }

    /// Counts a request that starts to run on a server; each call needs one of
    /// [`end_run`](Self::end_run).
    pub fn begin_run(
        &mut self,
        now: Instant,
        service: &ServiceId,
        requested: &RequestedModel,
        server: &ServerId,
    ) {
        if !self.counts_runs {
            return;
        }
        let entry = self.entry(now, service, requested);
        entry.smooth(now);
        let run = entry.running.entry(server.clone()).or_insert((0, now));
        *run = (run.0 + 1, now);
    }

    /// Counts the end of a request on a server.
    pub fn end_run(
        &mut self,
        now: Instant,
        service: &ServiceId,
        requested: &RequestedModel,
        server: &ServerId,
    ) {
        let key = (service.clone(), requested.clone());
        let Some(entry) = self.usages.get_mut(&key) else {
            return;
        };
        entry.smooth(now);
        if let Some(run) = entry.running.get_mut(server) {
            run.0 = run.0.saturating_sub(1);
        }
        entry.running.retain(|_, (count, _)| *count > 0);
    }

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
        let counts_runs = self.counts_runs;
        self.usages.retain(|_, entry| !entry.is_idle(now));
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
                concurrent: counts_runs.then(|| (entry.concurrent(now) * 1000.0) as u32),
                runs: encode_runs(now, entry),
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
            running: Map::default(),
            concurrent: 0.0,
            concurrent_at: now,
        })
    }
}

fn encode_runs(now: Instant, usage: &Usage) -> Vec<ModelRun> {
    let running = usage.running.iter();
    running
        .map(|(server, (requests, newest))| ModelRun {
            server: server.to_string(),
            requests: *requests,
            newest_ms: now.saturating_duration_since(*newest).as_millis() as u32,
        })
        .collect()
}
