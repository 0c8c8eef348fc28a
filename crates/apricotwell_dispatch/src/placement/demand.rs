//! Demand for the models of one service over the whole fleet.

use std::collections::BTreeMap;
use std::time::Duration;

use apricotwell_messages::ModelUse;
use apricotwell_types::{Map, ServerId};

use crate::model::{AdapterName, ModelName};

/// Demand for one model.
#[derive(Clone, Debug, Default)]
pub(super) struct ModelDemand {
    // Requests per second.
    pub(super) rate: f64,
    // Waiting requests.
    pub(super) waiting: u32,
    // Time until the first waiting request times out.
    timeout: Option<Duration>,
    // Concurrent requests, smoothed, at the instances that count them.
    concurrent: f64,
    // Requests per second at the instances that don't count them.
    uncounted_rate: f64,
    // Running requests by server.
    runs: Vec<(ServerId, ServerRuns)>,
    // Waiting requests and rate by adapter.
    pub(super) adapters: BTreeMap<AdapterName, (u32, f64)>,
}

/// Running requests for one model on one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ServerRuns {
    pub(super) count: u32,
    /// Time since the newest of them started.
    pub(super) newest: Duration,
}

/// Demand for all models of a service.
#[derive(Clone, Debug, Default)]
pub(super) struct FleetDemand {
    models: Map<ModelName, ModelDemand>,
    /// Requests per second for all models.
    pub(super) total_rate: f64,
}

impl FleetDemand {
    /// Sums the usage that the instances report for a service.
    pub(super) fn sum<'a, I>(service: &str, uses: I) -> Self
    where
        I: IntoIterator<Item = &'a ModelUse>,
    {
        let mut sums = Self::default();
        for usage in uses.into_iter().filter(|usage| *usage.service == *service) {
            sums.add(usage);
        }
        sums
    }

    fn add(&mut self, usage: &ModelUse) {
        let rate = f64::from(usage.rate) / 1000.0;
        self.total_rate += rate;
        // Most models are reported by many instances, so the name is allocated only once.
        if !self.models.contains_key(usage.model.as_str()) {
            let model = usage.model.as_str().into();
            self.models.insert(model, ModelDemand::default());
        }
        let Some(sum) = self.models.get_mut(usage.model.as_str()) else {
            return;
        };
        sum.rate += rate;
        sum.waiting += usage.waiting;
        match usage.concurrent {
            Some(concurrent) => sum.concurrent += f64::from(concurrent) / 1000.0,
            None => sum.uncounted_rate += rate,
        }
        for run in &usage.runs {
            let newest = Duration::from_millis(u64::from(run.newest_ms));
            let known = sum.runs.iter_mut().find(|(id, _)| **id == *run.server);
            if let Some((_, runs)) = known {
                runs.count += run.requests;
                runs.newest = runs.newest.min(newest);
            } else {
                let count = run.requests;
                sum.runs
                    .push((run.server.as_str().into(), ServerRuns { count, newest }));
            }
        }
        if usage.waiting > 0 {
            let timeout = Duration::from_millis(u64::from(usage.timeout_ms));
            sum.timeout = Some(sum.timeout.map_or(timeout, |known| known.min(timeout)));
        }
        if !usage.adapter.is_empty() {
            let adapter = sum.adapters.entry(usage.adapter.as_str().into());
            let adapter = adapter.or_default();
            adapter.0 += usage.waiting;
            adapter.1 += rate;
        }
    }

    /// Returns the demand for a model.
    pub(super) fn get(&self, model: &str) -> Option<&ModelDemand> {
        self.models.get(model)
    }

    /// Returns the requests per second for a model.
    pub(super) fn rate(&self, model: &str) -> f64 {
        self.get(model).map_or(0.0, |demand| demand.rate)
    }

    /// Returns the smoothed number of concurrent requests for a model.
    pub(super) fn concurrent(&self, model: &str) -> f64 {
        self.get(model).map_or(0.0, |demand| demand.concurrent)
    }

    /// Returns the requests per second for a model at the instances that don't count its concurrent
    /// requests.
    pub(super) fn uncounted_rate(&self, model: &str) -> f64 {
        self.get(model).map_or(0.0, |demand| demand.uncounted_rate)
    }

    /// Returns the requests for a model that run on a server.
    pub(super) fn runs_on(&self, model: &str, server: &str) -> ServerRuns {
        let demand = self.get(model);
        let mut runs = demand.into_iter().flat_map(|demand| &demand.runs);
        let found = runs.find(|(id, _)| **id == *server);
        found.map_or_else(ServerRuns::default, |(_, runs)| *runs)
    }

    /// Returns the models that requests wait for.
    pub(super) fn waiting_models(&self) -> impl Iterator<Item = &ModelName> {
        let waiting = self.models.iter().filter(|(_, demand)| demand.waiting > 0);
        waiting.map(|(model, _)| model)
    }

    /// Returns the adapters that requests wait for, with their models.
    pub(super) fn waiting_adapters(&self) -> Vec<(ModelName, AdapterName)> {
        let waiting = self.models.iter().flat_map(|(model, demand)| {
            let adapters = demand.adapters.iter();
            let waiting = adapters.filter(|(_, (waiting, _))| *waiting > 0);
            waiting.map(|(adapter, _)| (model.clone(), adapter.clone()))
        });
        let mut waiting: Vec<(ModelName, AdapterName)> = waiting.collect();
        waiting.sort();
        waiting
    }

    /// Returns the models that requests wait for, ordered by their earliest timeout.
    pub(super) fn most_urgent(&self) -> Vec<ModelName> {
        let mut waiting: Vec<(Option<Duration>, &ModelName)> = self
            .waiting_models()
            .map(|model| (self.get(model).and_then(|demand| demand.timeout), model))
            .collect();
        waiting.sort();
        waiting
            .into_iter()
            .map(|(_, model)| model.clone())
            .collect()
    }

    /// Returns the models with at least `rate` requests per second, the busiest first.
    pub(super) fn busiest(&self, rate: f64) -> Vec<ModelName> {
        let mut busy: Vec<(f64, &ModelName)> = self
            .models
            .iter()
            .filter(|(_, demand)| demand.rate >= rate)
            .map(|(model, demand)| (demand.rate, model))
            .collect();
        busy.sort_by(|one, other| other.0.total_cmp(&one.0).then(one.1.cmp(other.1)));
        busy.into_iter().map(|(_, model)| model.clone()).collect()
    }
}
