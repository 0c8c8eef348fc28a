//! Heartbeats between instances that discover each other through the platform's store.
//!
//! A heartbeat contains complete values rather than changes, so lost, late and duplicate heartbeats
//! are harmless: `incarnation` and `number` order the heartbeats of one instance.

use crate::crashes::{BlockedPartReport, CrashKnowledge};
use crate::permits::ServerLimit;

/// Number of one instance's requests in flight on one backend server.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ServerUse {
    /// Backend server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Requests in flight.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
    /// Prompt and generated tokens that they are expected to keep in memory; 0 if they aren't counted.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
}

/// Backend server that is much slower than others.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SlowServer {
    /// Backend server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Start of its process, in milliseconds since the epoch.
    #[prost(uint64, tag = "2")]
    pub started_ms: u64,
    /// How many times slower it is, in hundredths.
    #[prost(uint32, tag = "3")]
    pub hundredths: u32,
}

/// Process of a backend server that said in an answer that it leaves.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LeavingServer {
    /// Backend server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Start of its process, in milliseconds since the epoch.
    #[prost(uint64, tag = "2")]
    pub started_ms: u64,
}

/// Work of model engines for the recent requests of one instance to one service.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PromptWork {
    /// Service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Work for short prompts, in ms.
    #[prost(uint32, tag = "2")]
    pub short_ms: u32,
    /// Work for long prompts, in ms.
    #[prost(uint32, tag = "3")]
    pub long_ms: u32,
}

/// Tokens that one organisation spent at one instance.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Spending {
    /// Organisation.
    #[prost(string, tag = "1")]
    pub organisation: String,
    /// Tokens spent since the instance started, those included that were refunded later. Earlier builds
    /// take refunded tokens off, so that it may fall.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
    /// Tokens spent at all instances in the last window, as far as this instance knows.
    #[prost(uint64, tag = "3")]
    pub fleet_tokens: u64,
    /// Refunds of tokens that are still in the window; earlier builds ignore them and count too much.
    #[prost(message, repeated, tag = "4")]
    pub refunds: Vec<SpendingRefund>,
}

/// Tokens of one organisation that one instance charged within a part of the window and refunded later.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct SpendingRefund {
    /// Tokens that the instance had spent since its start before that part of the window.
    #[prost(uint64, tag = "1")]
    pub before: u64,
    /// Tokens refunded so far.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
}

/// Demand for one model or adapter at one instance.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ModelUse {
    /// Service that serves it.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Model.
    #[prost(string, tag = "2")]
    pub model: String,
    /// Adapter; empty for none.
    #[prost(string, tag = "3")]
    pub adapter: String,
    /// Requests queued for it.
    #[prost(uint32, tag = "4")]
    pub waiting: u32,
    /// Smoothed rate in requests per 1000 seconds.
    #[prost(uint32, tag = "5")]
    pub rate: u32,
    /// Milliseconds until the first queued request times out; 0 if none is queued.
    #[prost(uint32, tag = "6")]
    pub timeout_ms: u32,
    /// Smoothed number of concurrent requests, in thousandths; absent if the sender doesn't count
    /// them.
    #[prost(uint32, optional, tag = "7")]
    pub concurrent: Option<u32>,
    /// Requests that run now, by server.
    #[prost(message, repeated, tag = "8")]
    pub runs: Vec<ModelRun>,
}

/// Running requests of one instance for one model on one backend server.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ModelRun {
    /// Backend server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Running requests.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
    /// Milliseconds since the newest of them started.
    #[prost(uint32, tag = "3")]
    pub newest_ms: u32,
}

/// Model on one backend server with its adapters.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HeldModel {
    /// Model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Adapters.
    #[prost(string, repeated, tag = "2")]
    pub adapters: Vec<String>,
}

