//! Estimate of the wait for a server, for early refusals.

use std::time::{Duration, Instant};

/// Weight of a new sample, as a divisor.
const SMOOTHING: u32 = 8;
/// Starts after which the estimate counts.
const MIN_SAMPLES: u32 = 16;

/// Smoothed time between two starts of waiting requests for one model.
#[derive(Clone, Copy, Debug, Default)]
pub struct WaitEstimate {
    gap: Duration,
    last_start: Option<Instant>,
    samples: u32,
}

impl WaitEstimate {
    /// Notes that a waiting request was given to a server while others still wait.
    pub fn record_start(&mut self, now: Instant, others_wait: bool) {
        if let Some(last) = self.last_start {
            let gap = now.saturating_duration_since(last);
            self.gap = if self.samples == 0 {
                gap
            } else {
                self.gap - self.gap / SMOOTHING + gap / SMOOTHING
            };
            self.samples += 1;
        }
        // The gap up to a request that finds an empty queue says nothing of the servers.
        self.last_start = others_wait.then_some(now);
    }

    /// Returns the expected wait behind `ahead` requests; `None` while too little is known.
    pub fn expected_wait(&self, ahead: usize) -> Option<Duration> {
        if self.samples < MIN_SAMPLES {
            return None;
        }
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        Some(self.gap.saturating_mul(ahead))
    }
}
