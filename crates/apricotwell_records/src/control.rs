//! Records of the control stream.

use prost::{Message, Oneof};

/// Envelope of each record on the control stream.
///
/// # Invariants
///
/// A writer numbers the records of each incarnation from 1 without gaps and appends them in order.
/// Readers drop a record whose number they have already seen from the same incarnation.
#[derive(Clone, PartialEq, Message)]
pub struct Record {
    /// Instance or operator that wrote the record.
    #[prost(string, tag = "1")]
    pub writer: String,
    /// Incarnation number of the writer.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Sequence number of the record within the incarnation; 0 for operators.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Content; `None` for a kind that this version does not know.
    #[prost(oneof = "Body", tags = "10, 11, 12, 13, 14, 15, 16, 17")]
    pub body: Option<Body>,
}

impl Record {
    /// Returns a record.
    pub fn new(writer: &str, incarnation: u64, sequence: u64, body: Body) -> Self {
        Self {
            writer: writer.to_owned(),
            incarnation,
            sequence,
            body: Some(body),
        }
    }

    /// Encodes the record.
    pub fn to_bytes(&self) -> Vec<u8> {
        self.encode_to_vec()
    }

    /// Decodes a record; `None` when the bytes are not one.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        Self::decode(bytes).ok()
    }
}

/// Content of a record.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// Configuration change by an operator.
    #[prost(message, tag = "10")]
    PutConfig(PutConfig),
    /// Acquisition of leases on shards.
    #[prost(message, tag = "11")]
    AcquireLeases(AcquireLeases),
    /// Decision to load a replica.
    #[prost(message, tag = "12")]
    DecideLoad(DecideLoad),
    /// Decision to unload a replica.
    #[prost(message, tag = "13")]
    RetireReplica(RetireReplica),
    /// Confirmed outcome of a load or an unload.
    #[prost(message, tag = "14")]
    SettleReplica(SettleReplica),
    /// Start of a backend server, or a change of its data.
    #[prost(message, tag = "15")]
    ServerUp(ServerUp),
    /// End of a backend server.
    #[prost(message, tag = "16")]
    ServerGone(ServerGone),
    /// Crash of a backend server while it ran a request.
    #[prost(message, tag = "17")]
    CrashSuspect(CrashSuspect),
}

/// Change of one configuration value, conditional on its current version.
#[derive(Clone, PartialEq, Message)]
pub struct PutConfig {
    /// Path, such as `/teams/hadegisbru/keys/kitchen`.
    #[prost(string, tag = "1")]
    pub path: String,
    /// Offset of the change that this one replaces; 0 when the path has no value.
    #[prost(uint64, tag = "2")]
    pub expected: u64,
    /// TOML text of the value; absent to delete it.
    #[prost(string, optional, tag = "3")]
    pub value: Option<String>,
    /// Random number that identifies the change.
    #[prost(uint64, tag = "4")]
    pub change: u64,
    /// Ed25519 signature by the operator named as the record's writer.
    #[prost(bytes = "vec", tag = "5")]
    pub signature: Vec<u8>,
}

/// Acquisition of leases on shards, conditional on their current fencing tokens.
#[derive(Clone, PartialEq, Message)]
pub struct AcquireLeases {
    /// Shards to acquire.
    #[prost(uint32, repeated, tag = "1")]
    pub shards: Vec<u32>,
    /// Current fencing token of each shard, in the same order; 0 if the shard was never leased.
    #[prost(uint64, repeated, tag = "2")]
    pub fences: Vec<u64>,
    /// New holder.
    #[prost(string, tag = "3")]
    pub holder: String,
    /// Incarnation number of the new holder.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
}

/// Decision to load one replica; its offset becomes the replica's id.
#[derive(Clone, PartialEq, Message)]
pub struct DecideLoad {
    /// Model, or `model:adapter`.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Version of the weights.
    #[prost(string, tag = "2")]
    pub version: String,
    /// Backend server that is to load it.
    #[prost(string, tag = "3")]
    pub server: String,
    /// Incarnation number of the backend server.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Fencing token of the model's shard.
    #[prost(uint64, tag = "5")]
    pub fence: u64,
}

/// Decision to unload one replica.
#[derive(Clone, PartialEq, Message)]
pub struct RetireReplica {
    /// Replica.
    #[prost(uint64, tag = "1")]
    pub replica: u64,
    /// Fencing token of the model's shard.
    #[prost(uint64, tag = "2")]
    pub fence: u64,
}

/// Confirmed outcome of a load or an unload.
#[derive(Clone, PartialEq, Message)]
pub struct SettleReplica {
    /// Replica.
    #[prost(uint64, tag = "1")]
    pub replica: u64,
    /// Fencing token of the model's shard.
    #[prost(uint64, tag = "2")]
    pub fence: u64,
    /// Outcome.
    #[prost(enumeration = "SettleOutcome", tag = "3")]
    pub outcome: i32,
}

/// Outcome of a load or an unload, as confirmed by the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum SettleOutcome {
    /// Unset or unknown to this version.
    Unspecified = 0,
    /// The replica is loaded.
    Loaded = 1,
    /// The replica is not loaded, and its load order can no longer take effect.
    Absent = 2,
}

/// Start of a backend server, or a change of its data.
#[derive(Clone, PartialEq, Message)]
pub struct ServerUp {
    /// Backend server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Incarnation number of its process; a higher one discards what the lower one had loaded.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Configured pool, which defines its kind, memory and slots.
    #[prost(string, tag = "3")]
    pub pool: String,
    /// Address as `ip:port`.
    #[prost(string, tag = "4")]
    pub address: String,
    /// Availability zone.
    #[prost(string, tag = "5")]
    pub zone: String,
    /// Whether it drains and takes no new work.
    #[prost(bool, tag = "6")]
    pub leaving: bool,
}

/// End of a backend server.
#[derive(Clone, PartialEq, Message)]
pub struct ServerGone {
    /// Backend server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Incarnation number of the process that ended.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

/// Crash of a backend server while it ran a request.
#[derive(Clone, PartialEq, Message)]
pub struct CrashSuspect {
    /// Digest of the organisation and the body.
    #[prost(bytes = "vec", tag = "1")]
    pub digest: Vec<u8>,
}

/// Chunk of a checkpoint on the checkpoint stream.
#[derive(Clone, PartialEq, Message)]
pub struct CheckpointChunk {
    /// First offset of the control stream that the checkpoint does not include.
    #[prost(uint64, tag = "1")]
    pub offset: u64,
    /// Writer; with its incarnation number it keeps the chunks of concurrent checkpoints apart.
    #[prost(string, tag = "2")]
    pub writer: String,
    /// Incarnation number of the writer.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Index of this chunk, from 0.
    #[prost(uint32, tag = "4")]
    pub index: u32,
    /// Number of chunks.
    #[prost(uint32, tag = "5")]
    pub total: u32,
    /// SHA-256 of the whole checkpoint.
    #[prost(bytes = "vec", tag = "6")]
    pub checksum: Vec<u8>,
    /// Bytes of this chunk.
    #[prost(bytes = "vec", tag = "7")]
    pub bytes: Vec<u8>,
}