/// Models on one backend server, as known to the holder of the placement lease.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ServerInventory {
    /// Backend server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Start of its process, in milliseconds since the epoch.
    #[prost(uint64, tag = "2")]
    pub started_ms: u64,
    /// Number of orders that it has accepted.
    #[prost(uint64, tag = "3")]
    pub orders: u64,
    /// Models and adapters that are ready to run.
    #[prost(message, repeated, tag = "4")]
    pub models: Vec<HeldModel>,
    /// Model that it is loading; empty for none.
    #[prost(string, tag = "5")]
    pub loading: String,
    /// Milliseconds until that load is expected to complete.
    #[prost(uint32, tag = "6")]
    pub remaining_ms: u32,
    /// Model that is to be unloaded and gets no new requests that other servers can run; empty for
    /// none.
    #[prost(string, tag = "7")]
    pub leaving: String,
}

/// Server inventories, broadcast by the holder of the placement lease.
#[derive(Clone, PartialEq, prost::Message)]
pub struct InventoryUpdate {
    /// Fencing token of the placement lease.
    #[prost(uint64, tag = "1")]
    pub fence: u64,
    /// Whether the receiver must forward it to the other instances of its zone.
    #[prost(bool, tag = "2")]
    pub relay: bool,
    /// Inventories.
    #[prost(message, repeated, tag = "3")]
    pub servers: Vec<ServerInventory>,
}

/// Periodic report of an instance to all other instances.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// Instance.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Incarnation number of its process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Number of the heartbeat within the incarnation.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// Address for clients.
    #[prost(string, tag = "4")]
    pub address: String,
    /// Whether clients should be directed to it.
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
    /// Fencing token of the placement lease; 0 unless the sender holds the lease.
    #[prost(uint64, tag = "9")]
    pub fence: u64,
    /// Zone.
    #[prost(string, tag = "11")]
    pub zone: String,
    /// Limits of backend servers that changed recently.
    #[prost(message, repeated, tag = "12")]
    pub limits: Vec<ServerLimit>,
    /// Crashes of backend servers; absent if there is nothing to report.
    #[prost(message, optional, tag = "13")]
    pub crashes: Option<CrashKnowledge>,
    /// Services of which the sender reaches no server.
    #[prost(string, repeated, tag = "14")]
    pub unreachable: Vec<String>,
    /// Recent work for short and long prompts.
    #[prost(message, repeated, tag = "15")]
    pub work: Vec<PromptWork>,
    /// Servers that the sender observes to be slow.
    #[prost(message, repeated, tag = "16")]
    pub slow: Vec<SlowServer>,
    /// Whether the sender is stopping and still serves requests that other instances pass on.
    #[prost(bool, tag = "17")]
    pub stopping: bool,
    /// Whether the sender's fencing tokens follow the eras of the store; earlier builds don't send this.
    #[prost(bool, tag = "18")]
    pub knows_eras: bool,
    /// Servers that recently said to the sender that they leave; earlier builds ignore them.
    #[prost(message, repeated, tag = "19")]
    pub leaving: Vec<LeavingServer>,
}

/// Tokens that one organisation spent at all instances in the last window.
#[derive(Clone, PartialEq, prost::Message)]
pub struct OrganisationSpending {
    /// Organisation.
    #[prost(string, tag = "1")]
    pub organisation: String,
    /// Tokens per bucket of the sliding window, the newest last.
    #[prost(double, repeated, tag = "2")]
    pub buckets: Vec<f64>,
}

/// Tokens spent at all instances in the last window.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FleetSpending {
    /// Organisations that spent tokens.
    #[prost(message, repeated, tag = "1")]
    pub organisations: Vec<OrganisationSpending>,
}

/// What the fleet must not forget if all instances stop, saved in the store.
///
/// Field 1 is that of [`FleetSpending`], which earlier versions saved.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FleetState {
    /// Organisations that spent tokens in the last window.
    #[prost(message, repeated, tag = "1")]
    pub organisations: Vec<OrganisationSpending>,
    /// Quarantined parts of requests.
    #[prost(message, repeated, tag = "2")]
    pub blocked: Vec<BlockedPartReport>,
}
