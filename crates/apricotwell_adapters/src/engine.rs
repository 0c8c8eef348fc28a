//! Orders to model engines and their reports.

use std::future::Future;
use std::time::Duration;

use awc::Client;
use awc::http::StatusCode;
use serde::{Deserialize, Serialize};

use apricotwell_node::{EngineOrder, OrderKind, OrderOutcome, ReportedReplica, ServerReport};

/// Orders to a model engine and its reports.
pub trait EngineControl {
    /// Gives an order and waits for its outcome.
    fn order(&self, address: &str, order: &EngineOrder) -> impl Future<Output = OrderOutcome>;

    /// Returns a report, `None` when the engine does not answer.
    fn report(&self, address: &str) -> impl Future<Output = Option<ServerReport>>;
}

/// Order on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderBody {
    /// `load` or `unload`.
    pub kind: String,
    /// Replica.
    pub replica: u64,
    /// Model, or `model:adapter`.
    pub model: String,
    /// Version of the weights.
    pub version: String,
    /// Memory in MiB.
    pub memory_mib: u64,
    /// Fencing number.
    #[serde(rename = "number")]
    pub fencing_token: u64,
    /// Start number of the engine that the order is meant for.
    pub incarnation: u64,
}

/// Answer to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReply {
    /// Whether the order took effect, now or before.
    pub done: bool,
    /// Why not.
    #[serde(default)]
    pub reason: String,
}

/// Replica in a report on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaBody {
    /// Replica.
    pub replica: u64,
    /// Model, or `model:adapter`.
    pub model: String,
    /// Whether it is loaded, not merely being loaded.
    pub loaded: bool,
}

/// Report on the wire.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportBody {
    /// Start number.
    pub incarnation: u64,
    /// Replicas.
    pub replicas: Vec<ReplicaBody>,
    /// Requests running and waiting.
    pub requests: u32,
    /// Age of `requests` in milliseconds.
    #[serde(default)]
    pub lag_ms: u64,
    /// Whether it takes no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Models whose weights it has in memory or on disk.
    #[serde(default)]
    pub cached: Vec<String>,
    /// Memory in MiB that its replicas take.
    #[serde(default)]
    pub used_mib: u64,
}

/// Model engines over HTTP.
#[derive(Clone)]
pub struct HttpEngine {
    client: Client,
    order_timeout: Duration,
    report_timeout: Duration,
}

impl HttpEngine {
    /// Returns the adapter; an order without an answer in time has an unknown outcome.
    pub fn new(order_timeout: Duration, report_timeout: Duration) -> Self {
        Self {
            // A fresh connection for each order: only a failure to connect proves it unsent.
            client: crate::single_use_client(),
            order_timeout,
            report_timeout,
        }
    }

    async fn try_order(&self, address: &str, body: &OrderBody) -> OrderOutcome {
        let url = format!("http://{address}/orders");
        let sent = self.client.post(url).send_json(body).await;
        let mut response = match sent {
            Ok(response) => response,
            Err(error) if crate::is_unsent(&error) => return OrderOutcome::Failed,
            Err(_) => return OrderOutcome::Unknown,
        };
        if response.status() != StatusCode::OK && !response.status().is_client_error() {
            return OrderOutcome::Unknown;
        }
        match response.json::<OrderReply>().await {
            Ok(reply) if reply.done => OrderOutcome::Done,
            Ok(_) => OrderOutcome::Failed,
            Err(_) => OrderOutcome::Unknown,
        }
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
        let url = format!("http://{address}/report");
        let fetch = async {
            let mut response = self.client.get(url).send().await.ok()?;
            response.json::<ReportBody>().await.ok()
        };
        let body = tokio::time::timeout(self.report_timeout, fetch)
            .await
            .ok()??;
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
