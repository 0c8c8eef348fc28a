//! Weight store with limits on loads in flight.

use std::time::Duration;

/// Time that a load takes, by what is in flight.
#[derive(Clone, Copy, Debug)]
pub struct WeightStore {
    /// Loads in flight at full speed.
    pub parallel: u32,
    /// Time of one load at full speed.
    pub load: Duration,
    /// Factor by which the store is slower than usual.
    pub factor: u32,
    in_flight: u32,
}

impl WeightStore {
    /// Returns a store at its usual speed.
    pub fn new(parallel: u32, load: Duration) -> Self {
        Self {
            parallel,
            load,
            factor: 1,
            in_flight: 0,
        }
    }

    /// Begins a load and returns the time that it takes.
    pub fn begin(&mut self) -> Duration {
        self.in_flight += 1;
        let share = self.in_flight.div_ceil(self.parallel.max(1));
        self.load * share * self.factor
    }

    /// Ends a load.
    pub fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}
