//! Latency at a constant request rate.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use serde::Serialize;
use tokio::task::spawn_local;
use tokio::time::{Instant as TokioInstant, sleep_until};

use crate::client::ApiClient;
use crate::latency::{LatencyHistogram, LatencySummary};

/// Options of a measurement at a constant rate.
#[derive(Clone, Debug)]
pub struct PacedOptions {
    /// Address of the instance.
    pub address: String,
    /// API key.
    pub key: String,
    /// Requested model.
    pub model: String,
    /// Requests per second.
    pub rate: f64,
    /// Duration of the load.
    pub duration: Duration,
}

/// Result of a measurement at a constant rate.
#[derive(Clone, Debug, Serialize)]
pub struct PacedResult {
    /// Latency of complete responses.
    pub latency: LatencySummary,
    /// Number of requests without a response of status 200.
    pub failed: u64,
}

/// Sends unstreamed one-token requests at a constant rate, whether or not earlier ones have ended.
pub async fn run_paced(options: &PacedOptions) -> PacedResult {
    let client = ApiClient::new(&options.address, &options.key);
    let count = (options.rate * options.duration.as_secs_f64()) as u64;
    let began = Instant::now();
    let send = |index: u64| {
        let client = client.clone();
        let model = options.model.clone();
        let due = began + Duration::from_secs_f64(index as f64 / options.rate);
        spawn_local(async move {
            sleep_until(TokioInstant::from_std(due)).await;
            let response = client.chat(&model, 1, false).await;
            // Measured from the scheduled time, so that a stall shows in the latency of each
            // request that it delays (coordinated omission).
            (response.status, due.elapsed())
        })
    };
    let responses = join_all((0..count).map(send)).await;
    let mut latency = LatencyHistogram::default();
    let mut failed = 0;
    for response in responses.into_iter().flatten() {
        match response {
            (200, took) => latency.record(took),
            _ => failed += 1,
        }
    }
    PacedResult {
        latency: latency.summary(),
        failed,
    }
}
