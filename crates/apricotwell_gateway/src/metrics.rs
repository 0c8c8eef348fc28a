//! Prometheus metrics of an instance.

use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BOUNDS: [f64; 10] = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 15.0];

/// Upper bounds of the buckets for the time of one plan, in seconds.
const PLAN_BOUNDS: [f64; 7] = [0.0005, 0.001, 0.002, 0.005, 0.01, 0.025, 0.1];

/// Labels of the counters.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// Outcome of a request, kind of a store call or operation of an order.
    pub outcome: String,
}

/// Labels of the counter of responses.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct ResponseLabels {
    /// How the end of the body is marked: `length`, `chunked` or `close`.
    pub framing: &'static str,
    /// How the body ended: `whole` or `broken`.
    pub end: &'static str,
}

/// Labels of the histogram of waits.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct PriorityLabels {
    /// Priority of the request; 0 is the highest.
    pub priority: u32,
}

/// Metrics of one instance.
pub struct Metrics {
    registry: Registry,
    requests: Family<OutcomeLabels, Counter>,
    responses: Family<ResponseLabels, Counter>,
    foreign_responses: Family<OutcomeLabels, Counter>,
    server_limits: Family<OutcomeLabels, Counter>,
    warmups: Family<OutcomeLabels, Counter>,
    limited_requests: Counter,
    permits: Family<OutcomeLabels, Counter>,
    crash_checks: Family<OutcomeLabels, Counter>,
    quarantine: Family<OutcomeLabels, Counter>,
    reach: Family<OutcomeLabels, Counter>,
    stream_notices: Family<OutcomeLabels, Counter>,
    detours: Family<OutcomeLabels, Counter>,
    resumptions: Family<OutcomeLabels, Counter>,
    waiting: Gauge,
    waits: Family<PriorityLabels, Histogram, fn() -> Histogram>,
    turns_refused: Family<OutcomeLabels, Counter>,
    evacuations: Family<OutcomeLabels, Counter>,
    server_speeds: Family<OutcomeLabels, Counter>,
    first_byte: Histogram,
    store_calls: Family<OutcomeLabels, Counter>,
    store_reversions: Counter,
    shared_fences: Counter,
    orders: Family<OutcomeLabels, Counter>,
    load_notices: Counter,
    order_replies: Family<OutcomeLabels, Counter>,
    model_wait: Histogram,
    plan_time: Histogram,
    replicas_leaving: Gauge,
    dropped_lines: Counter,
}

