//! Ejection of servers that fail.

use std::time::{Duration, Instant};

/// Failures in a row that eject a server.
const MAX_FAILURES: u32 = 3;
/// First ejection.
const FIRST_EJECTION: Duration = Duration::from_secs(2);
/// Longest ejection.
const LONGEST_EJECTION: Duration = Duration::from_secs(60);

/// Health of one server as seen by this instance.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerHealth {
    failures: u32,
    ejections: u32,
    until: Option<Instant>,
}

impl ServerHealth {
    /// Notes a request that the server answered.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.ejections = 0;
    }

    /// Notes a request that the server failed.
    pub fn record_failure(&mut self, now: Instant) {
        self.failures += 1;
        if self.failures < MAX_FAILURES {
            return;
        }
        let pause = FIRST_EJECTION.saturating_mul(1 << self.ejections.min(10));
        self.until = Some(now + pause.min(LONGEST_EJECTION));
        self.ejections += 1;
        self.failures = 0;
    }

    /// Returns whether the server is to be avoided.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}
