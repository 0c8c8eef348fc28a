//! Usual run times of requests, by which a stopping instance tells what still ends within its grace period.

use std::sync::Arc;
use std::time::Duration;

use apricotwell_types::Map;

/// Weight of the newest run in the mean.
const NEWEST_WEIGHT: f64 = 0.1;
/// Runs of a route before its mean counts.
const MIN_RUNS: u32 = 5;
/// Part of the mean that a run may take longer.
const SPREAD: f64 = 0.25;
/// Largest number of routes; those of former configurations count too.
const MAX_ROUTES: usize = 4096;

#[derive(Clone, Copy, Debug)]
struct RunTime {
    mean: Duration,
    runs: u32,
}

/// Run times of the requests that this instance served, by route.
#[derive(Debug, Default)]
pub struct RunTimes {
    routes: Map<Arc<str>, RunTime>,
}

impl RunTimes {
    /// Records the time from sending a request until its whole response was received.
    pub fn record(&mut self, route: &Arc<str>, time: Duration) {
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(route) {
            self.routes.clear();
        }
        let known = self.routes.entry(Arc::clone(route));
        let known = known.or_insert(RunTime {
            mean: time,
            runs: 0,
        });
        known.runs = known.runs.saturating_add(1);
        let weight = NEWEST_WEIGHT.max(1.0 / f64::from(known.runs));
        known.mean = known.mean.mul_f64(1.0 - weight) + time.mul_f64(weight);
    }

    /// Returns whether a request that is sent now usually ends within `left`; of a route that is hardly known
    /// that is assumed.
    pub fn fits(&self, route: &str, left: Duration) -> bool {
        let known = self.routes.get(route).filter(|it| it.runs >= MIN_RUNS);
        known.is_none_or(|known| known.mean.mul_f64(1.0 + SPREAD) <= left)
    }
}