impl Metrics {
    /// Creates and registers all metrics.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("apricotwell");
        let requests = Family::default();
        registry.register("requests", "Requests by outcome", requests.clone());
        let responses = Family::default();
        registry.register(
            "responses",
            "Responses of servers by framing and by how they ended",
            responses.clone(),
        );
        let foreign_responses = Family::default();
        registry.register(
            "foreign_responses",
            "Responses that belong to another request, by the attempt that they name",
            foreign_responses.clone(),
        );
        let server_limits = Family::default();
        registry.register(
            "server_limits",
            "Limits that servers named or lifted",
            server_limits.clone(),
        );
        let warmups = Family::default();
        registry.register(
            "warmups",
            "Servers that became cold or warm",
            warmups.clone(),
        );
        let limited_requests = Counter::default();
        registry.register(
            "limited_requests",
            "Requests sent to servers with a known limit",
            limited_requests.clone(),
        );
        let permits = Family::default();
        registry.register(
            "permits",
            "Permits for servers with a limit that other instances asked for",
            permits.clone(),
        );
        let crash_checks = Family::default();
        registry.register(
            "crash_checks",
            "Checks of servers that broke off responses, by what was found",
            crash_checks.clone(),
        );
        let reach = Family::default();
        registry.register(
            "reach",
            "Services that became unreachable or reachable from this instance",
            reach.clone(),
        );
        let stream_notices = Family::default();
        registry.register(
            "stream_notices",
            "Begun streams that were announced before their first events, by outcome",
            stream_notices.clone(),
        );
        let detours = Family::default();
        registry.register(
            "detours",
            "Requests passed on to other instances, by outcome",
            detours.clone(),
        );
        let resumptions = Family::default();
        registry.register(
            "resumptions",
            "Streams that were resumed or not, by outcome",
            resumptions.clone(),
        );
        let evacuations = Family::default();
        registry.register(
            "evacuations",
            "Zones that were evacuated or restored",
            evacuations.clone(),
        );
        let quarantine = Family::default();
        registry.register(
            "quarantine",
            "Parts of requests that were quarantined, released or tried again",
            quarantine.clone(),
        );
        let waiting = Gauge::default();
        registry.register(
            "waiting_requests",
            "Requests that wait for their turn",
            waiting.clone(),
        );
        let new_histogram: fn() -> Histogram = || Histogram::new(LATENCY_BOUNDS);
        let waits = Family::new_with_constructor(new_histogram);
        registry.register(
            "wait_seconds",
            "Time to the selection of a server of requests that waited, by priority",
            waits.clone(),
        );
        let turns_refused = Family::default();
        registry.register(
            "turns_refused",
            "Waiting requests that were refused, by what they waited for",
            turns_refused.clone(),
        );
        let server_speeds = Family::default();
        registry.register(
            "server_speeds",
            "Servers that were observed to become slow or to recover",
            server_speeds.clone(),
        );
        let first_byte = Histogram::new(LATENCY_BOUNDS);
        registry.register(
            "first_byte_seconds",
            "Time to the first byte of a response",
            first_byte.clone(),
        );
        let store_calls = Family::default();
        registry.register("store_calls", "Store calls by kind", store_calls.clone());
        let store_reversions = Counter::default();
        registry.register(
            "store_reversions",
            "Times that the store came back with another era of its history",
            store_reversions.clone(),
        );
        let shared_fences = Counter::default();
        registry.register(
            "shared_fences",
            "Heartbeats of another instance with this instance's fencing token, which must not exist",
            shared_fences.clone(),
        );
        let load_notices = Counter::default();
        registry.register(
            "load_notices",
            "Notices to instances whose requests wait for a model",
            load_notices.clone(),
        );
        let orders = Family::default();
        registry.register("orders", "Orders to servers by operation", orders.clone());
        let order_replies = Family::default();
        registry.register(
            "order_replies",
            "Replies of servers to orders",
            order_replies.clone(),
        );
        let model_wait = Histogram::new(LATENCY_BOUNDS);
        registry.register(
            "model_wait_seconds",
            "Time that requests waited for a server with their model",
            model_wait.clone(),
        );
        let plan_time = Histogram::new(PLAN_BOUNDS);
        registry.register(
            "plan_seconds",
            "Time of one placement plan",
            plan_time.clone(),
        );
        let replicas_leaving = Gauge::default();
        registry.register(
            "replicas_leaving",
            "Replicas that get no new requests because they are to be unloaded",
            replicas_leaving.clone(),
        );
        let dropped_lines = Counter::default();
        registry.register(
            "dropped_log_lines",
            "Log lines dropped because the buffer was full",
            dropped_lines.clone(),
        );
        Self {
            registry,
            requests,
            responses,
            foreign_responses,
            server_limits,
            warmups,
            limited_requests,
            permits,
            crash_checks,
            quarantine,
            reach,
            stream_notices,
            detours,
            resumptions,
            waiting,
            waits,
            turns_refused,
            evacuations,
            server_speeds,
            first_byte,
            store_calls,
            store_reversions,
            shared_fences,
            orders,
            load_notices,
            order_replies,
            model_wait,
            plan_time,
            replicas_leaving,
            dropped_lines,
        }
    }

    /// Counts a finished request by outcome.
    pub fn count_request(&self, outcome: &str) {
        count(&self.requests, outcome);
    }

    /// Counts a server's response by framing and by whether it was received whole.
    pub fn count_response(&self, framing: &'static str, is_whole: bool) {
        let end = if is_whole { "whole" } else { "broken" };
        let labels = ResponseLabels { framing, end };
        self.responses.get_or_create(&labels).inc();
    }

    /// Counts a response that belongs to another request; `names_attempt` tells whether it names one.
    pub fn count_foreign_response(&self, names_attempt: bool) {
        let outcome = if names_attempt { "other" } else { "unnamed" };
        count(&self.foreign_responses, outcome);
    }

    /// Counts a change of a server's limit: `named` or `lifted`.
    pub fn count_limit(&self, outcome: &str) {
        count(&self.server_limits, outcome);
    }

    /// Counts a server that became `cold` or `warm`.
    pub fn count_warmup(&self, change: &str) {
        count(&self.warmups, change);
    }

    /// Counts a request that is sent to a server with a known limit, named or while it is cold.
    pub fn count_limited_request(&self) {
        self.limited_requests.inc();
    }

    /// Counts another instance's request for a permit.
    pub fn count_permit(&self, granted: bool) {
        count(&self.permits, if granted { "granted" } else { "refused" });
    }

    /// Counts a check of a server that broke off a response.
    pub fn count_crash_check(&self, has_ended: bool) {
        count(
            &self.crash_checks,
            if has_ended { "ended" } else { "running" },
        );
    }

    /// Counts a part of requests that was quarantined or released.
    pub fn count_quarantine(&self, change: &str) {
        count(&self.quarantine, change);
    }

    /// Counts a service that became unreachable, or reachable again.
    pub fn count_reach(&self, change: &str) {
        count(&self.reach, change);
    }

    /// Counts a begun stream that was `saved` soon, that another instance `received` notice of, or that is `unknown`
    /// to others.
    pub fn count_stream_notice(&self, outcome: &str) {
        count(&self.stream_notices, outcome);
    }

    /// Counts a request that was passed on to another instance, by outcome.
    pub fn count_detour(&self, outcome: &str) {
        count(&self.detours, outcome);
    }

    /// Sets the number of requests that wait for their turn.
    pub fn set_waiting(&self, count: usize) {
        self.waiting.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Records the time until a server was selected for a request that waited.
    pub fn observe_wait(&self, priority: u8, wait: Duration) {
        let priority = u32::from(priority);
        self.waits
            .get_or_create(&PriorityLabels { priority })
            .observe(wait.as_secs_f64());
    }

    /// Counts a stream that was resumed, bound to a version or not resumed.
    pub fn count_resumption(&self, outcome: &str) {
        count(&self.resumptions, outcome);
    }

    /// Counts a waiting request that was refused, by what it waited for.
    pub fn count_turn_refused(&self, reason: &str) {
        count(&self.turns_refused, reason);
    }

    /// Counts a zone that was `evacuated` or `restored`.
    pub fn count_evacuation(&self, change: &str) {
        count(&self.evacuations, change);
    }

    /// Counts a server that was observed to become slow or to recover.
    pub fn count_speed_change(&self, outcome: &str) {
        count(&self.server_speeds, outcome);
    }

    /// Records the time to the first byte of a response.
    pub fn observe_first_byte(&self, time: Duration) {
        self.first_byte.observe(time.as_secs_f64());
    }

    /// Counts a change of the store's era.
    pub fn count_store_reversion(&self) {
        self.store_reversions.inc();
    }

    /// Counts another instance with the same fencing token.
    pub fn count_shared_fence(&self) {
        self.shared_fences.inc();
    }

    /// Counts a store call by kind.
    pub fn count_store_call(&self, kind: &str) {
        count(&self.store_calls, kind);
    }

    /// Returns the total number of store calls of each kind.
    pub fn store_calls(&self) -> [(&'static str, u64); 7] {
        [
            "read", "join", "members", "keep", "kept", "software", "failed",
        ]
        .map(|kind| {
            let labels = OutcomeLabels {
                outcome: kind.to_owned(),
            };
            (kind, self.store_calls.get_or_create(&labels).get())
        })
    }

    /// Counts an order by operation.
    pub fn count_order(&self, operation: &str) {
        count(&self.orders, operation);
    }

    /// Counts notices to instances whose requests wait for a model.
    pub fn count_load_notices(&self, notices: u64) {
        self.load_notices.inc_by(notices);
    }

    /// Counts a server's reply to an order.
    pub fn count_order_reply(&self, reply: &str) {
        count(&self.order_replies, reply);
    }

    /// Records how long a request waited for a server with its model.
    pub fn observe_model_wait(&self, time: Duration) {
        self.model_wait.observe(time.as_secs_f64());
    }

    /// Records the time of one plan.
    pub fn observe_plan(&self, time: Duration) {
        self.plan_time.observe(time.as_secs_f64());
    }

    /// Sets the number of replicas that are to be unloaded.
    pub fn set_replicas_leaving(&self, replicas: usize) {
        self.replicas_leaving.set(replicas as i64);
    }

    /// Raises the counter of dropped log lines to `total`.
    pub fn set_dropped_lines(&self, total: u64) {
        let known = self.dropped_lines.get();
        self.dropped_lines.inc_by(total.saturating_sub(known));
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if the metrics can't be encoded.
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

fn count(family: &Family<OutcomeLabels, Counter>, outcome: &str) {
    let labels = OutcomeLabels {
        outcome: outcome.to_owned(),
    };
    family.get_or_create(&labels).inc();
}
