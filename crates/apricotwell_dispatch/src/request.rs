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

/// Size of a request to a model engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenUsage {
    /// Length of the prompt.
    pub prompt: Tokens,
    /// Maximum number of generated tokens.
    pub output_limit: Tokens,
}

impl TokenUsage {
    /// Returns the maximum number of prompt and generated tokens together.
    pub fn total(self) -> Tokens {
        self.prompt.saturating_add(self.output_limit)
    }
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
    /// Size of the request, if it states it.
    pub usage: Option<TokenUsage>,
    /// Number of tokens that the client expects to be generated, if it states it. Often far off.
    pub expected_output: Option<Tokens>,
    /// Segments of the prompt, in order.
    pub prompt: Vec<PromptSegment>,
    /// Attempt that delivered the first event of a stream that the client resumes, if it states it.
    pub resumes: Option<AttemptId>,
    /// Last event that the client received of a stream that it resumes.
    pub last_event: Option<LastEvent>,
}

/// Last event that a client received, as it names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LastEvent {
    /// Its id.
    Id(u64),
    /// The id can't be decoded, so the rest of the stream is not known.
    Malformed,
}

impl RequestHead {
    /// Returns the id of the last event that the client received, `None` if it names none that can be decoded.
    pub fn last_event_id(&self) -> Option<u64> {
        match self.last_event {
            Some(LastEvent::Id(id)) => Some(id),
            Some(LastEvent::Malformed) | None => None,
        }
    }
}
