//! Records of a claim stream.

use prost::{Message, Oneof};

/// Envelope of each record on a claim stream.
#[derive(Clone, PartialEq, Message)]
pub struct ClaimRecord {
    /// Fencing token of the shard's lease; the record is void if a higher token opened the stream.
    #[prost(uint64, tag = "1")]
    pub fence: u64,
    /// Milliseconds since the Unix epoch by the writer's clock; used only to expire old claims.
    #[prost(uint64, tag = "2")]
    pub written_ms: u64,
    /// Content; `None` for a kind that this version does not know.
    #[prost(oneof = "ClaimBody", tags = "10, 11, 12")]
    pub body: Option<ClaimBody>,
}

impl ClaimRecord {
    /// Encodes the record.
    pub fn to_bytes(&self) -> Vec<u8> {
        self.encode_to_vec()
    }

    /// Decodes a record; `None` when the bytes are not one.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        Self::decode(bytes).ok()
    }
}

/// Content of a claim record.
#[derive(Clone, PartialEq, Oneof)]
pub enum ClaimBody {
    /// Opens the stream for a new lease holder; voids later records with lower fencing tokens.
    #[prost(message, tag = "10")]
    StreamOpened(StreamOpened),
    /// Reserves an idempotency key for one attempt.
    #[prost(message, tag = "11")]
    KeyClaimed(KeyClaimed),
    /// Records the outcome of an attempt.
    #[prost(message, tag = "12")]
    AttemptFinished(AttemptFinished),
}

/// Opens a claim stream for a new lease holder.
#[derive(Clone, PartialEq, Message)]
pub struct StreamOpened {}

/// Reserves an idempotency key for one attempt.
#[derive(Clone, PartialEq, Message)]
pub struct KeyClaimed {
    /// Digest of the organisation and the idempotency key.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// Digest of the organisation and the body.
    #[prost(bytes = "vec", tag = "2")]
    pub body: Vec<u8>,
    /// Attempt that may dispatch the request.
    #[prost(string, tag = "3")]
    pub attempt: String,
}

/// Records the outcome of a claimed attempt.
#[derive(Clone, PartialEq, Message)]
pub struct AttemptFinished {
    /// Digest of the organisation and the idempotency key.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// Attempt that finished.
    #[prost(string, tag = "2")]
    pub attempt: String,
    /// `answered`, `not_run`, `failed_after_it_ran` or `outcome_unknown`.
    #[prost(string, tag = "3")]
    pub outcome: String,
    /// HTTP status of the answer; 0 if there is none.
    #[prost(uint32, tag = "4")]
    pub status: u32,
    /// Content type of the answer.
    #[prost(string, tag = "5")]
    pub content_type: String,
    /// Body of the answer, if it is small enough to store.
    #[prost(bytes = "vec", tag = "6")]
    pub answer: Vec<u8>,
}
