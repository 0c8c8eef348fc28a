//! What was received of a response and when, for logs and metrics.

use std::time::{Duration, Instant};

use apricotwell_framing::BodyFraming;
use apricotwell_permits::prelude::RequestRate;

/// What was received of a response's body.
#[derive(Clone, Debug)]
pub struct ReceivedBody {
    /// How the end of the body is marked.
    pub framing: BodyFraming,
    /// Number of whole events of a stream.
    pub events: u64,
    /// Bytes of a stream after its last whole event.
    pub partial_bytes: usize,
    /// Why the body is incomplete; `None` if it is not known to be.
    pub failure: Option<String>,
}

/// Progress of the responses to one request.
#[derive(Clone, Debug, Default)]
pub struct ResponseTrace {
    /// Body of the last response that ended; `None` before.
    pub received: Option<ReceivedBody>,
    /// Limit that the last server was known to have when the request was sent to it.
    pub server_limit: Option<RequestRate>,
    /// Age of the list of servers when the last server was selected.
    pub list_age: Option<Duration>,
    /// For how long the store had answered this instance by then.
    pub store_contact: Option<Duration>,
    /// Time at which the first bytes were received.
    pub first_byte: Option<Instant>,
    /// Longest pause between bytes.
    pub longest_pause: Duration,
    // Time at which the last bytes were received.
    last_bytes: Option<Instant>,
}

impl ResponseTrace {
    /// Returns the time since bytes were last received, `None` if none were.
    pub fn silence(&self, now: Instant) -> Option<Duration> {
        Some(now.saturating_duration_since(self.last_bytes?))
    }

    /// Records that bytes were received; returns whether they are the first ones.
    pub fn record_bytes(&mut self, now: Instant) -> bool {
        if let Some(last) = self.last_bytes.replace(now) {
            let pause = now.saturating_duration_since(last);
            self.longest_pause = self.longest_pause.max(pause);
            return false;
        }
        self.first_byte = Some(now);
        true
    }
}
