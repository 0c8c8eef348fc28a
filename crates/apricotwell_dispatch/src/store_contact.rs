//! Whether the store answers this instance.
//!
//! That nothing was heard from the store for a while does not show that it is silent: an instance that is
//! short of processor time does not ask. Only calls that failed show it, and not those that failed as the
//! process stood still, unless that happens again and again.

use std::time::{Duration, Instant};

use crate::standstills::Standstills;

/// Time without an answer after which the store may count as silent.
const MIN_SILENCE: Duration = Duration::from_millis(1100);
/// Calls in a row that must have failed by then; one may fail with its connection.
const MIN_FAILURES: u32 = 2;
/// Standstills in a row, each with a call that failed, that show a silence as well: a process that is always
/// short of processor time must notice it too.
const MIN_FAILED_STANDSTILLS: u32 = 3;

/// Unbroken series of the store's answers to this instance.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreContact {
    series: Option<Series>,
}

#[derive(Clone, Copy, Debug)]
struct Series {
    first: Instant,
    last: Instant,
    // Calls that failed since the last answer though the process was scheduled.
    failures: u32,
    // Standstills since the last answer in which calls failed, and the end of the last one.
    standstills: u32,
    stood_until: Option<Instant>,
}

impl Series {
    fn is_broken(&self, now: Instant) -> bool {
        let silence = now.saturating_duration_since(self.last);
        let has_failed =
            self.failures >= MIN_FAILURES || self.standstills >= MIN_FAILED_STANDSTILLS;
        has_failed && silence > MIN_SILENCE
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
            standstills: 0,
            stood_until: None,
        });
    }

    /// Records that a call that began at `start` has failed.
    pub fn record_failure(&mut self, now: Instant, start: Instant, standstills: &Standstills) {
        let Some(series) = &mut self.series else {
            return;
        };
        let Some(standstill) = standstills.latest(now, start) else {
            series.failures = series.failures.saturating_add(1);
            return;
        };
        // Several calls fail in one standstill.
        if series
            .stood_until
            .is_none_or(|until| until <= standstill.from)
        {
            series.standstills = series.standstills.saturating_add(1);
        }
        series.stood_until = Some(standstill.to);
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
