//! The envelope and the kinds of messages.

use prost::{Message as _, Oneof};

use crate::claims::{ClaimFinish, ClaimFinishAck, ClaimReply, ClaimRequest};
use crate::member_update::MemberUpdate;
use crate::tokens::{BucketState, TokenGrant, TokenRequest};

/// Envelope of each message.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Envelope {
    /// Sender.
    #[prost(message, optional, tag = "1")]
    pub sender: Option<MemberUpdate>,
    /// Updates about other members.
    #[prost(message, repeated, tag = "2")]
    pub updates: Vec<MemberUpdate>,
    /// What the sender has read of the log.
    #[prost(message, optional, tag = "3")]
    pub evidence: Option<LogEvidence>,
    /// What other members said of the log, on answers to pings only.
    #[prost(message, repeated, tag = "4")]
    pub relayed: Vec<RelayedEvidence>,
    /// Message; `None` for a kind that this version does not know.
    #[prost(
        oneof = "Message",
        tags = "10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25"
    )]
    pub body: Option<Message>,
}

impl Envelope {
    /// Encodes the envelope.
    pub fn to_bytes(&self) -> Vec<u8> {
        self.encode_to_vec()
    }

    /// Returns the bytes that the envelope takes.
    pub fn size(&self) -> usize {
        self.encoded_len()
    }

    /// Decodes an envelope; `None` when the bytes are not one.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        Self::decode(bytes).ok()
    }
}

/// What an instance has read of the log.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct LogEvidence {
    /// First offset of the control stream that it has not applied.
    #[prost(uint64, tag = "1")]
    pub next: u64,
    /// Milliseconds since its view was last confirmed; absent when it never was.
    #[prost(uint64, optional, tag = "2")]
    pub view_age_ms: Option<u64>,
    /// Milliseconds since it last reached the log itself, not through a peer.
    #[prost(uint64, optional, tag = "3")]
    pub log_contact_ms: Option<u64>,
}

/// What another member said of the log.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RelayedEvidence {
    /// Member.
    #[prost(string, tag = "1")]
    pub member: String,
    /// First offset that it has not applied.
    #[prost(uint64, tag = "2")]
    pub next: u64,
    /// Milliseconds since the exchange in which it said so began.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
    /// Milliseconds between its last confirmed contact and that exchange; absent without any.
    #[prost(uint64, optional, tag = "4")]
    pub view_age_ms: Option<u64>,
    /// The same for its last contact with the log itself.
    #[prost(uint64, optional, tag = "5")]
    pub log_contact_ms: Option<u64>,
}

/// Kinds of messages.
#[derive(Clone, PartialEq, Oneof)]
pub enum Message {
    /// Asks for an answer.
    #[prost(message, tag = "10")]
    Ping(Ping),
    /// Answers a ping.
    #[prost(message, tag = "11")]
    Ack(Ack),
    /// Asks the receiver to ping another member.
    #[prost(message, tag = "12")]
    PingFor(PingFor),
    /// Asks an organisation's holder for tokens.
    #[prost(message, tag = "13")]
    TokenRequest(TokenRequest),
    /// Lends tokens.
    #[prost(message, tag = "14")]
    TokenGrant(TokenGrant),
    /// Hands over a bucket.
    #[prost(message, tag = "15")]
    BucketState(BucketState),
    /// Tells a model's holder who waits.
    #[prost(message, tag = "16")]
    Demand(Demand),
    /// Asks a model's holder to unload an idle replica.
    #[prost(message, tag = "17")]
    Reclaim(Reclaim),
    /// Asks a claim shard's holder for an idempotency key.
    #[prost(message, tag = "18")]
    ClaimRequest(ClaimRequest),
    /// Answers a claim.
    #[prost(message, tag = "19")]
    ClaimReply(ClaimReply),
    /// Tells how a claimed attempt ended.
    #[prost(message, tag = "20")]
    ClaimFinish(ClaimFinish),
    /// Confirms that the end is recorded.
    #[prost(message, tag = "21")]
    ClaimFinishAck(ClaimFinishAck),
    /// Asks for records of the control stream.
    #[prost(message, tag = "22")]
    RecordsRequest(RecordsRequest),
    /// Passes records of the control stream on.
    #[prost(message, tag = "23")]
    RecordsReply(RecordsReply),
    /// Asks for a snapshot of the state.
    #[prost(message, tag = "24")]
    SnapshotRequest(SnapshotRequest),
    /// Piece of a snapshot.
    #[prost(message, tag = "25")]
    SnapshotChunk(SnapshotChunk),
}

/// Asks for an answer.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Ping {
    /// Number that the answer repeats.
    #[prost(uint64, tag = "1")]
    pub number: u64,
}

/// Answers a ping.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Ack {
    /// Number of the ping.
    #[prost(uint64, tag = "1")]
    pub number: u64,
}

/// Asks the receiver to ping another member.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PingFor {
    /// Number that the answer repeats.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Member to ping.
    #[prost(string, tag = "2")]
    pub target: String,
}

/// Tells a model's holder who waits and who runs.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Demand {
    /// One item for each model of that holder in use.
    #[prost(message, repeated, tag = "1")]
    pub items: Vec<DemandItem>,
}

/// Use of one model on one instance.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DemandItem {
    /// Model, or `model:adapter`.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Requests waiting.
    #[prost(uint32, tag = "2")]
    pub waiting: u32,
    /// Requests running.
    #[prost(uint32, tag = "3")]
    pub running: u32,
    /// Milliseconds until the earliest deadline among those waiting.
    #[prost(uint64, tag = "4")]
    pub slack_ms: u64,
}

/// Asks a model's holder to unload an idle replica.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Reclaim {
    /// Replica.
    #[prost(uint64, tag = "1")]
    pub replica: u64,
}

/// Asks for records of the control stream.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct RecordsRequest {
    /// First offset wanted.
    #[prost(uint64, tag = "1")]
    pub from: u64,
}

/// Passes records of the control stream on.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RecordsReply {
    /// Offset of the first record.
    #[prost(uint64, tag = "1")]
    pub first: u64,
    /// Records.
    #[prost(bytes = "vec", repeated, tag = "2")]
    pub records: Vec<Vec<u8>>,
}

/// Asks for a snapshot of the state.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct SnapshotRequest {}

/// Piece of a snapshot, in the form of a checkpoint chunk.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SnapshotChunk {
    /// Encoded `CheckpointChunk`.
    #[prost(bytes = "vec", tag = "1")]
    pub chunk: Vec<u8>,
}
