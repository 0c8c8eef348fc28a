//! Metrics of the daemon; `docs/operating/README.md` explains them.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

use apricotwell_types::Refusal;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusalLabels {
    code: &'static str,
    outcome: &'static str,
}

/// Metrics of one daemon.
pub(crate) struct Metrics {
    registry: Registry,
    requests: Counter,
    responses: Counter,
    refusals: Family<RefusalLabels, Counter>,
    attempts: Counter,
    stream_events: Counter,
    control_sent: Counter,
    control_received: Counter,
    open_requests: Gauge,
    ready: Gauge,
    contact_age: Gauge<f64, AtomicU64>,
    first_byte: Histogram,
    log_read: Histogram,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("apricotwell");
        let metrics = Self {
            requests: Counter::default(),
            responses: Counter::default(),
            refusals: Family::default(),
            attempts: Counter::default(),
            stream_events: Counter::default(),
            control_sent: Counter::default(),
            control_received: Counter::default(),
            open_requests: Gauge::default(),
            ready: Gauge::default(),
            contact_age: Gauge::default(),
            first_byte: Histogram::new(exponential_buckets(0.001, 2.0, 17)),
            log_read: Histogram::new(exponential_buckets(0.001, 2.0, 15)),
            registry: Registry::default(),
        };
        let Self {
            requests,
            responses,
            refusals,
            attempts,
            stream_events,
            ..
        } = &metrics;
        registry.register("requests", "Requests accepted", requests.clone());
        registry.register("answers", "Complete responses sent", responses.clone());
        registry.register("refusals", "Requests refused", refusals.clone());
        registry.register("attempts", "Attempts on backend servers", attempts.clone());
        registry.register(
            "stream_events",
            "Streamed events forwarded",
            stream_events.clone(),
        );
        registry.register_with_unit(
            "control_sent",
            "Sent to peers",
            Unit::Bytes,
            metrics.control_sent.clone(),
        );
        registry.register_with_unit(
            "control_received",
            "Records read from the log",
            Unit::Bytes,
            metrics.control_received.clone(),
        );
        registry.register(
            "open_requests",
            "Open requests",
            metrics.open_requests.clone(),
        );
        registry.register(
            "ready",
            "1 if clients should be directed to this instance",
            metrics.ready.clone(),
        );
        registry.register_with_unit(
            "log_contact_age",
            "Time since the log confirmed the view",
            Unit::Seconds,
            metrics.contact_age.clone(),
        );
        registry.register_with_unit(
            "first_byte",
            "Time from a request to the first byte of its response",
            Unit::Seconds,
            metrics.first_byte.clone(),
        );
        registry.register_with_unit(
            "log_read",
            "Duration of log reads that returned records",
            Unit::Seconds,
            metrics.log_read.clone(),
        );
        Self {
            registry,
            ..metrics
        }
    }
}

impl Metrics {
    pub(crate) fn count_request(&self) {
        self.requests.inc();
    }

    pub(crate) fn count_response(&self, stream_events: u64) {
        self.responses.inc();
        self.stream_events.inc_by(stream_events);
    }

    pub(crate) fn count_refusal(&self, refusal: &Refusal) {
        let labels = RefusalLabels {
            code: refusal.kind.code(),
            outcome: refusal.outcome.as_str(),
        };
        self.refusals.get_or_create(&labels).inc();
    }

    pub(crate) fn count_attempt(&self) {
        self.attempts.inc();
    }

    pub(crate) fn record_first_byte(&self, seconds: f64) {
        self.first_byte.observe(seconds);
    }

    pub(crate) fn count_control_sent(&self, bytes: usize) {
        self.control_sent.inc_by(bytes as u64);
    }

    pub(crate) fn record_log_read(&self, bytes: usize, seconds: f64) {
        self.control_received.inc_by(bytes as u64);
        self.log_read.observe(seconds);
    }

    pub(crate) fn set_state(&self, open_requests: usize, ready: bool, contact_age: Option<f64>) {
        self.open_requests.set(open_requests as i64);
        self.ready.set(i64::from(ready));
        self.contact_age.set(contact_age.unwrap_or(f64::INFINITY));
    }

    /// Returns the metrics in the OpenMetrics text format.
    pub(crate) fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
