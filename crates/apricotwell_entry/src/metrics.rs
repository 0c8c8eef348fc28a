//! Metrics; `docs/operating/metrics.md` explains each one.

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
    answers: Counter,
    refusals: Family<RefusalLabels, Counter>,
    retries: Counter,
    events: Counter,
    control_sent: Counter,
    control_received: Counter,
    open: Gauge,
    ready: Gauge,
    contact_age: Gauge<f64, AtomicU64>,
    first_byte: Histogram,
    in_force: Histogram,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("apricotwell");
        let metrics = Self {
            requests: Counter::default(),
            answers: Counter::default(),
            refusals: Family::default(),
            retries: Counter::default(),
            events: Counter::default(),
            control_sent: Counter::default(),
            control_received: Counter::default(),
            open: Gauge::default(),
            ready: Gauge::default(),
            contact_age: Gauge::default(),
            first_byte: Histogram::new(exponential_buckets(0.001, 2.0, 17)),
            in_force: Histogram::new(exponential_buckets(0.001, 2.0, 15)),
            registry: Registry::default(),
        };
        let Self {
            requests,
            answers,
            refusals,
            retries,
            events,
            ..
        } = &metrics;
        registry.register("requests", "Requests accepted", requests.clone());
        registry.register("answers", "Whole answers passed on", answers.clone());
        registry.register("refusals", "Requests refused", refusals.clone());
        registry.register("attempts", "Attempts on backend servers", retries.clone());
        registry.register("stream_events", "Streamed events passed on", events.clone());
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
            "Requests without an end",
            metrics.open.clone(),
        );
        registry.register(
            "ready",
            "1 when callers may be sent here",
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
            "Time from a request to the first byte of its answer",
            Unit::Seconds,
            metrics.first_byte.clone(),
        );
        registry.register_with_unit(
            "log_read",
            "Time of a read of the log that brought records",
            Unit::Seconds,
            metrics.in_force.clone(),
        );
        Self {
            registry,
            ..metrics
        }
    }
}

impl Metrics {
    pub(crate) fn note_request(&self) {
        self.requests.inc();
    }

    pub(crate) fn note_answer(&self, events: u64) {
        self.answers.inc();
        self.events.inc_by(events);
    }

    pub(crate) fn note_refusal(&self, refusal: &Refusal) {
        let labels = RefusalLabels {
            code: refusal.kind.code(),
            outcome: refusal.outcome.as_str(),
        };
        self.refusals.get_or_create(&labels).inc();
    }

    pub(crate) fn note_attempt(&self) {
        self.retries.inc();
    }

    pub(crate) fn note_first_byte(&self, seconds: f64) {
        self.first_byte.observe(seconds);
    }

    pub(crate) fn note_control_sent(&self, bytes: usize) {
        self.control_sent.inc_by(bytes as u64);
    }

    pub(crate) fn note_log_read(&self, bytes: usize, seconds: f64) {
        self.control_received.inc_by(bytes as u64);
        self.in_force.observe(seconds);
    }

    pub(crate) fn note_state(&self, open: usize, ready: bool, contact_age: Option<f64>) {
        self.open.set(open as i64);
        self.ready.set(i64::from(ready));
        self.contact_age.set(contact_age.unwrap_or(f64::INFINITY));
    }

    /// Returns the metrics as text.
    pub(crate) fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
