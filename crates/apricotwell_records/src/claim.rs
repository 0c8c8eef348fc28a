//! Records of a claim stream.

use prost::{Message, Oneof};

/// Envelope of each record on a claim stream.
#[derive(Clone, PartialEq, Message)]
pub struct ClaimRecord {
    /// Fence of the shard's lease; a lower one than the latest opened is void.
    #[prost(uint64, tag = "1")]
    pub fence: u64,
    /// Milliseconds since the Unix epoch by the writer's clock; only ages old claims out.
    #[prost(uint64, tag = "2")]
    pub written_ms: u64,
    /// What is recorded; `None` for a kind that this version does not know.
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

/// Kinds of claim records.
#[derive(Clone, PartialEq, Oneof)]
pub enum ClaimBody {
    /// Begins a holder's term; voids later records of lower fences.
    #[prost(message, tag = "10")]
    Opened(Opened),
    /// Reserves an idempotency key for one attempt.
    #[prost(message, tag = "11")]
    Claimed(Claimed),
    /// Tells how the attempt ended.
    #[prost(message, tag = "12")]
    Finished(Finished),
}

/// Begins a holder's term on a claim stream.
#[derive(Clone, PartialEq, Message)]
pub struct Opened {}

/// Reserves an idempotency key for one attempt.
#[derive(Clone, PartialEq, Message)]
pub struct Claimed {
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

/// Tells how a claimed attempt ended.
#[derive(Clone, PartialEq, Message)]
pub struct Finished {
    /// Digest of the organisation and the idempotency key.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// Attempt that ended.
    #[prost(string, tag = "2")]
    pub attempt: String,
    /// `answered`, `not_run`, `failed_after_it_ran` or `outcome_unknown`.
    #[prost(string, tag = "3")]
    pub outcome: String,
    /// HTTP status of the answer; 0 without one.
    #[prost(uint32, tag = "4")]
    pub status: u32,
    /// Content type of the answer.
    #[prost(string, tag = "5")]
    pub content_type: String,
    /// Body of the answer, when it is small enough to keep.
    #[prost(bytes = "vec", tag = "6")]
    pub answer: Vec<u8>,
}
