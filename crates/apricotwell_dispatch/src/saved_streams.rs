//! Streams that instances saved in the store's log while the record names several versions.
//!
//! Unlike the memory of instances, the log outlives a kill of all of them.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use apricotwell_messages::{StreamBatch, VersionStreams};
use apricotwell_types::Map;

use crate::software::{VersionSet, known_version};
use crate::stream_memory::{BegunStream, StreamKey};

/// Largest number of streams that are kept; with more of them, resumptions are refused.
const MAX_STREAMS: usize = 256 << 10;

/// Streams that were read from the log.
#[derive(Debug, Default)]
pub struct SavedStreams {
    // Versions that began streams with a key, and when the last one was read.
    streams: Map<StreamKey, (VersionSet, Instant)>,
    // Keys in the order in which they were read; the older entries of a key are stale.
    order: VecDeque<(StreamKey, Instant)>,
    has_overflowed: bool,
}

impl SavedStreams {
    /// Adds the streams of one record, read at `now`.
    pub fn add(&mut self, now: Instant, batch: &StreamBatch) {
        for streams in &batch.versions {
            let version = streams.version.as_deref().and_then(known_version);
            for key in &streams.keys {
                let known = self.streams.entry(*key);
                let (versions, at) = known.or_insert_with(|| (VersionSet::new(), now));
                versions.insert(version.clone());
                *at = now;
                self.order.push_back((*key, now));
            }
        }
        self.has_overflowed |= self.order.len() > MAX_STREAMS;
    }

    /// Forgets the streams that were read before `lifetime`.
    pub fn expire(&mut self, now: Instant, lifetime: Duration) {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= lifetime;
        while self.order.front().is_some_and(|(_, at)| is_old(*at)) {
            self.forget_oldest();
        }
        self.has_overflowed &= !self.order.is_empty();
    }

    fn forget_oldest(&mut self) {
        let Some((key, read_at)) = self.order.pop_front() else {
            return;
        };
        let is_newest = |(_, at): &(VersionSet, Instant)| *at == read_at;
        if self.streams.get(&key).is_some_and(is_newest) {
            self.streams.remove(&key);
        }
    }

    /// Returns whether too many streams were saved to be kept.
    pub fn has_overflowed(&self) -> bool {
        self.has_overflowed
    }

    /// Returns the versions that began streams with a key; none if too many streams were saved.
    pub fn versions(&self, key: StreamKey) -> VersionSet {
        if self.has_overflowed {
            return VersionSet::new();
        }
        let known = self.streams.get(&key);
        known
            .map(|(versions, _)| versions.clone())
            .unwrap_or_default()
    }
}

/// Returns the record of streams for the log.
pub fn encode_batch(streams: &[BegunStream]) -> StreamBatch {
    let mut by_version: BTreeMap<Option<&str>, Vec<StreamKey>> = BTreeMap::new();
    for stream in streams {
        let keys = by_version.entry(stream.version.as_deref()).or_default();
        keys.push(stream.key);
    }
    let versions = by_version
        .into_iter()
        .map(|(version, keys)| VersionStreams {
            version: version.map(str::to_owned),
            keys,
        });
    StreamBatch {
        versions: versions.collect(),
    }
}
