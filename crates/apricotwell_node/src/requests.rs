//! Table of the requests that this instance has accepted.

use std::collections::BTreeMap;
use std::time::Instant;

use apricotwell_claims::RecordedAnswer;
use apricotwell_types::{RequestId, RunOutcome, ServerId, Tokens};

use crate::Submission;
use crate::token_manager::Reservation;

/// Answer as stored for retries of the same request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Value of the `Content-Type` header.
    pub content_type: String,
    /// Whole body; `None` when it exceeds [`crate::NodeSettings::max_stored_answer`].
    pub body: Option<Vec<u8>>,
}

/// Outcome of one attempt to run a request on a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The client received the whole answer.
    Answered {
        /// Answer to store for retries of a non-idempotent request.
        answer: StoredAnswer,
        /// Tokens used, if the server reported them.
        used: Option<Tokens>,
    },
    /// The server never received the request, or reported that it did not run it.
    NotRun {
        /// Whether the server could not be reached.
        unreachable: bool,
    },
    /// The server ran the request and reported a failure.
    Failed,
    /// The connection broke, or the answer belongs to another attempt.
    Disconnected {
        /// Whether the client already received part of the answer.
        partial: bool,
    },
    /// The server made no progress within the timeout.
    Stalled {
        /// Whether the client already received part of the answer.
        partial: bool,
    },
    /// The client disconnected.
    ClientGone,
}

impl AttemptOutcome {
    /// Returns what is known about the execution; `None` when the request was answered.
    pub(crate) fn run_outcome(&self) -> Option<RunOutcome> {
        match self {
            AttemptOutcome::Answered { .. } => None,
            AttemptOutcome::NotRun { .. } => Some(RunOutcome::NotRun),
            AttemptOutcome::Failed => Some(RunOutcome::FailedAfterRun),
            AttemptOutcome::Disconnected { .. }
            | AttemptOutcome::Stalled { .. }
            | AttemptOutcome::ClientGone => Some(RunOutcome::Unknown),
        }
    }

    /// Returns whether the client already received part of an answer.
    pub(crate) fn is_partial(&self) -> bool {
        matches!(
            self,
            AttemptOutcome::Disconnected { partial: true }
                | AttemptOutcome::Stalled { partial: true }
        )
    }
}

/// Processing stage of an accepted request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Stage {
    /// Waits for rate-limit tokens.
    AwaitingTokens,
    /// Waits in the queue for a server.
    Queued,
    /// Has a server and waits until its idempotency key is claimed.
    Claiming { server: ServerId },
    /// Runs on a server.
    Running { server: ServerId },
    /// Waits until a poll shows whether its last server crashed.
    CheckingCrash { server: ServerId, until: Instant },
}

/// Request that was accepted and has no outcome yet.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) submission: Submission,
    pub(crate) stage: Stage,
    pub(crate) reservation: Option<Reservation>,
    pub(crate) attempts: u32,
    // When the last attempt was dispatched.
    pub(crate) dispatched: Option<Instant>,
    pub(crate) attempt: String,
    // Whether `attempt` holds the claim on the idempotency key.
    pub(crate) claimed: bool,
}

/// Accepted requests by id.
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
            stage: Stage::AwaitingTokens,
            reservation: None,
            attempts: 0,
            dispatched: None,
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

/// Converts a stored answer to the form in which claims record it.
pub(crate) fn recorded_answer(answer: StoredAnswer) -> RecordedAnswer {
    RecordedAnswer {
        status: answer.status,
        content_type: answer.content_type,
        body: answer.body.unwrap_or_default(),
    }
}
