//! Messages about token rate limits.

use apricotwell_limits::EscrowReport;

/// Requests tokens from an organisation's lease holder and reports the use of earlier grants.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TokenRequest {
    /// Organisation.
    #[prost(string, tag = "1")]
    pub org: String,
    /// Number that the reply repeats.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Tokens requested; 0 if the message only carries a report.
    #[prost(uint64, tag = "3")]
    pub requested: u64,
    /// Fencing token of the holder's lease; the report covers the grants made under it.
    #[prost(uint64, tag = "4")]
    pub session: u64,
    /// Tokens remaining in each grant.
    #[prost(message, repeated, tag = "5")]
    pub remaining: Vec<GrantBalance>,
    /// Grants whose remaining tokens are returned.
    #[prost(uint64, repeated, tag = "6")]
    pub returned: Vec<u64>,
    /// Tokens reserved by all requests of the session that have finished.
    #[prost(uint64, tag = "7")]
    pub settled: u64,
    /// Those of the `settled` tokens that were not used.
    #[prost(uint64, tag = "8")]
    pub refunded: u64,
}

/// Tokens remaining in a grant.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct GrantBalance {
    /// Grant.
    #[prost(uint64, tag = "1")]
    pub grant: u64,
    /// Remaining tokens.
    #[prost(uint64, tag = "2")]
    pub remaining: u64,
}

impl TokenRequest {
    /// Returns a request with a report.
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

/// Grants tokens, in reply to a [`TokenRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct TokenGrant {
    /// Organisation.
    #[prost(string, tag = "1")]
    pub org: String,
    /// Number of the request.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Fencing token of the holder's lease.
    #[prost(uint64, tag = "3")]
    pub session: u64,
    /// Grant.
    #[prost(uint64, tag = "4")]
    pub grant: u64,
    /// Tokens granted; 0 if none are available.
    #[prost(uint64, tag = "5")]
    pub amount: u64,
    /// Term of the grant in milliseconds.
    #[prost(uint64, tag = "6")]
    pub term_ms: u64,
    /// Milliseconds until the rest can be granted.
    #[prost(uint64, tag = "7")]
    pub wait_ms: u64,
}

/// Transfers a token bucket to the next lease holder.
#[derive(Clone, PartialEq, prost::Message)]
pub struct BucketState {
    /// Organisation.
    #[prost(string, tag = "1")]
    pub org: String,
    /// Fencing token of the lease that the sender releases.
    #[prost(uint64, tag = "2")]
    pub fence: u64,
    /// Tokens available for new grants.
    #[prost(uint64, tag = "3")]
    pub level: u64,
    /// Tokens in grants that may still be spent.
    #[prost(uint64, tag = "4")]
    pub outstanding: u64,
}
