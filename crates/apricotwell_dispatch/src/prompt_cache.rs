//! Assumed contents of the servers' prompt caches.

use std::collections::VecDeque;

use apricotwell_types::{Map, ServerId};

use crate::model::RequestedModel;
use crate::request::PromptSegment;

/// Number of prompt segments tracked per server.
const SEGMENTS_PER_SERVER: usize = 512;

/// Prompt segments that servers have likely cached; a wrong entry only makes a request slower.
#[derive(Debug, Default)]
pub struct PromptCacheTable {
    servers: Map<ServerId, CachedSegments>,
}

#[derive(Debug, Default)]
struct CachedSegments {
    segments: Map<(RequestedModel, u64), ()>,
    insertion_order: VecDeque<(RequestedModel, u64)>,
}

impl PromptCacheTable {
    /// Records that a prompt was sent to a server.
    pub fn record_sent(
        &mut self,
        server: &ServerId,
        requested: &RequestedModel,
        prompt: &[PromptSegment],
    ) {
        let entry = self.servers.entry(server.clone()).or_default();
        for segment in prompt {
            let key = (requested.clone(), segment.id);
            if entry.segments.insert(key.clone(), ()).is_none() {
                entry.insertion_order.push_back(key);
            }
            if entry.insertion_order.len() > SEGMENTS_PER_SERVER
                && let Some(oldest) = entry.insertion_order.pop_front()
            {
                entry.segments.remove(&oldest);
            }
        }
    }

    /// Returns the number of tokens of a prompt that a server has to process.
    ///
    /// The leading segments that the server has likely cached are not counted.
    pub fn uncached_tokens(
        &self,
        server: &str,
        requested: &RequestedModel,
        prompt: &[PromptSegment],
    ) -> f64 {
        let total: u64 = prompt.iter().map(|segment| segment.tokens).sum();
        let Some(entry) = self.servers.get(server) else {
            return total as f64;
        };
        let cached: u64 = prompt
            .iter()
            .take_while(|segment| {
                entry
                    .segments
                    .contains_key(&(requested.clone(), segment.id))
            })
            .map(|segment| segment.tokens)
            .sum();
        (total - cached) as f64
    }

    /// Removes a server that is no longer listed.
    pub fn remove_server(&mut self, server: &str) {
        self.servers.remove(server);
    }
}
