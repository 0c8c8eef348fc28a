//! The envelope and the kinds of messages.

use prost::{Message as _, Oneof};

use crate::claims::{ClaimFinish, ClaimFinishAck, ClaimReply, ClaimRequest};
use crate::crashes::CrashKnowledge;
use crate::member_update::MemberUpdate;
use crate::permits::{PermitRequest, PermitResponse};
use crate::tokens::{BucketState, TokenGrant, TokenRequest};

/// Envelope around each message.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Envelope {
    /// Membership state of the sender.
    #[prost(message, optional, tag = "1")]
    pub sender: Option<MemberUpdate>,
    /// Updates about other members.
    #[prost(message, repeated, tag = "2")]
    pub updates: Vec<MemberUpdate>,
    /// Sender's view of the log.
    #[prost(message, optional, tag = "3")]
    pub evidence: Option<LogEvidence>,
    /// Other members' views of the log; sent only with replies to pings.
    #[prost(message, repeated, tag = "4")]
    pub relayed: Vec<RelayedEvidence>,
    /// Message; `None` for a kind that this version does not know.
    #[prost(
        oneof = "Message",
        tags = "10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26, 27, 28"
    )]
    pub body: Option<Message>,
}

impl Envelope {
    /// Encodes the envelope.
    pub fn to_bytes(&self) -> Vec<u8> {
        self.encode_to_vec()
    }

    /// Returns the encoded size in bytes.
    pub fn size(&self) -> usize {
        self.encoded_len()
    }

    /// Decodes an envelope; `None` when the bytes are not one.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        Self::decode(bytes).ok()
    }
}

/// How far an instance has read the log, and how recently.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct LogEvidence {
    /// First offset of the control stream that it has not applied.
    #[prost(uint64, tag = "1")]
    pub next: u64,
    /// Milliseconds since its view was last confirmed; absent if it never was.
    #[prost(uint64, optional, tag = "2")]
    pub view_age_ms: Option<u64>,
    /// Milliseconds since it last reached the log directly, not through a peer; absent if it never
    /// did.
    #[prost(uint64, optional, tag = "3")]
    pub log_contact_ms: Option<u64>,
}

/// View of the log that another member reported to the sender.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RelayedEvidence {
    /// Member.
    #[prost(string, tag = "1")]
    pub member: String,
    /// First offset of the control stream that the member has not applied.
    #[prost(uint64, tag = "2")]
    pub next: u64,
    /// Milliseconds since the start of the exchange in which the member reported it.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
    /// Milliseconds from the last confirmation of the member's view to that exchange; absent if
    /// there was none.
    #[prost(uint64, optional, tag = "4")]
    pub view_age_ms: Option<u64>,
    /// Milliseconds from its last direct contact with the log to that exchange; absent if there was
    /// none.
    #[prost(uint64, optional, tag = "5")]
    pub log_contact_ms: Option<u64>,
}

/// Content of a message.
#[derive(Clone, PartialEq, Oneof)]
pub enum Message {
    /// Probes the receiver.
    #[prost(message, tag = "10")]
    Ping(Ping),
    /// Acknowledges a ping.
    #[prost(message, tag = "11")]
    Ack(Ack),
    /// Asks the receiver to ping another member.
    #[prost(message, tag = "12")]
    PingFor(PingFor),
    /// Requests tokens from an organisation's lease holder.
    #[prost(message, tag = "13")]
    TokenRequest(TokenRequest),
    /// Grants tokens.
    #[prost(message, tag = "14")]
    TokenGrant(TokenGrant),
    /// Transfers a token bucket to the next lease holder.
    #[prost(message, tag = "15")]
    BucketState(BucketState),
    /// Reports demand to a model's lease holder.
    #[prost(message, tag = "16")]
    Demand(Demand),
    /// Asks a model's lease holder to unload an idle replica.
    #[prost(message, tag = "17")]
    Reclaim(Reclaim),
    /// Requests an idempotency key from a claim shard's lease holder.
    #[prost(message, tag = "18")]
    ClaimRequest(ClaimRequest),
    /// Replies to a claim request.
    #[prost(message, tag = "19")]
    ClaimReply(ClaimReply),
    /// Reports the outcome of a claimed attempt.
    #[prost(message, tag = "20")]
    ClaimFinish(ClaimFinish),
    /// Confirms that the outcome is recorded.
    #[prost(message, tag = "21")]
    ClaimFinishAck(ClaimFinishAck),
    /// Requests records of the control stream.
    #[prost(message, tag = "22")]
    RecordsRequest(RecordsRequest),
    /// Returns records of the control stream.
    #[prost(message, tag = "23")]
    RecordsReply(RecordsReply),
    /// Requests a snapshot of the state.
    #[prost(message, tag = "24")]
    SnapshotRequest(SnapshotRequest),
    /// Chunk of a snapshot.
    #[prost(message, tag = "25")]
    SnapshotChunk(SnapshotChunk),
    /// Requests a permit to send to a limited server.
    #[prost(message, tag = "26")]
    PermitRequest(PermitRequest),
    /// Grants or refuses a permit.
    #[prost(message, tag = "27")]
    PermitResponse(PermitResponse),
    /// Tells what the sender knows of crashes.
    #[prost(message, tag = "28")]
    Crashes(CrashKnowledge),
}

/// Probes the receiver, which replies with an [`Ack`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Ping {
    /// Number that the reply repeats.
    #[prost(uint64, tag = "1")]
    pub number: u64,
}

/// Acknowledges a ping.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Ack {
    /// Number of the ping.
    #[prost(uint64, tag = "1")]
    pub number: u64,
}

/// Asks the receiver to ping another member.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PingFor {
    /// Number that the reply repeats.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Member to ping.
    #[prost(string, tag = "2")]
    pub target: String,
}

/// Reports demand to a model's lease holder.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Demand {
    /// One item for each model of that holder that is in use.
    #[prost(message, repeated, tag = "1")]
    pub items: Vec<DemandItem>,
}

/// Demand for one model at one instance.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DemandItem {
    /// Model, or `model:adapter`.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Queued requests.
    #[prost(uint32, tag = "2")]
    pub waiting: u32,
    /// Running requests.
    #[prost(uint32, tag = "3")]
    pub running: u32,
    /// Milliseconds until the earliest deadline of the queued requests.
    #[prost(uint64, tag = "4")]
    pub slack_ms: u64,
}

/// Asks a model's lease holder to unload an idle replica.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Reclaim {
    /// Replica.
    #[prost(uint64, tag = "1")]
    pub replica: u64,
}

/// Requests records of the control stream.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct RecordsRequest {
    /// First requested offset.
    #[prost(uint64, tag = "1")]
    pub from: u64,
}

/// Returns records of the control stream.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RecordsReply {
    /// Offset of the first record.
    #[prost(uint64, tag = "1")]
    pub first: u64,
    /// Records.
    #[prost(bytes = "vec", repeated, tag = "2")]
    pub records: Vec<Vec<u8>>,
}

/// Requests a snapshot of the state.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct SnapshotRequest {}

/// Chunk of a snapshot, encoded like a checkpoint chunk.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SnapshotChunk {
    /// Encoded `CheckpointChunk`.
    #[prost(bytes = "vec", tag = "1")]
    pub chunk: Vec<u8>,
}
