//! Requests as the driver submits them.

use std::time::Instant;

use apricotwell_quarantine::prelude::PartId;
use apricotwell_routing::PrefixKey;
use apricotwell_state::ResolvedModel;
use apricotwell_types::{BodyDigest, KeyDigest, ModelId, OrgId, Tokens, WorkClass};

/// Destination of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// A model or adapter.
    Model(ResolvedModel),
    /// A plain service, which runs no model.
    Service {
        /// Name of the route.
        route: String,
        /// Pool of the servers behind the route.
        pool: String,
    },
}

/// Parsed and authenticated request that the driver passes to [`crate::Node::submit`].
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// Organisation that the request belongs to; empty on an open route.
    pub org: OrgId,
    /// Digest of the API key; `None` on an open route.
    pub api_key: Option<KeyDigest>,
    /// Model or service that the request calls.
    pub target: Target,
    /// Work class, which decides on priority and retries.
    pub class: WorkClass,
    /// Time by which the request must have been dispatched to a server.
    pub deadline: Instant,
    /// Number of tokens in the prompt.
    pub prompt_tokens: Tokens,
    /// Largest number of tokens in the answer.
    pub max_output: Tokens,
    /// Digest of the organisation and the body.
    pub body_digest: BodyDigest,
    /// Ids of the parts of the prompt that other requests may share, the most general one first.
    pub parts: Vec<PartId>,
    /// Hash of the beginning of the prompt, for cache affinity.
    pub prefix: Option<PrefixKey>,
    /// Digest of the organisation and the idempotency key.
    pub idempotency_key: Option<BodyDigest>,
}

impl Submission {
    /// Returns the number of tokens to reserve from the organisation's rate limit.
    pub fn cost(&self) -> Tokens {
        self.prompt_tokens.saturating_add(self.max_output)
    }

    /// Returns the name of the queue that the request waits in.
    pub fn queue_name(&self) -> ModelId {
        match &self.target {
            Target::Model(resolved) => resolved.model.clone(),
            Target::Service { pool, .. } => service_queue(pool),
        }
    }
}

/// Returns the queue name of a plain service.
pub(crate) fn service_queue(pool: &str) -> ModelId {
    format!("service {pool}").into()
}

/// Returns the pool of a plain service's queue; `None` for the queue of a model.
pub(crate) fn service_pool(queue: &str) -> Option<&str> {
    queue.strip_prefix("service ")
}
