//! Throughput of streamed events per core.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use serde::Serialize;

use crate::client::ApiClient;
use crate::cpu::cpu_seconds;

/// Options of a measurement of streams.
#[derive(Clone, Debug)]
pub struct StreamOptions {
    /// Address of the measured process.
    pub address: String,
    /// API key.
    pub key: String,
    /// Requested model.
    pub model: String,
    /// Number of concurrent streams.
    pub streams: usize,
    /// Number of tokens of each stream.
    pub tokens: u64,
    /// Time during which new streams are started.
    pub duration: Duration,
    /// Id of the measured process.
    pub pid: u32,
}

/// Result of a measurement of streams.
#[derive(Clone, Debug, Serialize)]
pub struct StreamResult {
    /// Number of events.
    pub events: u64,
    /// Number of failed streams.
    pub failed: u64,
    /// Elapsed time, in seconds.
    pub seconds: f64,
    /// CPU time that the measured process used, in seconds.
    pub cpu_seconds: f64,
    /// Events per second.
    pub events_per_second: f64,
    /// Events per second of CPU time of the measured process.
    pub events_per_core: f64,
}

/// Runs concurrent streams and measures their throughput.
pub async fn run_streams(options: &StreamOptions) -> StreamResult {
    let client = ApiClient::new(&options.address, &options.key);
    let cpu_before = cpu_seconds(options.pid).unwrap_or(0.0);
    let began = Instant::now();
    let end = began + options.duration;
    let tasks = (0..options.streams).map(|_| stream_until(&client, options, end));
    let counts = join_all(tasks).await;
    let seconds = began.elapsed().as_secs_f64();
    let cpu = cpu_seconds(options.pid).unwrap_or(0.0) - cpu_before;
    let events: u64 = counts.iter().map(|(events, _)| events).sum();
    StreamResult {
        events,
        failed: counts.iter().map(|(_, failed)| failed).sum(),
        seconds,
        cpu_seconds: cpu,
        events_per_second: events as f64 / seconds,
        events_per_core: events as f64 / cpu.max(f64::EPSILON),
    }
}

async fn stream_until(client: &ApiClient, options: &StreamOptions, end: Instant) -> (u64, u64) {
    let mut events = 0;
    let mut failed = 0;
    while Instant::now() < end {
        let response = client.chat(&options.model, options.tokens, true).await;
        events += response.events;
        failed += u64::from(response.status != 200);
    }
    (events, failed)
}
