//! Load and unload orders to model engines, and the engines' reports.

use std::future::Future;
use std::time::Duration;

use apricotwell_http::pool::SendError;
use bytes::Bytes;
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use apricotwell_node::{EngineOrder, OrderKind, OrderOutcome, ReportedReplica, ServerReport};

use crate::http::{HttpCaller, request};

/// Maximum size of a reply or report.
const MAX_REPLY_BYTES: usize = 4 << 20;

/// Sends orders to model engines and requests their reports.
pub trait EngineControl {
    /// Sends an order and waits for its outcome.
    fn order(&self, address: &str, order: &EngineOrder) -> impl Future<Output = OrderOutcome>;

    /// Requests a report; returns `None` if the engine does not respond.
    fn report(&self, address: &str) -> impl Future<Output = Option<ServerReport>>;
}

/// Wire format of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderBody {
    /// `load` or `unload`.
    pub kind: String,
    /// Id of the replica.
    pub replica: u64,
    /// Model, or `model:adapter`.
    pub model: String,
    /// Version of the weights.
    pub version: String,
    /// Memory of the replica in MiB.
    pub memory_mib: u64,
    /// Fencing token; engines that fence refuse an order with a lower one than they have seen.
    #[serde(rename = "number")]
    pub fencing_token: u64,
    /// Incarnation of the engine process that the order is meant for.
    pub incarnation: u64,
}

/// Wire format of the reply to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReply {
    /// Whether the order has taken effect, now or earlier.
    pub done: bool,
    /// Why the order had no effect.
    #[serde(default)]
    pub reason: String,
}

/// Wire format of a replica in a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaBody {
    /// Id of the replica.
    pub replica: u64,
    /// Model, or `model:adapter`.
    pub model: String,
    /// Whether loading has completed.
    pub loaded: bool,
}

/// Wire format of a report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportBody {
    /// Incarnation of the engine process.
    pub incarnation: u64,
    /// Replicas that are loaded or being loaded.
    pub replicas: Vec<ReplicaBody>,
    /// Number of running and waiting requests.
    pub requests: u32,
    /// Age of `requests` in milliseconds.
    #[serde(default)]
    pub lag_ms: u64,
    /// Whether the engine drains and accepts no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Models whose weights the engine has in memory or on disk.
    #[serde(default)]
    pub cached: Vec<String>,
    /// Memory that the replicas use, in MiB.
    #[serde(default)]
    pub used_mib: u64,
}

/// Controls model engines over HTTP.
#[derive(Clone)]
pub struct HttpEngine {
    caller: HttpCaller,
    order_timeout: Duration,
    report_timeout: Duration,
}

impl HttpEngine {
    /// Returns an adapter with the given timeouts; an order that times out has an unknown outcome.
    pub fn new(order_timeout: Duration, report_timeout: Duration) -> Self {
        Self {
            // A new connection for each order, since only a failure to connect proves that the
            // order was not sent.
            caller: HttpCaller::single_use(),
            order_timeout,
            report_timeout,
        }
    }

    async fn try_order(&self, address: &str, body: &OrderBody) -> OrderOutcome {
        let Ok(body) = serde_json::to_vec(body) else {
            return OrderOutcome::Failed;
        };
        let (status, reply) = match self.call(Method::POST, (address, "/orders"), body).await {
            Ok(reply) => reply,
            Err(SendError::Unsent(_)) => return OrderOutcome::Failed,
            Err(SendError::Lost(_) | SendError::Invalid(_)) => return OrderOutcome::Unknown,
        };
        if status != StatusCode::OK && !status.is_client_error() {
            return OrderOutcome::Unknown;
        }
        match serde_json::from_slice::<OrderReply>(&reply) {
            Ok(reply) if reply.done => OrderOutcome::Done,
            Ok(_) => OrderOutcome::Failed,
            Err(_) => OrderOutcome::Unknown,
        }
    }

    async fn call(
        &self,
        method: Method,
        target: (&str, &str),
        body: Vec<u8>,
    ) -> Result<(StatusCode, Bytes), SendError> {
        let request = request(method, target, "application/json", body)?;
        self.caller.call(target.0, request, MAX_REPLY_BYTES).await
    }
}

impl EngineControl for HttpEngine {
    async fn order(&self, address: &str, order: &EngineOrder) -> OrderOutcome {
        let body = OrderBody {
            kind: match order.kind {
                OrderKind::Load => "load".to_owned(),
                OrderKind::Unload => "unload".to_owned(),
            },
            replica: order.replica,
            model: order.model.to_string(),
            version: order.version.clone(),
            memory_mib: order.memory_mib,
            fencing_token: order.fencing_token,
            incarnation: order.incarnation,
        };
        let order = self.try_order(address, &body);
        match tokio::time::timeout(self.order_timeout, order).await {
            Ok(outcome) => outcome,
            Err(_) => OrderOutcome::Unknown,
        }
    }

    async fn report(&self, address: &str) -> Option<ServerReport> {
        let fetch = self.call(Method::GET, (address, "/report"), Vec::new());
        let reply = tokio::time::timeout(self.report_timeout, fetch).await;
        let (status, body) = reply.ok()?.ok()?;
        if status != StatusCode::OK {
            return None;
        }
        let body: ReportBody = serde_json::from_slice(&body).ok()?;
        let replica = |body: ReplicaBody| ReportedReplica {
            replica: body.replica,
            loaded: body.loaded,
        };
        Some(ServerReport {
            incarnation: body.incarnation,
            replicas: body.replicas.into_iter().map(replica).collect(),
            requests: body.requests,
            load_age: Duration::from_millis(body.lag_ms),
            leaving: body.leaving,
            cached: body
                .cached
                .iter()
                .map(|model| model.as_str().into())
                .collect(),
        })
    }
}
