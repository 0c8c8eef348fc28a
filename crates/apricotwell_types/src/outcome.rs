//! Truthful endings of a request that has no answer.

use std::time::Duration;

/// What is known of a request that did not get its whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RunOutcome {
    /// No backend server was given the request; a repeat is safe.
    NotRun,
    /// A backend server ran the request and it failed.
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
    /// The body or a header is malformed or beyond a limit.
    BadRequest,
    /// The body is larger than the setting allows.
    RequestTooLarge,
    /// The body did not come in time.
    RequestTimeout,
    /// No key, an unknown key or a withdrawn key.
    InvalidApiKey,
    /// The model is unknown or not granted to the organisation.
    ModelNotFound,
    /// No route has this path and method.
    RouteNotFound,
    /// The body crashed backend servers before and is quarantined.
    Quarantined,
    /// The organisation is over its rate.
    RateLimited,
    /// Queues are full or the deadline can't be met.
    Overloaded,
    /// The deadline passed while the request waited.
    DeadlineExceeded,
    /// The instance can't confirm that its view is fresh, or is leaving.
    Unavailable,
    /// The log is down, so a non-idempotent request can't be claimed.
    ClaimUnavailable,
    /// Another request holds this idempotency key.
    IdempotencyKeyInUse,
    /// The idempotency key came before with another body.
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

    /// Returns the error's `type` field in the callers' interface.
    pub fn error_type(self) -> &'static str {
        match self.status() {
            401 => "authentication_error",
            429 => "rate_limit_error",
            400..=499 => "invalid_request_error",
            _ => "server_error",
        }
    }
}

/// Refusal of a request, as told to its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason.
    pub kind: RefusalKind,
    /// What is known of the request's run.
    pub outcome: RunOutcome,
    /// What happened and what the caller can do.
    pub message: String,
    /// When a repeat can succeed, if known.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Returns a refusal of a request that no backend server was given.
    pub fn not_run(kind: RefusalKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            outcome: RunOutcome::NotRun,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Returns a refusal with another ending than not run.
    pub fn with_outcome(mut self, outcome: RunOutcome) -> Self {
        self.outcome = outcome;
        self
    }

    /// Tells the caller when to come back.
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }
}
