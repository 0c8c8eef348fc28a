//! Signals to the process, and the time at which a stop was requested.

use std::future::Future;
use std::io;
use std::pin::pin;
use std::time::{Duration, Instant};

use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::events::Event;

/// Interval at which the process notes that it runs.
const BEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a beat after which the process counts as having been suspended.
const MIN_SUSPENSION: Duration = Duration::from_millis(500);

/// Handlers of the signals that stop the process.
#[derive(Debug)]
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl StopSignals {
    /// Installs the handlers; signals that arrive before [`Self::wait`] are kept.
    ///
    /// # Errors
    ///
    /// Fails if the handlers can't be installed.
    pub fn install() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for SIGTERM or SIGINT.
    ///
    /// SIGHUP is only logged, since settings are read at the start of the process.
    pub async fn wait(mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => Event::new("reload").log(),
            }
        }
    }
}

/// Waits until `stop` completes; returns the earliest time at which the stop may have been requested.
///
/// A signal to a suspended process is seen when the process is resumed, but the grace period begins when
/// it was sent.
///
/// # Errors
///
/// Fails if `stop` does.
pub async fn wait_for_stop<F>(stop: F) -> io::Result<Instant>
where
    F: Future<Output = io::Result<()>>,
{
    let mut stop = pin!(stop);
    let mut pulse = Pulse::new(Instant::now());
    loop {
        tokio::select! {
            biased;
            result = stop.as_mut() => {
                result?;
                return Ok(pulse.earliest_signal(Instant::now()));
            }
            () = tokio::time::sleep(BEAT_INTERVAL) => pulse.beat(Instant::now()),
        }
    }
}

#[derive(Debug)]
struct Pulse {
    last_beat: Instant,
    // The beat before the last one, if the process was suspended between the two.
    suspended_since: Option<Instant>,
}

impl Pulse {
    fn new(now: Instant) -> Self {
        Self {
            last_beat: now,
            suspended_since: None,
        }
    }

    fn beat(&mut self, now: Instant) {
        self.suspended_since = self.was_suspended(now).then_some(self.last_beat);
        self.last_beat = now;
    }

    // Returns the earliest time at which a signal that is seen now may have been sent.
    fn earliest_signal(&self, now: Instant) -> Instant {
        if self.was_suspended(now) {
            return self.last_beat;
        }
        self.suspended_since.unwrap_or(now)
    }

    fn was_suspended(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_beat) >= MIN_SUSPENSION
    }
}
