//! A steady clock that counts the time in which the machine was suspended.

use std::time::{Duration, Instant};

use rustix::time::{ClockId, clock_gettime};

/// Clock for leases and the age of views.
///
/// [`Instant::now`] stands still while a machine is suspended, so a lease timed by it would seem to
/// be valid long after others took it over. The instants of this clock may be compared only with
/// each other, and never be given to timers.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    start: Instant,
    booted: Duration,
}

impl BootClock {
    /// Returns a clock.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            booted: since_boot(),
        }
    }

    /// Returns the present instant.
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
