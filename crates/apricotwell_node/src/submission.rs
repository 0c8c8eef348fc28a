//! A request as the shell submits it.

use std::time::Instant;

use apricotwell_routing::PrefixKey;
use apricotwell_state::Callable;
use apricotwell_types::{BodyDigest, KeyDigest, ModelId, OrgId, Tokens, WorkClass};

/// What a request calls.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// A model or adapter.
    Model(Callable),
    /// A plain service.
    Service {
        /// Route.
        route: String,
        /// Pool of its servers.
        pool: String,
    },
}

/// A request as the shell submits it.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// Organisation; empty on an open route.
    pub org: OrgId,
    /// Key that came with the request; `None` on an open route.
    pub api_key: Option<KeyDigest>,
    /// Target.
    pub target: Target,
    /// Class.
    pub class: WorkClass,
    /// When a server must have been given the request.
    pub deadline: Instant,
    /// Tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Tokens that the answer may have.
    pub max_output: Tokens,
    /// Digest of the organisation and the body.
    pub body_digest: BodyDigest,
    /// Beginning of the prompt, for cache affinity.
    pub prefix: Option<PrefixKey>,
    /// Idempotency key as a digest with the organisation.
    pub idempotency_key: Option<BodyDigest>,
}

impl Submission {
    /// Returns the tokens to reserve.
    pub fn cost(&self) -> Tokens {
        self.prompt_tokens.saturating_add(self.max_output)
    }

    /// Returns the name under which the request waits.
    pub fn queue_name(&self) -> ModelId {
        match &self.target {
            Target::Model(callable) => callable.model.clone(),
            Target::Service { pool, .. } => service_queue(pool),
        }
    }
}

/// Returns the name under which requests for a plain service wait.
pub(crate) fn service_queue(pool: &str) -> ModelId {
    format!("service {pool}").into()
}

/// Returns the pool of a queue of requests for a plain service.
pub(crate) fn service_pool(queue: &str) -> Option<&str> {
    queue.strip_prefix("service ")
}
