//! What instances tell each other of the store's feeds, so that few of them have to read it.
//!
//! An answer states how old the answering instance's view is. As the asking instance knows when it
//! asked, lost, late and repeated answers are harmless.

use crate::heartbeat::{Heartbeat, HeldModel, InventoryUpdate};

/// Question what came on a feed after an offset.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FeedQuery {
    /// Number that the answer repeats.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Whether the list of servers is asked for, otherwise the configuration.
    #[prost(bool, tag = "2")]
    pub servers: bool,
    /// Offset up to which the asking instance knows the feed.
    #[prost(uint64, tag = "3")]
    pub from: u64,
}

/// Answer to a question about a feed.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FeedResponse {
    /// Number of the question.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Whether the answer brings all that came between the two offsets.
    #[prost(bool, tag = "2")]
    pub complete: bool,
    /// Offset up to which the answering instance knows the feed.
    #[prost(uint64, tag = "3")]
    pub next: u64,
    /// Milliseconds since it knew that nothing came after that offset.
    #[prost(uint32, tag = "4")]
    pub age_ms: u32,
    /// Changes of the list of servers.
    #[prost(message, repeated, tag = "5")]
    pub servers: Vec<ServerChange>,
    /// Whether more changes are left for a further question.
    #[prost(bool, tag = "6")]
    pub more: bool,
}

/// Change of one server's entry in the list.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ServerChange {
    /// Server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Entry; missing if the server left the list.
    #[prost(message, optional, tag = "2")]
    pub entry: Option<ServerEntry>,
}

/// Entry of a server in the list.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ServerEntry {
    /// Service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Address for requests and orders.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Zone.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Requests that it runs at once.
    #[prost(uint32, tag = "4")]
    pub slots: u32,
    /// Whether it takes no new work.
    #[prost(bool, tag = "5")]
    pub draining: bool,
    /// Milliseconds until it is gone, if it was given notice.
    #[prost(uint32, optional, tag = "6")]
    pub remaining_ms: Option<u32>,
    /// Start of its process, in milliseconds since the epoch.
    #[prost(uint64, tag = "7")]
    pub started_ms: u64,
    /// Orders that it had accepted, 0 where that isn't known.
    #[prost(uint64, tag = "8")]
    pub orders: u64,
    /// Models that it can run.
    #[prost(message, repeated, tag = "9")]
    pub models: Vec<HeldModel>,
    /// Models whose weights it has in memory.
    #[prost(string, repeated, tag = "10")]
    pub in_memory: Vec<String>,
    /// Models whose weights it has on disk.
    #[prost(string, repeated, tag = "11")]
    pub on_disk: Vec<String>,
}

/// Datagram between instances; one part of it is set.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Datagram {
    /// Heartbeat.
    #[prost(message, optional, tag = "1")]
    pub heartbeat: Option<Heartbeat>,
    /// Question about a feed.
    #[prost(message, optional, tag = "2")]
    pub query: Option<FeedQuery>,
    /// Answer to one.
    #[prost(message, optional, tag = "3")]
    pub response: Option<FeedResponse>,
    /// What servers hold.
    #[prost(message, optional, tag = "4")]
    pub inventory: Option<InventoryUpdate>,
}
