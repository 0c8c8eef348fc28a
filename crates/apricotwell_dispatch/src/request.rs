//! Requests of callers, as the adapters decode them.

use std::time::Duration;

use apricotwell_types::{KeyDigest, Tokens};

use crate::model::RequestedModel;

/// Id of one attempt of a caller; each has its own.
pub type AttemptId = String;

/// Part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    /// Id.
    pub id: u64,
    /// Tokens.
    pub tokens: Tokens,
}

/// Request of a caller without its body.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestHead {
    /// Attempt.
    pub attempt: AttemptId,
    /// Host, in lower case and without a port.
    pub host: String,
    /// Path without a query.
    pub path: String,
    /// Digest of the key shown, if one was.
    pub key: Option<KeyDigest>,
    /// Time for which the caller waits, if it says so.
    pub timeout: Option<Duration>,
    /// Model wanted, for model engines.
    pub requested_model: Option<RequestedModel>,
    /// Tokens read and written at most, if the caller says so.
    pub max_tokens: Option<Tokens>,
    /// Parts of the prompt, in order.
    pub prompt: Vec<PromptSegment>,
    /// Last event that the caller has of a stream that broke off.
    pub last_event: Option<u64>,
}
