//! Limits that backend servers name for all instances together, and permits to send within them.
//!
//! A lost or late message loses a permit, never makes one: each is for one request and expires.

/// What a backend server last said about its limit.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ServerLimit {
    /// Backend server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Requests per second that it accepts from all instances together; absent if it has no limit.
    #[prost(double, optional, tag = "2")]
    pub rate: Option<f64>,
    /// Milliseconds since it said so.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
    /// Requests per second that it accepts while it is cold; absent if it is warm.
    #[prost(double, optional, tag = "4")]
    pub cold_rate: Option<f64>,
    /// Milliseconds for which it is cold.
    #[prost(uint32, tag = "5")]
    pub cold_ms: u32,
}

/// Request for a permit to send one request to a limited server.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PermitRequest {
    /// Number that the response repeats; unique for each address of an instance.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Limit as the requester knows it.
    #[prost(message, required, tag = "2")]
    pub limit: ServerLimit,
}

/// Response to a [`PermitRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct PermitResponse {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Limit as the responder knows it.
    #[prost(message, required, tag = "2")]
    pub limit: ServerLimit,
    /// Whether the permit is granted.
    #[prost(bool, tag = "3")]
    pub granted: bool,
    /// Milliseconds after which to ask again, if it is not.
    #[prost(uint32, tag = "4")]
    pub retry_ms: u32,
}
