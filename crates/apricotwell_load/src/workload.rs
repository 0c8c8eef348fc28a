//! Workload of several organisations, such as steady ones and a noisy one, with requests for
//! popular and rare models and non-idempotent orders.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use tokio::task::spawn_local;
use tokio::time::{Instant as TokioInstant, sleep_until};

use crate::client::{ApiClient, ApiResponse};
use crate::latency::{LatencyHistogram, LatencySummary};

/// Workload, as read from a file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Seed of arrival times and choices.
    pub seed: u64,
    /// Duration, in seconds.
    pub seconds: f64,
    /// Addresses of the entry instances.
    pub addresses: Vec<String>,
    /// Requested models. The first tenth of them is popular, the others are rare.
    pub models: Vec<String>,
    /// API keys by organisation.
    pub keys: BTreeMap<String, String>,
    /// Requests per second, by organisation.
    pub rates: BTreeMap<String, f64>,
    /// Number of tokens of each response.
    pub tokens: u64,
    /// Path of non-idempotent orders; empty to send none. Otherwise one in ten requests is an
    /// order.
    #[serde(default)]
    pub orders: String,
}

/// Results of an organisation.
#[derive(Clone, Debug, Default, Serialize)]
pub struct OrgResult {
    /// Number of requests sent.
    pub sent: u64,
    /// Number of requests answered with status 200.
    pub answered: u64,
    /// Number of other responses, by status and error code.
    pub refused: BTreeMap<String, u64>,
    /// Time until the first byte of the answered requests.
    pub first_byte: LatencySummary,
}

/// Result of a workload.
#[derive(Clone, Debug, Default, Serialize)]
pub struct WorkloadResult {
    /// Results by organisation.
    pub organisations: BTreeMap<String, OrgResult>,
    /// Time until the first byte of the first request for each model.
    pub first_requests: LatencySummary,
}

struct CompletedRequest {
    org: String,
    is_first: bool,
    response: ApiResponse,
}

/// Sends the requests of a workload and waits for their responses.
pub async fn run_workload(workload: &Workload) -> WorkloadResult {
    let mut random = StdRng::seed_from_u64(workload.seed);
    let mut seen = BTreeMap::new();
    let mut tasks = Vec::new();
    let began = Instant::now();
    for (org, rate) in &workload.rates {
        let Some(key) = workload.keys.get(org) else {
            continue;
        };
        let mut at = 0.0;
        let mut number = 0;
        while at < workload.seconds {
            // Exponentially distributed gaps give a Poisson process.
            at += -(1.0 - random.random::<f64>()).ln() / rate;
            number += 1;
            let address = choose(&mut random, &workload.addresses);
            let model = choose_model(&mut random, &workload.models);
            let is_order = !workload.orders.is_empty() && number % 10 == 0;
            let is_first = !is_order && seen.insert(model.clone(), ()).is_none();
            let client = ApiClient::new(&address, key);
            let due = began + Duration::from_secs_f64(at);
            let (org, tokens) = (org.clone(), workload.tokens);
            let orders = workload.orders.clone();
            tasks.push(spawn_local(async move {
                sleep_until(TokioInstant::from_std(due)).await;
                let response = if is_order {
                    let key = format!("{org} {number}");
                    let headers = [("idempotency-key", key.as_str())];
                    client.post(&orders, &headers, key.clone()).await
                } else {
                    client.chat(&model, tokens, true).await
                };
                CompletedRequest {
                    org,
                    is_first,
                    response,
                }
            }));
        }
    }
    summarise(join_all(tasks).await.into_iter().flatten())
}

fn summarise(requests: impl Iterator<Item = CompletedRequest>) -> WorkloadResult {
    let mut result = WorkloadResult::default();
    let mut latencies: BTreeMap<String, LatencyHistogram> = BTreeMap::new();
    let mut first_requests = LatencyHistogram::default();
    for CompletedRequest {
        org,
        is_first,
        response,
    } in requests
    {
        let entry = result.organisations.entry(org.clone()).or_default();
        entry.sent += 1;
        if response.status == 200 {
            entry.answered += 1;
            latencies
                .entry(org)
                .or_default()
                .record(response.first_byte);
            if is_first {
                first_requests.record(response.first_byte);
            }
        } else {
            let code = format!("{} {}", response.status, response.code);
            *entry.refused.entry(code).or_default() += 1;
        }
    }
    for (org, latency) in latencies {
        if let Some(entry) = result.organisations.get_mut(&org) {
            entry.first_byte = latency.summary();
        }
    }
    result.first_requests = first_requests.summary();
    result
}

fn choose(random: &mut StdRng, items: &[String]) -> String {
    let index = random.random_range(0..items.len().max(1));
    items.get(index).cloned().unwrap_or_default()
}

// Sends half of the requests to the first tenth of the models and spreads the others over all
// models.
fn choose_model(random: &mut StdRng, models: &[String]) -> String {
    if random.random_bool(0.5) {
        let popular = models.len().div_ceil(10);
        return choose(random, &models[..popular]);
    }
    choose(random, models)
}
