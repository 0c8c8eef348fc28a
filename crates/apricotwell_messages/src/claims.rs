//! Messages about idempotency keys.

use apricotwell_records::AttemptFinished;

/// Requests an idempotency key from a claim shard's lease holder.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ClaimRequest {
    /// Digest of the organisation and the idempotency key.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// Digest of the organisation and the body.
    #[prost(bytes = "vec", tag = "2")]
    pub body: Vec<u8>,
    /// Attempt that is to dispatch the request.
    #[prost(string, tag = "3")]
    pub attempt: String,
}

/// Decision on a claim request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ClaimVerdict {
    /// Unset or unknown to this version.
    Unspecified = 0,
    /// The attempt may dispatch the request once.
    Granted = 1,
    /// Another attempt holds the key and has not finished.
    Held = 2,
    /// An attempt with the key finished; the reply contains its outcome.
    Ended = 3,
    /// The key was used before with a different body.
    OtherBody = 4,
    /// The receiver does not hold the shard's lease.
    NotHolder = 5,
    /// The log accepted no record; nothing has run.
    Unavailable = 6,
}

/// Replies to a claim request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ClaimReply {
    /// Attempt.
    #[prost(string, tag = "1")]
    pub attempt: String,
    /// Decision.
    #[prost(enumeration = "ClaimVerdict", tag = "2")]
    pub verdict: i32,
    /// Outcome of the attempt that finished with the key.
    #[prost(message, optional, tag = "3")]
    pub finished: Option<AttemptFinished>,
}

/// Reports the outcome of a claimed attempt.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ClaimFinish {
    /// Outcome.
    #[prost(message, optional, tag = "1")]
    pub finished: Option<AttemptFinished>,
}

/// Confirms that the outcome of an attempt is recorded.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ClaimFinishAck {
    /// Attempt.
    #[prost(string, tag = "1")]
    pub attempt: String,
}
