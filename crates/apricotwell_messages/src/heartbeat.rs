//! Heartbeats between instances that find each other through the platform's store.
//!
//! A heartbeat states a whole view rather than a change, so lost, late and repeated ones are
//! harmless: `incarnation` and `number` order the heartbeats of one instance.

/// Requests of one instance in flight on one backend server.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ServerUse {
    /// Backend server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Requests in flight.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
}

/// Tokens of one organisation spent at one instance.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Spending {
    /// Organisation.
    #[prost(string, tag = "1")]
    pub organisation: String,
    /// Tokens spent since the instance's start.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
    /// Tokens that the whole fleet spent in the last window, as far as the instance knows.
    #[prost(uint64, tag = "3")]
    pub fleet_tokens: u64,
}

/// Demand for one model or adapter at one instance.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ModelUse {
    /// Service that runs it.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Model.
    #[prost(string, tag = "2")]
    pub model: String,
    /// Adapter; empty for none.
    #[prost(string, tag = "3")]
    pub adapter: String,
    /// Requests that wait for it.
    #[prost(uint32, tag = "4")]
    pub waiting: u32,
    /// Requests in a thousand seconds, smoothed.
    #[prost(uint32, tag = "5")]
    pub rate: u32,
    /// Milliseconds until the first waiting caller gives up.
    #[prost(uint32, tag = "6")]
    pub timeout_ms: u32,
}

/// Models held by one backend server.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HeldModel {
    /// Model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Adapters.
    #[prost(string, repeated, tag = "2")]
    pub adapters: Vec<String>,
}

/// What one backend server holds, as the holder of the placement lease knows it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ServerInventory {
    /// Backend server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Start of its process, in milliseconds since the epoch.
    #[prost(uint64, tag = "2")]
    pub started_ms: u64,
    /// Orders that it had accepted.
    #[prost(uint64, tag = "3")]
    pub orders: u64,
    /// Models that it can run.
    #[prost(message, repeated, tag = "4")]
    pub models: Vec<HeldModel>,
    /// Model that it loads; empty for none.
    #[prost(string, tag = "5")]
    pub loading: String,
    /// Milliseconds until that load ends.
    #[prost(uint32, tag = "6")]
    pub remaining_ms: u32,
}

/// What the holder of the placement lease tells of servers.
#[derive(Clone, PartialEq, prost::Message)]
pub struct InventoryUpdate {
    /// Fence under which it orders them.
    #[prost(uint64, tag = "1")]
    pub fence: u64,
    /// Whether the receiver is to pass it on to the other instances of its zone.
    #[prost(bool, tag = "2")]
    pub relay: bool,
    /// What servers hold.
    #[prost(message, repeated, tag = "3")]
    pub servers: Vec<ServerInventory>,
}

/// What an instance tells the others.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// Instance.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Start number of its process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Number of the heartbeat within the incarnation.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// Address for callers.
    #[prost(string, tag = "4")]
    pub address: String,
    /// Whether callers should be sent there.
    #[prost(bool, tag = "5")]
    pub ready: bool,
    /// Requests in flight.
    #[prost(message, repeated, tag = "6")]
    pub servers: Vec<ServerUse>,
    /// Tokens spent.
    #[prost(message, repeated, tag = "7")]
    pub spending: Vec<Spending>,
    /// Demand for models.
    #[prost(message, repeated, tag = "8")]
    pub models: Vec<ModelUse>,
    /// Fence of the placement lease, 0 unless the sender holds it.
    #[prost(uint64, tag = "9")]
    pub fence: u64,
    /// Zone.
    #[prost(string, tag = "11")]
    pub zone: String,
}

/// What one organisation spent in the last window, over the whole fleet.
#[derive(Clone, PartialEq, prost::Message)]
pub struct OrganisationSpending {
    /// Organisation.
    #[prost(string, tag = "1")]
    pub organisation: String,
    /// Tokens by span of the window, the newest last.
    #[prost(double, repeated, tag = "2")]
    pub buckets: Vec<f64>,
}

/// What the fleet spent in the last window, kept in the store for instances that start.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FleetSpending {
    /// Organisations that spent anything.
    #[prost(message, repeated, tag = "1")]
    pub organisations: Vec<OrganisationSpending>,
}
