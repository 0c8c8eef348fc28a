//! Messages on token rates.

use apricotwell_limits::EscrowReport;

/// Asks an organisation's holder for tokens and reports what happened to earlier ones.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TokenRequest {
    /// Organisation.
    #[prost(string, tag = "1")]
    pub org: String,
    /// Number that the answer repeats.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Tokens wanted; 0 for a mere report.
    #[prost(uint64, tag = "3")]
    pub requested: u64,
    /// Fence of the holder's lease; the report speaks of grants under it.
    #[prost(uint64, tag = "4")]
    pub session: u64,
    /// Tokens left in each grant.
    #[prost(message, repeated, tag = "5")]
    pub remaining: Vec<GrantBalance>,
    /// Grants given back.
    #[prost(uint64, repeated, tag = "6")]
    pub returned: Vec<u64>,
    /// Tokens reserved by all finished requests of the session.
    #[prost(uint64, tag = "7")]
    pub settled: u64,
    /// Of these, tokens that were not used.
    #[prost(uint64, tag = "8")]
    pub refunded: u64,
}

/// Tokens left in a grant.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct GrantBalance {
    /// Grant.
    #[prost(uint64, tag = "1")]
    pub grant: u64,
    /// Tokens.
    #[prost(uint64, tag = "2")]
    pub remaining: u64,
}

impl TokenRequest {
    /// Returns an ask with a report.
    pub fn new(org: &str, number: u64, requested: u64, report: EscrowReport) -> Self {
        let remaining = report.remaining.into_iter();
        Self {
            org: org.to_owned(),
            number,
            requested,
            session: report.session,
            remaining: remaining
                .map(|(grant, remaining)| GrantBalance { grant, remaining })
                .collect(),
            returned: report.returned,
            settled: report.settled,
            refunded: report.refunded,
        }
    }

    /// Returns the report.
    pub fn report(&self) -> EscrowReport {
        EscrowReport {
            session: self.session,
            remaining: self
                .remaining
                .iter()
                .map(|item| (item.grant, item.remaining))
                .collect(),
            returned: self.returned.clone(),
            settled: self.settled,
            refunded: self.refunded,
        }
    }
}

/// Lends tokens.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TokenGrant {
    /// Organisation.
    #[prost(string, tag = "1")]
    pub org: String,
    /// Number of the ask.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Fence of the holder's lease.
    #[prost(uint64, tag = "3")]
    pub session: u64,
    /// Grant.
    #[prost(uint64, tag = "4")]
    pub grant: u64,
    /// Tokens lent; 0 when there are none.
    #[prost(uint64, tag = "5")]
    pub amount: u64,
    /// Term of the grant in milliseconds.
    #[prost(uint64, tag = "6")]
    pub term_ms: u64,
    /// Milliseconds until the rest can be lent.
    #[prost(uint64, tag = "7")]
    pub wait_ms: u64,
}

/// Hands over a bucket.
#[derive(Clone, PartialEq, prost::Message)]
pub struct BucketState {
    /// Organisation.
    #[prost(string, tag = "1")]
    pub org: String,
    /// Fence of the lease that the sender gives up.
    #[prost(uint64, tag = "2")]
    pub fence: u64,
    /// Tokens that can be granted.
    #[prost(uint64, tag = "3")]
    pub level: u64,
    /// Tokens in grants that may still be spent.
    #[prost(uint64, tag = "4")]
    pub outstanding: u64,
}
