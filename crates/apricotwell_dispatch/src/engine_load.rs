//! Load that requests put on model engines, as this instance knows it.

use std::time::Instant;

use apricotwell_messages::ServerUse;
use apricotwell_types::{InstanceId, Map, Tokens};

use crate::engine_speed::{EventBlock, Slowness};
use crate::prompt_lanes::PromptLane;
use crate::request::RequestHead;

/// Prefill speed of an engine in prompt tokens per ms, until responses showed another one.
pub const PREFILL_TOKENS_PER_MS: f64 = 20.0;

/// Part of a server's KV memory that expected tokens may fill. The rest is for outputs that are longer
/// than expected.
const KV_PART: f64 = 0.9;
/// Largest part of a server's KV memory that is left free for requests which other instances have sent
/// since their last heartbeat. With `KV_PART`, half of the memory can be used however many instances
/// send requests.
const MAX_UNSEEN_PART: f64 = 0.4;
/// Multiple of the client's estimate that is reserved for the output, as estimates are often too low.
const HINT_MARGIN: Tokens = 2;
/// Smallest reserved part of the output limit, as a divisor, since an estimate may be far too low.
const MIN_OUTPUT_DIVISOR: Tokens = 4;

/// Returns the tokens that a request is expected to keep in an engine's memory at its end.
///
/// An estimate of 0 or above the limit says nothing about the output, so the limit counts then.
pub fn expected_tokens(request: &RequestHead) -> Tokens {
    let Some(usage) = request.usage else {
        return request.prompt.iter().map(|segment| segment.tokens).sum();
    };
    let limit = usage.output_limit;
    let hint = request
        .expected_output
        .filter(|hint| (1..=limit).contains(hint));
    let output = hint.map_or(limit, |hint| {
        hint.saturating_mul(HINT_MARGIN)
            .clamp(limit / MIN_OUTPUT_DIVISOR, limit)
    });
    usage.prompt.saturating_add(output)
}

/// Load that one request puts on an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestLoad {
    /// Prompt tokens that the engine has to process.
    pub prefill_tokens: f64,
    /// Tokens that it is expected to keep in memory.
    pub kv_tokens: Tokens,
    /// Lane of the prompt.
    pub lane: PromptLane,
}

/// Progress of a request on an engine.
#[derive(Clone, Copy, Debug)]
pub struct RequestProgress {
    /// Load of the request.
    pub load: RequestLoad,
    /// When the request was sent.
    pub sent_at: Instant,
    /// Events since the first one; `None` before.
    pub block: Option<EventBlock>,
}

impl RequestProgress {
    /// Returns the progress of a request that is being sent.
    pub fn new(now: Instant, load: RequestLoad) -> Self {
        Self {
            load,
            sent_at: now,
            block: None,
        }
    }
}

/// Load of one engine.
#[derive(Clone, Debug, Default)]
pub struct ServerLoad {
    // Prompt tokens of this instance's requests without a first event.
    pending_prefill: f64,
    /// How much slower than others the engine is.
    pub slowness: Slowness,
    // Expected tokens of this instance's requests.
    own_tokens: Tokens,
    // Expected tokens of the requests of other instances, by their heartbeats; together and on
    // average.
    peer_tokens: Map<InstanceId, (Tokens, Tokens)>,
    // Sums of both over the instances; selections need them for every server.
    peer_sums: (Tokens, Tokens),
}

impl ServerLoad {
    /// Returns the prompt tokens of this instance's requests that have not begun to respond.
    pub fn pending_prefill(&self) -> f64 {
        self.pending_prefill
    }

    /// Returns what is still known of it after the engine restarted: this instance's own requests,
    /// whose ends it has yet to see.
    pub fn after_restart(&self) -> Self {
        Self {
            pending_prefill: self.pending_prefill,
            own_tokens: self.own_tokens,
            ..Self::default()
        }
    }

    /// Counts a request that is sent.
    pub fn begin(&mut self, load: &RequestLoad) {
        self.pending_prefill += load.prefill_tokens;
        self.own_tokens = self.own_tokens.saturating_add(load.kv_tokens);
    }

    /// Counts the end of a request.
    pub fn end(&mut self, progress: &RequestProgress) {
        if progress.block.is_none() {
            self.end_prefill(&progress.load);
        }
        self.own_tokens = self.own_tokens.saturating_sub(progress.load.kv_tokens);
    }

    /// Returns the expected tokens of this instance's requests.
    pub fn own_tokens(&self) -> Tokens {
        self.own_tokens
    }

    /// Sets another instance's use of the engine.
    pub fn set_peer_use(&mut self, instance: &InstanceId, usage: Option<&ServerUse>) {
        match usage {
            Some(usage) if usage.tokens > 0 => {
                let average = usage.tokens / Tokens::from(usage.requests.max(1));
                self.peer_tokens
                    .insert(instance.clone(), (usage.tokens, average));
            }
            // Most instances use few engines, so most heartbeats change nothing here.
            _ if self.peer_tokens.remove(instance).is_none() => return,
            _ => {}
        }
        self.sum_peers();
    }

    fn sum_peers(&mut self) {
        let uses = self.peer_tokens.values();
        self.peer_sums = uses.fold((0, 0), |sums: (Tokens, Tokens), (tokens, average)| {
            (sums.0.saturating_add(*tokens), sums.1 + average)
        });
    }

    /// Removes the requests of an instance that timed out.
    pub fn remove_instance(&mut self, instance: &str) {
        self.peer_tokens.remove(instance);
        self.sum_peers();
        self.slowness.remove_instance(instance);
    }

    /// Counts the end of a request's prefill.
    pub fn end_prefill(&mut self, load: &RequestLoad) {
        self.pending_prefill = (self.pending_prefill - load.prefill_tokens).max(0.0);
    }

    /// Returns whether a request of so many tokens fits into the memory of an engine besides the
    /// others. One that is too large for that still fits into an idle engine.
    ///
    /// Half of the other instances that use the engine are assumed to have sent it one more request
    /// since their last heartbeat.
    pub fn fits(&self, tokens: Tokens, kv_tokens: Tokens) -> bool {
        let (peers, unseen) = self.peer_sums;
        let used = self.own_tokens.saturating_add(peers);
        let kv_tokens = kv_tokens as f64;
        let unseen = (unseen as f64 / 2.0).min(kv_tokens * MAX_UNSEEN_PART);
        used == 0 || used.saturating_add(tokens) as f64 + unseen <= kv_tokens * KV_PART
    }
}
