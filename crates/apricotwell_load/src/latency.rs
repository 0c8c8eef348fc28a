//! Latency distributions.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Number of significant digits that the histogram retains.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Largest latency that the histogram distinguishes, in microseconds.
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// Histogram of latencies, in microseconds.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    histogram: Option<Histogram<u64>>,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self {
            histogram: Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS).ok(),
        }
    }
}

/// Summary of a latency distribution, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LatencySummary {
    /// Number of values.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Maximum.
    pub max_ms: f64,
}

impl LatencyHistogram {
    /// Records a value.
    pub fn record(&mut self, value: Duration) {
        if let Some(histogram) = &mut self.histogram {
            histogram.saturating_record(value.as_micros() as u64);
        }
    }

    /// Returns a summary of the distribution.
    pub fn summary(&self) -> LatencySummary {
        let Some(histogram) = &self.histogram else {
            return LatencySummary::default();
        };
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        LatencySummary {
            count: histogram.len(),
            p50_ms: at(0.50),
            p95_ms: at(0.95),
            p99_ms: at(0.99),
            max_ms: histogram.max() as f64 / 1000.0,
        }
    }
}
