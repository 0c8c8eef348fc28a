//! Whether the store answers this instance.
//!
//! That nothing was heard from the store for a while does not show that it is silent: an instance that is
//! short of processor time does not ask. Only calls that failed show it.

use std::time::{Duration, Instant};

/// Time without an answer after which the store may count as silent.
const MIN_SILENCE: Duration = Duration::from_millis(1100);
/// Calls in a row that must have failed by then; one may fail with its connection.
const MIN_FAILURES: u32 = 2;

/// Unbroken series of the store's answers to this instance.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreContact {
    series: Option<Series>,
}

#[derive(Clone, Copy, Debug)]
struct Series {
    first: Instant,
    last: Instant,
    // Calls that failed since the last answer.
    failures: u32,
}

impl Series {
    fn is_broken(&self, now: Instant) -> bool {
        let silence = now.saturating_duration_since(self.last);
        self.failures >= MIN_FAILURES && silence > MIN_SILENCE
    }
}

impl StoreContact {
    /// Records that the store answered a call at `now`.
    pub fn record_answer(&mut self, now: Instant) {
        let unbroken = self.series.filter(|series| !series.is_broken(now));
        self.series = Some(Series {
            first: unbroken.map_or(now, |series| series.first),
            last: now,
            failures: 0,
        });
    }

    /// Records that a call failed.
    pub fn record_failure(&mut self) {
        if let Some(series) = &mut self.series {
            series.failures = series.failures.saturating_add(1);
        }
    }

    /// Records that the store answered from an older state: it may have been away, and only what it answers from
    /// now on counts.
    pub fn restart(&mut self) {
        self.series = None;
    }

    /// Returns for how long the store has answered without a silence, zero if it does not.
    pub fn duration(&self, now: Instant) -> Duration {
        let unbroken = self.series.filter(|series| !series.is_broken(now));
        unbroken.map_or(Duration::ZERO, |series| {
            now.saturating_duration_since(series.first)
        })
    }
}
