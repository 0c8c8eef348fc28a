//! Results and errors of reads and appends on a log stream.

use std::fmt;

use apricotwell_types::Offset;

/// Why an append returned no offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendError {
    /// The log appended nothing.
    NotAppended,
    /// The log may have appended the records or may still do so.
    Unknown,
}

impl fmt::Display for AppendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            AppendError::NotAppended => "the log appended nothing; append again",
            AppendError::Unknown => {
                "the log may have appended the records; append the same records again"
            }
        })
    }
}

impl std::error::Error for AppendError {}

/// Why a read returned no records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The records were dropped; contains the first offset that is still available.
    Expired(Offset),
    /// The log did not answer.
    Unreachable,
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReadError::Expired(first) => {
                write!(
                    f,
                    "the log dropped the records before offset {first}; start from a checkpoint"
                )
            }
            ReadError::Unreachable => f.write_str("the log did not answer; read again"),
        }
    }
}

impl std::error::Error for ReadError {}

/// Records read from a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogBatch {
    /// Offset of the first record.
    pub first: Offset,
    /// Records with consecutive offsets.
    pub records: Vec<Vec<u8>>,
    /// Offset of the next record to be appended.
    pub end: Offset,
}

impl LogBatch {
    /// Returns whether the batch reached the end of the stream when it was read.
    pub fn reaches_end(&self) -> bool {
        self.first + self.records.len() as Offset >= self.end
    }
}
