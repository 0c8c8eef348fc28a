//! Outcomes and refusals of requests that got no complete answer.

use std::time::Duration;

/// What is known about the execution of a request that got no complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RunOutcome {
    /// No backend server received the request; a retry is safe.
    NotRun,
    /// A backend server ran the request, and it failed.
    FailedAfterRun,
    /// A backend server may have run the request.
    Unknown,
}

impl RunOutcome {
    /// Returns the value of the `x-outcome` header and the error's `outcome` field.
    pub fn as_str(self) -> &'static str {
        match self {
            RunOutcome::NotRun => "not_run",
            RunOutcome::FailedAfterRun => "failed_after_it_ran",
            RunOutcome::Unknown => "outcome_unknown",
        }
    }

    /// Parses [`RunOutcome::as_str`].
    pub fn from_name(text: &str) -> Option<Self> {
        [
            RunOutcome::NotRun,
            RunOutcome::FailedAfterRun,
            RunOutcome::Unknown,
        ]
        .into_iter()
        .find(|outcome| outcome.as_str() == text)
    }
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalKind {
    /// The body or a header is malformed or exceeds a limit.
    BadRequest,
    /// The body exceeds the configured size.
    RequestTooLarge,
    /// The body did not arrive within the timeout.
    RequestTimeout,
    /// The API key is missing, unknown or withdrawn.
    InvalidApiKey,
    /// The model is unknown, or the organisation has no access to it.
    ModelNotFound,
    /// No route matches the path and method.
    RouteNotFound,
    /// The body is quarantined because it crashed backend servers.
    Quarantined,
    /// The organisation exceeded its rate limit.
    RateLimited,
    /// The queues are full or the deadline can't be met.
    Overloaded,
    /// The deadline passed while the request was queued.
    DeadlineExceeded,
    /// The instance drains or can't confirm that its view of the log is fresh.
    Unavailable,
    /// The log is down, so the idempotency key of a non-idempotent request can't be claimed.
    ClaimUnavailable,
    /// Another request with this idempotency key is in progress.
    IdempotencyKeyInUse,
    /// The idempotency key was used before with a different body.
    IdempotencyKeyReused,
    /// A backend server failed.
    BackendFailed,
}

impl RefusalKind {
    /// Returns the HTTP status code.
    pub fn status(self) -> u16 {
        match self {
            RefusalKind::BadRequest => 400,
            RefusalKind::RequestTooLarge => 413,
            RefusalKind::RequestTimeout => 408,
            RefusalKind::InvalidApiKey => 401,
            RefusalKind::ModelNotFound | RefusalKind::RouteNotFound => 404,
            RefusalKind::Quarantined | RefusalKind::IdempotencyKeyReused => 422,
            RefusalKind::RateLimited => 429,
            RefusalKind::IdempotencyKeyInUse => 409,
            RefusalKind::Overloaded | RefusalKind::Unavailable | RefusalKind::ClaimUnavailable => {
                503
            }
            RefusalKind::DeadlineExceeded => 504,
            RefusalKind::BackendFailed => 502,
        }
    }

    /// Returns the error's `code` field.
    pub fn code(self) -> &'static str {
        match self {
            RefusalKind::BadRequest => "bad_request",
            RefusalKind::RequestTooLarge => "request_too_large",
            RefusalKind::RequestTimeout => "request_timeout",
            RefusalKind::InvalidApiKey => "invalid_api_key",
            RefusalKind::ModelNotFound => "model_not_found",
            RefusalKind::RouteNotFound => "route_not_found",
            RefusalKind::Quarantined => "quarantined",
            RefusalKind::RateLimited => "rate_limit_exceeded",
            RefusalKind::Overloaded => "overloaded",
            RefusalKind::DeadlineExceeded => "deadline_exceeded",
            RefusalKind::Unavailable => "unavailable",
            RefusalKind::ClaimUnavailable => "claim_unavailable",
            RefusalKind::IdempotencyKeyInUse => "idempotency_key_in_use",
            RefusalKind::IdempotencyKeyReused => "idempotency_key_reused",
            RefusalKind::BackendFailed => "backend_failed",
        }
    }

    /// Returns the `type` field of the error in the client API.
    pub fn error_type(self) -> &'static str {
        match self.status() {
            401 => "authentication_error",
            429 => "rate_limit_error",
            400..=499 => "invalid_request_error",
            _ => "server_error",
        }
    }
}

/// Refusal of a request, as reported to its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason.
    pub kind: RefusalKind,
    /// What is known about the request's execution.
    pub outcome: RunOutcome,
    /// What happened and what the client can do about it.
    pub message: String,
    /// Time after which a retry can succeed, if known.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Returns a refusal of a request that no backend server received.
    pub fn not_run(kind: RefusalKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            outcome: RunOutcome::NotRun,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Sets the outcome, which is [`RunOutcome::NotRun`] by default.
    pub fn with_outcome(mut self, outcome: RunOutcome) -> Self {
        self.outcome = outcome;
        self
    }

    /// Sets the time after which the client should retry.
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }
}
