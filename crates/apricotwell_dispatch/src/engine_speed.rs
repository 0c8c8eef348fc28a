//! Speed of model engines, learned from their responses.
//!
//! The speed of prefills and the time between events are learned by service and model. Each server
//! is compared with them, so that one that becomes slow is detected from a few events of a stream.

use std::time::{Duration, Instant};

use apricotwell_types::{InstanceId, Map};

use crate::catalog::ServiceId;
use crate::engine_load::PREFILL_TOKENS_PER_MS;
use crate::model::ModelName;

/// Smallest weight of an observation in what is learned for a model; the first ones weigh more.
const MIN_WEIGHT: f64 = 0.02;
/// Number of observations of a model from which on servers are compared with it.
const MIN_OBSERVATIONS: u32 = 20;
/// Weight of an observation in a server's slowness.
const SERVER_WEIGHT: f64 = 0.5;
/// Slowness from which on a server counts as slow. Prefills of others make events up to three times
/// slower on a server that is otherwise like the rest.
const SLOW_FACTOR: f64 = 3.5;
/// Events of a stream that make up one observation.
const BLOCK_EVENTS: u32 = 4;
/// Time after which fewer events are one, so that very slow servers are detected in time.
const BLOCK_TIME: Duration = Duration::from_millis(600);
/// Age from which on an instance sends requests again to a server that it observed to be slow.
const RETRY_AGE: Duration = Duration::from_secs(2);
/// Age from which on it no longer reports that. Until then the others leave the trial to it.
const REPORT_AGE: Duration = Duration::from_secs(4);
/// Uncached prompt tokens from which on the time to the first event shows the speed of prefills; that
/// of shorter prompts is mostly a wait for the next steps.
const MIN_PREFILL_TOKENS: f64 = 1500.0;

/// Number of events of a stream since some time.
#[derive(Clone, Copy, Debug)]
pub struct EventBlock {
    start: Instant,
    events: u32,
}

impl EventBlock {
    /// Starts a block at the first event of a stream.
    pub fn new(now: Instant) -> Self {
        Self {
            start: now,
            events: 0,
        }
    }

    /// Counts events; returns the time per event in ms and starts a new block when there are enough.
    pub fn record(&mut self, now: Instant, events: u32) -> Option<f64> {
        self.events += events;
        let time = now.saturating_duration_since(self.start);
        if self.events == 0 || (self.events < BLOCK_EVENTS && time < BLOCK_TIME) {
            return None;
        }
        let event_ms = time.as_secs_f64() * 1000.0 / f64::from(self.events);
        *self = Self::new(now);
        Some(event_ms)
    }
}

/// What was learned for one model.
#[derive(Clone, Copy, Debug, Default)]
struct ModelSpeed {
    // Logarithm of the time between events in ms, and the number of observations.
    event_ms: f64,
    observations: u32,
    prefill: Option<f64>,
}

/// Speeds by service and model.
#[derive(Debug, Default)]
pub struct EngineSpeeds {
    services: Map<ServiceId, Map<ModelName, ModelSpeed>>,
}

impl EngineSpeeds {
    fn model(&mut self, service: &ServiceId, model: &ModelName) -> &mut ModelSpeed {
        let models = self.services.entry(service.clone()).or_default();
        models.entry(model.clone()).or_default()
    }

    /// Records the time per event in ms; returns how many times slower that is than usual, `None`
    /// while too little is known.
    pub fn record_events(
        &mut self,
        service: &ServiceId,
        model: &ModelName,
        event_ms: f64,
    ) -> Option<f64> {
        let speed = self.model(service, model);
        let log = event_ms.max(0.1).ln();
        let ratio = (log - speed.event_ms).exp();
        speed.observations = speed.observations.saturating_add(1);
        let weight = MIN_WEIGHT.max(1.0 / f64::from(speed.observations));
        speed.event_ms += (log - speed.event_ms) * weight;
        (speed.observations > MIN_OBSERVATIONS).then_some(ratio)
    }

    /// Records the time from sending a request to its first event.
    pub fn record_prefill(
        &mut self,
        service: &ServiceId,
        model: &ModelName,
        tokens: f64,
        time: Duration,
    ) {
        let ms = time.as_secs_f64() * 1000.0;
        if tokens < MIN_PREFILL_TOKENS || ms <= 0.0 {
            return;
        }
        let speed = self.model(service, model);
        let known = speed.prefill.unwrap_or(PREFILL_TOKENS_PER_MS);
        let observed = (tokens / ms).clamp(1.0, 1000.0);
        // Requests that wait behind others appear slow, so slow ones weigh less.
        let weight = if observed > known { 0.2 } else { 0.005 };
        speed.prefill = Some(known + (observed - known) * weight);
    }

    /// Returns the speed of prefills in tokens per ms.
    pub fn prefill_speed(&self, service: &str, model: &str) -> f64 {
        let models = self.services.get(service);
        let speed = models.and_then(|models| models.get(model)?.prefill);
        speed.unwrap_or(PREFILL_TOKENS_PER_MS)
    }
}

/// Change of what an instance observes of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpeedChange {
    /// The server became slow.
    Slow,
    /// The server is no longer slow.
    Recovered,
}

/// How much slower than others one server is.
#[derive(Clone, Debug, Default)]
pub struct Slowness {
    // Logarithm of the own observation, and its time.
    own: Option<(f64, Instant)>,
    // By other instances' heartbeats.
    peers: Map<InstanceId, f64>,
}

impl Slowness {
    /// Records how many times slower than usual events were.
    pub fn record(&mut self, now: Instant, ratio: f64) -> Option<SpeedChange> {
        let was_slow = self.reported(now).is_some();
        let (log, _) = self.own.unwrap_or((0.0, now));
        self.own = Some((log + (ratio.ln() - log) * SERVER_WEIGHT, now));
        match (was_slow, self.reported(now).is_some()) {
            (false, true) => Some(SpeedChange::Slow),
            (true, false) => Some(SpeedChange::Recovered),
            _ => None,
        }
    }

    /// Returns how many times slower than usual the server is, to report to other instances; `None`
    /// if this instance doesn't know it to be slow.
    pub fn reported(&self, now: Instant) -> Option<f64> {
        let (log, at) = self.own?;
        let is_recent = now.saturating_duration_since(at) < REPORT_AGE;
        (is_recent && log.exp() >= SLOW_FACTOR).then(|| log.exp())
    }

    /// Sets what another instance reports.
    pub fn set_peer(&mut self, instance: &InstanceId, factor: Option<f64>) {
        match factor {
            Some(factor) => self.peers.insert(instance.clone(), factor),
            None => self.peers.remove(instance),
        };
    }

    /// Removes what an instance that timed out reported.
    pub fn remove_instance(&mut self, instance: &str) {
        self.peers.remove(instance);
    }

    /// Returns how many times slower than usual the server is; 1 if it isn't known to be slow.
    ///
    /// A recent own observation counts more than reports of others, which may be outdated. An
    /// instance whose observation is older tries the server again.
    pub fn factor(&self, now: Instant) -> f64 {
        if let Some((log, at)) = self.own {
            let age = now.saturating_duration_since(at);
            let is_slow = log.exp() >= SLOW_FACTOR;
            if age < RETRY_AGE {
                return if is_slow { log.exp() } else { 1.0 };
            }
            if is_slow && age < REPORT_AGE {
                return 1.0;
            }
        }
        self.peers.values().copied().fold(1.0, f64::max)
    }
}
