//! Model of a weight store whose speed is shared by concurrent loads.

use std::time::Duration;

/// Weight store that computes the duration of loads from the number of loads in flight.
#[derive(Clone, Copy, Debug)]
pub struct WeightStore {
    /// Maximum number of concurrent loads at full speed.
    pub parallel: u32,
    /// Duration of one load at full speed.
    pub load_time: Duration,
    /// Factor by which loads take longer than usual.
    pub slowdown: u32,
    in_flight: u32,
}

impl WeightStore {
    /// Creates a store without a slowdown.
    pub fn new(parallel: u32, load_time: Duration) -> Self {
        Self {
            parallel,
            load_time,
            slowdown: 1,
            in_flight: 0,
        }
    }

    /// Starts a load and returns its duration.
    pub fn begin_load(&mut self) -> Duration {
        self.in_flight += 1;
        let share = self.in_flight.div_ceil(self.parallel.max(1));
        self.load_time * share * self.slowdown
    }

    /// Ends a load.
    pub fn end_load(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}
