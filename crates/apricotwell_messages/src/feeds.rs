//! Messages that share the store's feeds between instances, so that few of them read the store.
//!
//! A response states the age of the responder's view. The requester knows when it sent the query,
//! so lost, late and duplicate responses are harmless.

use crate::heartbeat::{Heartbeat, HeldModel, InventoryUpdate};
use crate::permits::{PermitRequest, PermitResponse};
use crate::software::{StreamAnswer, StreamNotice, StreamQuery, StreamReceipt};

/// Query for the changes on a feed after an offset.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FeedQuery {
    /// Number that the response repeats.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Whether the query is for the server list; otherwise it is for the configuration.
    #[prost(bool, tag = "2")]
    pub servers: bool,
    /// Offset up to which the requester knows the feed.
    #[prost(uint64, tag = "3")]
    pub from: u64,
}

/// Response to a [`FeedQuery`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct FeedResponse {
    /// Number of the query.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Whether the response contains all changes from the query's offset to `next`.
    #[prost(bool, tag = "2")]
    pub complete: bool,
    /// Offset up to which the responder knows the feed; if `more` is set, the offset up to which
    /// the response contains the changes.
    #[prost(uint64, tag = "3")]
    pub next: u64,
    /// Age of the responder's view in milliseconds, rounded up.
    #[prost(uint32, tag = "4")]
    pub age_ms: u32,
    /// Changes to the server list.
    #[prost(message, repeated, tag = "5")]
    pub servers: Vec<ServerChange>,
    /// Whether more changes remain for another query.
    #[prost(bool, tag = "6")]
    pub more: bool,
}

/// Change of one entry in the server list.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ServerChange {
    /// Server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// New entry; absent if the server was removed from the list.
    #[prost(message, optional, tag = "2")]
    pub entry: Option<ServerEntry>,
    /// Offset up to which the list is known with this change; 0 if the sender doesn't tell.
    #[prost(uint64, tag = "3")]
    pub offset: u64,
}

impl ServerChange {
    /// Returns the number of bytes that the change takes in a datagram.
    pub fn size(&self) -> usize {
        prost::Message::encoded_len(self)
    }
}

/// Entry of a server in the server list.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ServerEntry {
    /// Service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Address for requests and for load and unload orders.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Zone.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Maximum number of concurrent requests.
    #[prost(uint32, tag = "4")]
    pub slots: u32,
    /// Whether it takes no new work.
    #[prost(bool, tag = "5")]
    pub draining: bool,
    /// Milliseconds until it shuts down; absent if no shutdown was announced.
    #[prost(uint32, optional, tag = "6")]
    pub remaining_ms: Option<u32>,
    /// Start of its process, in milliseconds since the epoch.
    #[prost(uint64, tag = "7")]
    pub started_ms: u64,
    /// Number of orders that it has accepted; 0 if unknown.
    #[prost(uint64, tag = "8")]
    pub orders: u64,
    /// Models and adapters that are ready to run.
    #[prost(message, repeated, tag = "9")]
    pub models: Vec<HeldModel>,
    /// Models with weights in memory.
    #[prost(string, repeated, tag = "10")]
    pub in_memory: Vec<String>,
    /// Models with weights on disk.
    #[prost(string, repeated, tag = "11")]
    pub on_disk: Vec<String>,
    /// Milliseconds for which it can handle only few requests.
    #[prost(uint32, tag = "12")]
    pub cold_left_ms: u32,
    /// Version of its software; absent if it is unknown, as from instances of earlier builds.
    #[prost(string, optional, tag = "13")]
    pub software: Option<String>,
    /// Number of the entry, which rises with each one that the process writes; absent if it is unknown, as
    /// from instances of earlier builds.
    #[prost(uint64, optional, tag = "14")]
    pub number: Option<u64>,
}

/// Question whether an instance responds, or the response to it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Liveness {
    /// Number of the question, which the response repeats.
    #[prost(uint64, tag = "1")]
    pub number: u64,
}

/// Datagram between instances; exactly one field is set.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Datagram {
    /// Heartbeat.
    #[prost(message, optional, tag = "1")]
    pub heartbeat: Option<Heartbeat>,
    /// Query about a feed.
    #[prost(message, optional, tag = "2")]
    pub query: Option<FeedQuery>,
    /// Response to such a query.
    #[prost(message, optional, tag = "3")]
    pub response: Option<FeedResponse>,
    /// Inventories of backend servers.
    #[prost(message, optional, tag = "4")]
    pub inventory: Option<InventoryUpdate>,
    /// Request for a permit to send to a limited server.
    #[prost(message, optional, tag = "5")]
    pub permit_request: Option<PermitRequest>,
    /// Response to such a request.
    #[prost(message, optional, tag = "6")]
    pub permit_response: Option<PermitResponse>,
    /// Question whether the receiver responds.
    #[prost(message, optional, tag = "7")]
    pub liveness_query: Option<Liveness>,
    /// Response to such a question, with its number.
    #[prost(message, optional, tag = "8")]
    pub liveness_response: Option<Liveness>,
    /// Question at which versions streams began.
    #[prost(message, optional, tag = "9")]
    pub stream_query: Option<StreamQuery>,
    /// Answer to such a question.
    #[prost(message, optional, tag = "10")]
    pub stream_answer: Option<StreamAnswer>,
    /// Notice of streams that are about to be delivered.
    #[prost(message, optional, tag = "11")]
    pub stream_notice: Option<StreamNotice>,
    /// Receipt of such a notice.
    #[prost(message, optional, tag = "12")]
    pub stream_receipt: Option<StreamReceipt>,
}
