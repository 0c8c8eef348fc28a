//! Which servers have read which parts of prompts.

use std::collections::VecDeque;

use apricotwell_types::{Map, ServerId};

use crate::call::PromptPart;
use crate::model::RequestedModel;

/// Parts remembered for one server.
const PARTS_PER_SERVER: usize = 512;

/// Parts of prompts that servers have likely cached; a wrong entry costs speed only.
#[derive(Debug, Default)]
pub struct PromptCacheTable {
    servers: Map<ServerId, ServerPrompts>,
}

#[derive(Debug, Default)]
struct ServerPrompts {
    parts: Map<(RequestedModel, u64), ()>,
    ages: VecDeque<(RequestedModel, u64)>,
}

impl PromptCacheTable {
    /// Notes that a server reads a prompt.
    pub fn record_sent(
        &mut self,
        server: &ServerId,
        wanted: &RequestedModel,
        prompt: &[PromptPart],
    ) {
        let known = self.servers.entry(server.clone()).or_default();
        for part in prompt {
            let key = (wanted.clone(), part.id);
            if known.parts.insert(key.clone(), ()).is_none() {
                known.ages.push_back(key);
            }
            if known.ages.len() > PARTS_PER_SERVER
                && let Some(oldest) = known.ages.pop_front()
            {
                known.parts.remove(&oldest);
            }
        }
    }

    /// Returns the tokens of a prompt that a server has to read.
    pub fn uncached_tokens(
        &self,
        server: &str,
        wanted: &RequestedModel,
        prompt: &[PromptPart],
    ) -> f64 {
        let total: u64 = prompt.iter().map(|part| part.tokens).sum();
        let Some(known) = self.servers.get(server) else {
            return total as f64;
        };
        let cached: u64 = prompt
            .iter()
            .take_while(|part| known.parts.contains_key(&(wanted.clone(), part.id)))
            .map(|part| part.tokens)
            .sum();
        (total - cached) as f64
    }

    /// Forgets a server that left.
    pub fn remove_server(&mut self, server: &str) {
        self.servers.remove(server);
    }
}
