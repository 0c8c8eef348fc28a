//! Copies of claims of the placement lease.

/// Record of the store: what a claim says, which is needed for longer than the claim's own record is retained.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ClaimCopyRecord {
    /// Member of the group that claimed the lease.
    #[prost(string, tag = "1")]
    pub holder: String,
    /// Era of the store; absent if it names none.
    #[prost(uint64, optional, tag = "2")]
    pub era: Option<u64>,
    /// Fencing token; absent if the store names no era.
    #[prost(uint64, optional, tag = "3")]
    pub fence: Option<u64>,
    /// Whether the holder waits before its first order.
    #[prost(bool, tag = "4")]
    pub waits: bool,
    /// Offset of the claim's own record.
    #[prost(uint64, tag = "5")]
    pub offset: u64,
}
