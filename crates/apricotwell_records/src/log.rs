//! What reading and appending on a log stream can come to.

use std::fmt;

use apricotwell_types::Offset;

/// Why an append has no offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendError {
    /// The log took nothing.
    NotAppended,
    /// The log may have taken the records, now or later.
    Unknown,
}

impl fmt::Display for AppendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            AppendError::NotAppended => "the log took nothing; append again",
            AppendError::Unknown => "the log may have taken it; append the same records again",
        })
    }
}

impl std::error::Error for AppendError {}

/// Why a read brought nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The records were dropped; the first one kept is named.
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
                    "records before {first} are dropped; start from a checkpoint"
                )
            }
            ReadError::Unreachable => f.write_str("the log does not answer; read again"),
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
    /// Offset that the next appended record will have.
    pub end: Offset,
}

impl LogBatch {
    /// Returns whether nothing stood behind the batch when it was read.
    pub fn reaches_end(&self) -> bool {
        self.first + self.records.len() as Offset >= self.end
    }
}
