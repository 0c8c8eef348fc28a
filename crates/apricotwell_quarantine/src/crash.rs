//! Ends of servers, and the requests that they were beginning to answer.

use std::time::{Duration, Instant};

use apricotwell_types::ServerId;

use crate::PartId;

/// Shortest time from the end of a process to the first answer of the next one with its id.
pub(crate) const RESTART_TIME: Duration = Duration::from_secs(1);
/// Largest number of requests that are remembered of one crash.
pub(crate) const MAX_REQUESTS: usize = 64;

/// End of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Server.
    pub server: ServerId,
    /// Start of its process, as the instance knew it; tells ends of one server apart.
    pub started_ms: u64,
    /// When it ended.
    pub at: Instant,
    /// Requests that it was beginning to answer.
    pub requests: Vec<CrashedRequest>,
}

/// Request that a server was beginning to answer when it ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashedRequest {
    /// Its parts, the most general one first; the last one is the request as a whole.
    pub parts: Vec<PartId>,
    /// When it was sent to the server.
    pub sent_at: Instant,
    /// Whether its instance sent it again, since another server had ended as it began to answer it.
    pub is_retry: bool,
}

// Returns whether two instances report one end. They may know the start of the process from different
// entries of the server list, but a server does not end twice within so short a time.
pub(crate) fn is_same_end(one: &Crash, other: &Crash) -> bool {
    let earlier = one.at.min(other.at);
    let pause = one.at.max(other.at).saturating_duration_since(earlier);
    one.server == other.server && (one.started_ms == other.started_ms || pause < RESTART_TIME)
}

pub(crate) fn crash_parts(crash: &Crash) -> impl Iterator<Item = &PartId> {
    crash.requests.iter().flat_map(|request| &request.parts)
}

pub(crate) fn contains(crash: &Crash, part: PartId) -> bool {
    crash_parts(crash).any(|it| *it == part)
}

pub(crate) fn add_requests(crash: &mut Crash, requests: Vec<CrashedRequest>) {
    for request in requests {
        let is_known = crash.requests.iter().any(|it| it.parts == request.parts);
        if crash.requests.len() < MAX_REQUESTS && !is_known {
            crash.requests.push(request);
        }
    }
}
