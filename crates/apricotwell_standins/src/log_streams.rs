//! Streams of the log, in memory.

use std::collections::{BTreeMap, VecDeque};

use apricotwell_platform::StreamSlice;

/// Records in one answer.
const MAX_SLICE: usize = 1000;

#[derive(Debug)]
struct Stream {
    first: u64,
    records: VecDeque<Vec<u8>>,
}

impl Default for Stream {
    fn default() -> Self {
        Self {
            first: 1,
            records: VecDeque::new(),
        }
    }
}

/// Append-only streams with offsets from 1.
#[derive(Debug, Default)]
pub struct LogStreams {
    streams: BTreeMap<String, Stream>,
}

impl LogStreams {
    /// Appends records and returns the offset of the first one.
    pub fn append(&mut self, stream: &str, records: Vec<Vec<u8>>) -> u64 {
        let stream = self.streams.entry(stream.to_owned()).or_default();
        let first = stream.first + stream.records.len() as u64;
        stream.records.extend(records);
        first
    }

    /// Returns records from `from` on.
    ///
    /// # Errors
    ///
    /// Fails with the first offset kept when `from` has been dropped.
    pub fn read(&self, stream: &str, from: u64) -> Result<StreamSlice, u64> {
        let Some(stream) = self.streams.get(stream) else {
            return Ok(StreamSlice {
                first: from.max(1),
                end: 1,
                records: Vec::new(),
            });
        };
        let from = from.max(1);
        if from < stream.first {
            return Err(stream.first);
        }
        let skip = (from - stream.first) as usize;
        let records = stream.records.iter().skip(skip).take(MAX_SLICE);
        Ok(StreamSlice {
            first: from,
            end: stream.first + stream.records.len() as u64,
            records: records.cloned().collect(),
        })
    }

    /// Drops the records before `first`.
    pub fn expire(&mut self, stream: &str, first: u64) {
        let stream = self.streams.entry(stream.to_owned()).or_default();
        while stream.first < first && stream.records.pop_front().is_some() {
            stream.first += 1;
        }
    }
}
