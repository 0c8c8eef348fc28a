//! Messages on idempotency keys.

use apricotwell_records::Finished;

/// Asks a claim shard's holder for an idempotency key.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ClaimRequest {
    /// Digest of the organisation and the idempotency key.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// Digest of the organisation and the body.
    #[prost(bytes = "vec", tag = "2")]
    pub body: Vec<u8>,
    /// Attempt that wants to dispatch.
    #[prost(string, tag = "3")]
    pub attempt: String,
}

/// What an attempt may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ClaimVerdict {
    /// Not one that this version knows.
    Unspecified = 0,
    /// The attempt may dispatch once.
    Granted = 1,
    /// Another attempt holds the key and has not ended.
    Held = 2,
    /// An attempt with the key ended; the reply tells how.
    Ended = 3,
    /// The key came with another body.
    OtherBody = 4,
    /// The receiver does not hold the shard.
    NotHolder = 5,
    /// The log took no record; nothing has run.
    Unavailable = 6,
}

/// Answers a claim.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ClaimReply {
    /// Attempt.
    #[prost(string, tag = "1")]
    pub attempt: String,
    /// Verdict.
    #[prost(enumeration = "ClaimVerdict", tag = "2")]
    pub verdict: i32,
    /// How the attempt with the key ended.
    #[prost(message, optional, tag = "3")]
    pub finished: Option<Finished>,
}

/// Tells how a claimed attempt ended.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ClaimFinish {
    /// How it ended.
    #[prost(message, optional, tag = "1")]
    pub finished: Option<Finished>,
}

/// Confirms that the end of an attempt is recorded.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ClaimFinishAck {
    /// Attempt.
    #[prost(string, tag = "1")]
    pub attempt: String,
}
