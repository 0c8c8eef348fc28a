//! Records of the control stream.

use prost::{Message, Oneof};

/// Envelope of each record on the control stream.
///
/// # Invariants
///
/// A writer numbers its records from 1 without gaps and appends them in order, so a reader drops a
/// record whose number it has seen from the same incarnation.
#[derive(Clone, PartialEq, Message)]
pub struct Record {
    /// Instance or operator that wrote the record.
    #[prost(string, tag = "1")]
    pub writer: String,
    /// Start number of the writer.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Number of the record within the incarnation; 0 for operators.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// What is recorded; `None` for a kind that this version does not know.
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

/// Kinds of records.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// Change of configuration by an operator.
    #[prost(message, tag = "10")]
    PutConfig(PutConfig),
    /// Lease on duty shards.
    #[prost(message, tag = "11")]
    AcquireLeases(AcquireLeases),
    /// Decision to load a replica.
    #[prost(message, tag = "12")]
    DecideLoad(DecideLoad),
    /// Decision to unload a replica.
    #[prost(message, tag = "13")]
    RetireReplica(RetireReplica),
    /// Known outcome of a load or an unload.
    #[prost(message, tag = "14")]
    SettleReplica(SettleReplica),
    /// Start of a backend server.
    #[prost(message, tag = "15")]
    ServerUp(ServerUp),
    /// End of a backend server.
    #[prost(message, tag = "16")]
    ServerGone(ServerGone),
    /// Crash of a backend server that ran a request.
    #[prost(message, tag = "17")]
    CrashSuspect(CrashSuspect),
}

/// Change of one configuration value, decided at a version.
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
    /// Random number that names the change.
    #[prost(uint64, tag = "4")]
    pub change: u64,
    /// Ed25519 signature by the operator named as the record's writer.
    #[prost(bytes = "vec", tag = "5")]
    pub signature: Vec<u8>,
}

/// Lease on duty shards, decided at their present fences.
#[derive(Clone, PartialEq, Message)]
pub struct AcquireLeases {
    /// Shards taken.
    #[prost(uint32, repeated, tag = "1")]
    pub shards: Vec<u32>,
    /// Present fence of each shard, in the same order; 0 for a shard never held.
    #[prost(uint64, repeated, tag = "2")]
    pub fences: Vec<u64>,
    /// New holder.
    #[prost(string, tag = "3")]
    pub holder: String,
    /// Start number of the new holder.
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
    /// Backend server that shall load it.
    #[prost(string, tag = "3")]
    pub server: String,
    /// Start number of the backend server.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Fence of the model's shard.
    #[prost(uint64, tag = "5")]
    pub fence: u64,
}

/// Decision to unload one replica.
#[derive(Clone, PartialEq, Message)]
pub struct RetireReplica {
    /// Replica.
    #[prost(uint64, tag = "1")]
    pub replica: u64,
    /// Fence of the model's shard.
    #[prost(uint64, tag = "2")]
    pub fence: u64,
}

/// Known outcome of a load or an unload.
#[derive(Clone, PartialEq, Message)]
pub struct SettleReplica {
    /// Replica.
    #[prost(uint64, tag = "1")]
    pub replica: u64,
    /// Fence of the model's shard.
    #[prost(uint64, tag = "2")]
    pub fence: u64,
    /// Outcome.
    #[prost(enumeration = "SettleOutcome", tag = "3")]
    pub outcome: i32,
}

/// Outcome of a load or an unload, as the backend server confirmed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum SettleOutcome {
    /// Not one of the outcomes that this version knows.
    Unspecified = 0,
    /// The replica is loaded.
    Loaded = 1,
    /// The replica is not loaded and its load order can no longer take effect.
    Absent = 2,
}

/// Start of a backend server.
#[derive(Clone, PartialEq, Message)]
pub struct ServerUp {
    /// Backend server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Start number; a higher one ends what the lower one had loaded.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Pool in the configuration that gives its kind, memory and slots.
    #[prost(string, tag = "3")]
    pub pool: String,
    /// Address as `ip:port`.
    #[prost(string, tag = "4")]
    pub address: String,
    /// Availability zone.
    #[prost(string, tag = "5")]
    pub zone: String,
    /// Whether it takes no new work.
    #[prost(bool, tag = "6")]
    pub leaving: bool,
}

/// End of a backend server.
#[derive(Clone, PartialEq, Message)]
pub struct ServerGone {
    /// Backend server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Start number that ended.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

/// Crash of a backend server that ran a request.
#[derive(Clone, PartialEq, Message)]
pub struct CrashSuspect {
    /// Digest of the organisation and the body.
    #[prost(bytes = "vec", tag = "1")]
    pub digest: Vec<u8>,
}

/// Piece of a checkpoint on the checkpoint stream.
#[derive(Clone, PartialEq, Message)]
pub struct CheckpointChunk {
    /// Control offset up to which the checkpoint holds, exclusive.
    #[prost(uint64, tag = "1")]
    pub offset: u64,
    /// Writer and start number, so that competing checkpoints do not mix.
    #[prost(string, tag = "2")]
    pub writer: String,
    /// Start number of the writer.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Index of this chunk.
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
