//! Where the prefixes of recent prompts are cached.

use std::collections::VecDeque;
use std::hash::Hasher;

use apricotwell_types::{Map, ServerId};

/// Bytes of a prompt that name its prefix.
const PREFIX_BYTES: usize = 512;

/// Hash of a model with the beginning of a prompt.
pub type PrefixKey = u64;

/// Returns the key of a prompt for `model`.
pub fn prefix_key(model: &str, prompt: &[u8]) -> PrefixKey {
    let mut hash = rustc_hash(model.as_bytes());
    hash.write(&prompt[..prompt.len().min(PREFIX_BYTES)]);
    hash.finish()
}

fn rustc_hash(bytes: &[u8]) -> impl Hasher {
    let mut hash = std::hash::BuildHasher::build_hasher(Map::<u8, u8>::default().hasher());
    hash.write(bytes);
    hash
}

/// Servers that likely have a prefix cached; a wrong entry costs speed only.
#[derive(Debug)]
pub struct PrefixMap {
    limit: usize,
    servers: Map<PrefixKey, ServerId>,
    ages: VecDeque<PrefixKey>,
}

impl PrefixMap {
    /// Returns an empty map for at most `limit` prefixes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            servers: Map::default(),
            ages: VecDeque::new(),
        }
    }

    /// Returns the server that likely has the prefix cached.
    pub fn get(&self, key: PrefixKey) -> Option<&ServerId> {
        self.servers.get(&key)
    }

    /// Notes that a server has seen the prefix; the oldest entry makes room.
    pub fn insert(&mut self, key: PrefixKey, server: ServerId) {
        if self.servers.insert(key, server).is_none() {
            self.ages.push_back(key);
        }
        if self.ages.len() > self.limit
            && let Some(oldest) = self.ages.pop_front()
        {
            self.servers.remove(&oldest);
        }
    }

    /// Forgets all of a server, after a gap in its events or its restart.
    pub fn remove_server(&mut self, server: &str) {
        self.servers.retain(|_, known| **known != *server);
        self.ages.retain(|key| self.servers.contains_key(key));
    }
}
