//! Whether the store answers this instance.

use std::time::{Duration, Instant};

/// Time without an answer after which the store counts as silent. While it answers, it answers a renewal of
/// the membership in about half of this time.
const MAX_SILENCE: Duration = Duration::from_millis(1100);

/// Unbroken series of the store's answers to this instance.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreContact {
    // Times of the first and the last answer of the series.
    series: Option<(Instant, Instant)>,
}

impl StoreContact {
    /// Records that the store answered a call at `now`.
    pub fn record_answer(&mut self, now: Instant) {
        let first = match self.series {
            Some((first, last)) if !is_silent(now, last) => first,
            _ => now,
        };
        self.series = Some((first, now));
    }

    /// Returns for how long the store has answered without a silence, zero if it does not.
    pub fn duration(&self, now: Instant) -> Duration {
        match self.series {
            Some((first, last)) if !is_silent(now, last) => now.saturating_duration_since(first),
            _ => Duration::ZERO,
        }
    }
}

fn is_silent(now: Instant, last: Instant) -> bool {
    now.saturating_duration_since(last) > MAX_SILENCE
}
