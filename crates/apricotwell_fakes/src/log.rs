//! In-memory streams of the log.

use std::collections::{BTreeMap, VecDeque};

use apricotwell_records::{LogBatch, ReadError};
use apricotwell_types::Offset;

/// Maximum number of records in one read.
const MAX_BATCH: usize = 1000;

#[derive(Debug)]
struct Stream {
    first: Offset,
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

/// Append-only streams of records, by name. Offsets start at 1.
#[derive(Debug, Default)]
pub struct LogStreams {
    streams: BTreeMap<String, Stream>,
}

impl LogStreams {
    /// Appends records and returns the offset of the first one.
    pub fn append(&mut self, stream: &str, records: Vec<Vec<u8>>) -> Offset {
        let stream = self.streams.entry(stream.to_owned()).or_default();
        let first = stream.first + stream.records.len() as Offset;
        stream.records.extend(records);
        first
    }

    /// Returns a batch of records, starting at offset `from`.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError::Expired`] with the first retained offset if the record at `from` has
    /// been dropped.
    pub fn read(&self, stream: &str, from: Offset) -> Result<LogBatch, ReadError> {
        let from = from.max(1);
        let Some(stream) = self.streams.get(stream) else {
            return Ok(LogBatch {
                first: from,
                records: Vec::new(),
                end: 1,
            });
        };
        if from < stream.first {
            return Err(ReadError::Expired(stream.first));
        }
        let skip = (from - stream.first) as usize;
        let records = stream.records.iter().skip(skip).take(MAX_BATCH);
        Ok(LogBatch {
            first: from,
            records: records.cloned().collect(),
            end: stream.first + stream.records.len() as Offset,
        })
    }

    /// Returns the offset that the next appended record will have.
    pub fn end(&self, stream: &str) -> Offset {
        let stream = self.streams.get(stream);
        stream.map_or(1, |stream| stream.first + stream.records.len() as Offset)
    }

    /// Drops the records before offset `first`.
    pub fn expire(&mut self, stream: &str, first: Offset) {
        let stream = self.streams.entry(stream.to_owned()).or_default();
        while stream.first < first && stream.records.pop_front().is_some() {
            stream.first += 1;
        }
    }
}
