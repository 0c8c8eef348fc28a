//! Requests that this instance has accepted.

use std::collections::BTreeMap;
use std::time::Instant;

use apricotwell_claims::Answer;
use apricotwell_types::{Ending, RequestId, ServerId, Tokens};

use crate::Submission;
use crate::token_desk::Reservation;

/// Answer as far as it is kept for repeats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Whole body, or `None` when it was larger than the limit.
    pub body: Option<Vec<u8>>,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The caller got the whole answer.
    Answered {
        /// Answer, for repeats of a non-idempotent request.
        answer: StoredAnswer,
        /// Tokens used, when the server told.
        used: Option<Tokens>,
    },
    /// The server never got the request, or said that it did not run it.
    NotRun {
        /// Whether the server could not be reached.
        unreachable: bool,
    },
    /// The server ran the request and said that it failed.
    Failed,
    /// The connection broke, or the answer named another attempt.
    Disconnected {
        /// Whether the caller already has part of the answer.
        partial: bool,
    },
    /// The server made no progress in time.
    Stalled {
        /// Whether the caller already has part of the answer.
        partial: bool,
    },
    /// The caller went away.
    ClientGone,
}

impl AttemptOutcome {
    /// Returns what is known of the run.
    pub(crate) fn ending(&self) -> Option<Ending> {
        match self {
            AttemptOutcome::Answered { .. } => None,
            AttemptOutcome::NotRun { .. } => Some(Ending::NotRun),
            AttemptOutcome::Failed => Some(Ending::FailedAfterRun),
            AttemptOutcome::Disconnected { .. }
            | AttemptOutcome::Stalled { .. }
            | AttemptOutcome::ClientGone => Some(Ending::OutcomeUnknown),
        }
    }

    /// Returns whether the caller already has part of an answer.
    pub(crate) fn is_partial(&self) -> bool {
        matches!(
            self,
            AttemptOutcome::Disconnected { partial: true }
                | AttemptOutcome::Stalled { partial: true }
        )
    }
}

/// Where a request stands.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Stage {
    /// Waits for tokens.
    Tokens,
    /// Waits for a server.
    Queued,
    /// Has a server and waits for its idempotency key.
    Claiming { server: ServerId },
    /// Runs.
    Running { server: ServerId },
    /// Waits until a crash of its last server is confirmed or excluded.
    Cooling { server: ServerId, until: Instant },
}

/// Accepted request.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) submission: Submission,
    pub(crate) stage: Stage,
    pub(crate) reservation: Option<Reservation>,
    pub(crate) attempts: u32,
    pub(crate) attempt: String,
    // Whether the idempotency key is granted to `attempt`.
    pub(crate) claimed: bool,
}

/// Accepted requests by number.
#[derive(Debug, Default)]
pub(crate) struct RequestTable {
    requests: BTreeMap<RequestId, Request>,
    last: RequestId,
}

impl RequestTable {
    pub(crate) fn add(&mut self, submission: Submission) -> RequestId {
        self.last += 1;
        let request = Request {
            submission,
            stage: Stage::Tokens,
            reservation: None,
            attempts: 0,
            attempt: String::new(),
            claimed: false,
        };
        self.requests.insert(self.last, request);
        self.last
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<&Request> {
        self.requests.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut Request> {
        self.requests.get_mut(&id)
    }

    pub(crate) fn remove(&mut self, id: RequestId) -> Option<Request> {
        self.requests.remove(&id)
    }

    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (RequestId, &Request)> {
        self.requests.iter().map(|(id, request)| (*id, request))
    }
}

/// Returns a recorded answer as it is given to a repeat.
pub(crate) fn recorded_answer(kept: StoredAnswer) -> Answer {
    Answer {
        status: kept.status,
        media: kept.content_type,
        body: kept.body.unwrap_or_default(),
    }
}
