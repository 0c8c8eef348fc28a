//! Map from prompt prefixes to the servers that likely have them cached.

use std::collections::VecDeque;
use std::hash::Hasher;

use apricotwell_types::{Map, ServerId};

/// Number of leading bytes of a prompt that are hashed as its prefix.
const PREFIX_BYTES: usize = 512;

/// Hash of a model's name and the beginning of a prompt.
pub type PrefixKey = u64;

/// Returns the key of the prefix of a prompt for `model`.
pub fn prefix_key(model: &str, prompt: &[u8]) -> PrefixKey {
    let mut hash = start_hash(model.as_bytes());
    hash.write(&prompt[..prompt.len().min(PREFIX_BYTES)]);
    hash.finish()
}

// Returns a hasher of the kind that `Map` uses, with `bytes` already written.
fn start_hash(bytes: &[u8]) -> impl Hasher {
    let mut hash = std::hash::BuildHasher::build_hasher(Map::<u8, u8>::default().hasher());
    hash.write(bytes);
    hash
}

/// Servers that likely have a prefix cached.
///
/// A wrong entry affects only performance. At its limit, the map evicts the oldest entry.
#[derive(Debug)]
pub struct PrefixMap {
    limit: usize,
    servers: Map<PrefixKey, ServerId>,
    insertion_order: VecDeque<PrefixKey>,
}

impl PrefixMap {
    /// Creates an empty map for at most `limit` prefixes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            servers: Map::default(),
            insertion_order: VecDeque::new(),
        }
    }

    /// Returns the server that likely has the prefix cached.
    pub fn get(&self, key: PrefixKey) -> Option<&ServerId> {
        self.servers.get(&key)
    }

    /// Records that a server has processed the prefix.
    ///
    /// Replaces the server of a known prefix, which keeps its age.
    pub fn insert(&mut self, key: PrefixKey, server: ServerId) {
        if self.servers.insert(key, server).is_none() {
            self.insertion_order.push_back(key);
        }
        if self.insertion_order.len() > self.limit
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.servers.remove(&oldest);
        }
    }

    /// Removes all prefixes of a server, after it restarted or some of its events were missed.
    pub fn remove_server(&mut self, server: &str) {
        self.servers.retain(|_, known| **known != *server);
        self.insertion_order
            .retain(|key| self.servers.contains_key(key));
    }
}
