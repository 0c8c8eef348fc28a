//! Ends of backend servers and the parts of requests that cause them.
//!
//! Reports state ages rather than times, and complete values rather than changes, so lost, late and
//! duplicate reports are harmless.

/// Parts of one request, the most general one first.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RequestParts {
    /// Ids of the parts.
    #[prost(fixed64, repeated, tag = "1")]
    pub ids: Vec<u64>,
    /// Milliseconds from its sending to the end of the server.
    #[prost(uint32, tag = "2")]
    pub sent_ms: u32,
    /// Whether its instance sent it again after another server had ended.
    #[prost(bool, tag = "3")]
    pub is_retry: bool,
}

/// End of a server.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CrashReport {
    /// Server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Milliseconds since its end.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
    /// Start of its process, in milliseconds since the epoch.
    #[prost(uint64, tag = "4")]
    pub started_ms: u64,
    /// Requests of the sender that it was beginning to answer.
    #[prost(message, repeated, tag = "3")]
    pub requests: Vec<RequestParts>,
}

/// Part that a server began to answer without a crash.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SoundPartReport {
    /// Id of the part.
    #[prost(fixed64, tag = "1")]
    pub part: u64,
    /// Milliseconds since the answer began.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
}

/// Quarantined part.
#[derive(Clone, PartialEq, prost::Message)]
pub struct BlockedPartReport {
    /// Id of the part.
    #[prost(fixed64, tag = "1")]
    pub part: u64,
    /// Milliseconds since the last crash under it.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
    /// Number of trials since it was quarantined.
    #[prost(uint32, tag = "3")]
    pub trials: u32,
    /// Separate crashes that convicted it.
    #[prost(uint32, tag = "4")]
    pub counted: u32,
    /// Milliseconds since its last trial, if there was one.
    #[prost(uint32, optional, tag = "5")]
    pub tried_ms: Option<u32>,
}

/// What one instance knows of crashes.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CrashKnowledge {
    /// Crashes that it saw recently.
    #[prost(message, repeated, tag = "1")]
    pub crashes: Vec<CrashReport>,
    /// Suspected parts that were sound since.
    #[prost(message, repeated, tag = "2")]
    pub sound: Vec<SoundPartReport>,
    /// Quarantined parts.
    #[prost(message, repeated, tag = "3")]
    pub blocked: Vec<BlockedPartReport>,
}
