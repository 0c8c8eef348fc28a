//! Temporary ejection of servers that fail.

use std::time::{Duration, Instant};

/// Number of consecutive failures after which a server is ejected.
const MAX_FAILURES: u32 = 3;
/// Duration of the first ejection; doubles with each further one until a request succeeds.
const INITIAL_EJECTION: Duration = Duration::from_secs(2);
/// Largest duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(60);

/// Health of a server as this instance sees it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerHealth {
    // Consecutive failures since the last success or ejection.
    failures: u32,
    // Ejections since the last success.
    ejections: u32,
    ejected_until: Option<Instant>,
}

impl ServerHealth {
    /// Records that the server handled a request, which resets its failures and ejections.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.ejections = 0;
    }

    /// Records that the server failed to answer; ejects it after `MAX_FAILURES` in a row.
    pub fn record_failure(&mut self, now: Instant) {
        self.failures += 1;
        if self.failures < MAX_FAILURES {
            return;
        }
        let ejection = INITIAL_EJECTION.saturating_mul(1 << self.ejections.min(10));
        self.ejected_until = Some(now + ejection.min(MAX_EJECTION));
        self.ejections += 1;
        self.failures = 0;
    }

    /// Returns whether the server should be avoided.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until
            .is_some_and(|ejected_until| now < ejected_until)
    }
}
