//! A monotonic clock that includes the time during which the machine was suspended.

use std::time::{Duration, Instant};

use rustix::time::{ClockId, clock_gettime};

/// Clock for leases and for the age of cached state.
///
/// [`Instant::now`] does not advance while the machine is suspended, so a lease measured with it
/// would appear valid long after another instance took it over. Instants of this clock must only be
/// compared with each other and must not be passed to timers.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    start: Instant,
    booted: Duration,
}

impl BootClock {
    /// Creates a clock that starts at the current time.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            booted: since_boot(),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Instant {
        self.start + since_boot().saturating_sub(self.booted)
    }
}

impl Default for BootClock {
    fn default() -> Self {
        Self::new()
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
