//! Heads of client requests, as decoded by the platform's adapter.

use std::time::Duration;

use apricotwell_types::{KeyDigest, Tokens};

use crate::model::RequestedModel;

/// Id of one attempt of a client; a retry by the client has a different one.
pub type AttemptId = String;

/// Segment of a prompt that other requests may share, so that a server can reuse its cached tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    /// Id of the segment's content.
    pub id: u64,
    /// Length in tokens.
    pub tokens: Tokens,
}

/// Decoded head of a client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestHead {
    /// Attempt id.
    pub attempt: AttemptId,
    /// Host, in lower case and without a port.
    pub host: String,
    /// Path without the query.
    pub path: String,
    /// Digest of the API key, if the request has one.
    pub key: Option<KeyDigest>,
    /// The client's timeout, if the request states one.
    pub timeout: Option<Duration>,
    /// Requested model, for services with model engines.
    pub requested_model: Option<RequestedModel>,
    /// Maximum number of prompt and generated tokens together, if the request states it.
    pub max_tokens: Option<Tokens>,
    /// Segments of the prompt, in order.
    pub prompt: Vec<PromptSegment>,
    /// Last event that the client received of a stream that it resumes.
    pub last_event: Option<u64>,
}
