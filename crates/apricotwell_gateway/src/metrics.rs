//! Counters and histograms.

use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Bounds of latency buckets, in seconds.
const LATENCY_BOUNDS: [f64; 10] = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 15.0];

/// Labels of a request's end.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct EndLabels {
    /// How the request ended.
    pub outcome: String,
}

/// Metrics of one instance.
pub struct Metrics {
    registry: Registry,
    requests: Family<EndLabels, Counter>,
    first_byte: Histogram,
    store_calls: Family<EndLabels, Counter>,
    orders: Family<EndLabels, Counter>,
    dropped_lines: Counter,
}

impl Metrics {
    /// Registers all metrics.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("apricotwell");
        let requests = Family::default();
        registry.register("requests", "Requests by their end", requests.clone());
        let first_byte = Histogram::new(LATENCY_BOUNDS);
        registry.register(
            "first_byte_seconds",
            "Time to the first byte of an answer",
            first_byte.clone(),
        );
        let store_calls = Family::default();
        registry.register("store_calls", "Calls to the store", store_calls.clone());
        let orders = Family::default();
        registry.register("orders", "Orders to servers by answer", orders.clone());
        let dropped_lines = Counter::default();
        registry.register(
            "dropped_log_lines",
            "Log lines over the budget",
            dropped_lines.clone(),
        );
        Self {
            registry,
            requests,
            first_byte,
            store_calls,
            orders,
            dropped_lines,
        }
    }

    /// Counts the end of a request.
    pub fn note_request(&self, outcome: &str) {
        count(&self.requests, outcome);
    }

    /// Counts the time to an answer's first byte.
    pub fn note_first_byte(&self, time: Duration) {
        self.first_byte.observe(time.as_secs_f64());
    }

    /// Counts a call to the store.
    pub fn note_store_call(&self, outcome: &str) {
        count(&self.store_calls, outcome);
    }

    /// Returns the calls to the store so far, by kind.
    pub fn store_calls(&self) -> [(&'static str, u64); 6] {
        ["read", "join", "members", "keep", "kept", "failed"].map(|kind| {
            let labels = EndLabels {
                outcome: kind.to_owned(),
            };
            (kind, self.store_calls.get_or_create(&labels).get())
        })
    }

    /// Counts an order.
    pub fn note_order(&self, outcome: &str) {
        count(&self.orders, outcome);
    }

    /// Sets the number of log lines dropped so far.
    pub fn note_dropped_lines(&self, total: u64) {
        let known = self.dropped_lines.get();
        self.dropped_lines.inc_by(total.saturating_sub(known));
    }

    /// Returns all metrics as text.
    ///
    /// # Errors
    ///
    /// Fails when the text can't be written.
    pub fn to_text(&self) -> Result<String, std::fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn count(family: &Family<EndLabels, Counter>, outcome: &str) {
    let labels = EndLabels {
        outcome: outcome.to_owned(),
    };
    family.get_or_create(&labels).inc();
}
