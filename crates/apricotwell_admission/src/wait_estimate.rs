//! Estimate of the wait for a server, used to refuse requests early.

use std::time::{Duration, Instant};

/// A new sample has the weight `1 / SMOOTHING` in the average.
const SMOOTHING: u32 = 8;
/// Number of samples below which there is no estimate.
const MIN_SAMPLES: u32 = 16;

/// Exponentially smoothed time between two starts of waiting requests for one model.
#[derive(Clone, Copy, Debug, Default)]
pub struct WaitEstimate {
    gap: Duration,
    last_start: Option<Instant>,
    samples: u32,
}

impl WaitEstimate {
    /// Records that a waiting request was dispatched to a server.
    ///
    /// `others_wait` is whether more requests for the model are still waiting.
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
        // The gap before a request that finds an empty queue depends on arrivals, not on servers.
        self.last_start = others_wait.then_some(now);
    }

    /// Returns the expected wait behind `ahead` requests, or `None` before there are enough samples.
    pub fn expected_wait(&self, ahead: usize) -> Option<Duration> {
        if self.samples < MIN_SAMPLES {
            return None;
        }
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        Some(self.gap.saturating_mul(ahead))
    }
}
