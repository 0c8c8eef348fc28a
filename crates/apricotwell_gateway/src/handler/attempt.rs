//! Where an attempt is sent, and how it ends.

use std::net::SocketAddr;

use apricotwell_http::pool::StreamingResponse;
use apricotwell_types::ServerId;

use crate::adapter::Platform;
use crate::guard::FlightGuard;

/// Where an attempt is sent.
#[derive(Clone, Debug)]
pub struct Destination {
    /// Server, or the instance that the request is passed on to.
    pub id: ServerId,
    /// Address.
    pub address: SocketAddr,
    /// Whether it is an instance.
    pub is_instance: bool,
}

/// Outcome of one attempt.
pub enum AttemptOutcome<P>
where
    P: Platform,
{
    /// The server responded to this attempt.
    Response(Box<StreamingResponse>, FlightGuard<P>),
    /// Nothing of the attempt was sent; holds the reason.
    Unsent(String),
    /// The server did not run the attempt; holds the reason.
    NotRun(String),
    /// The server may have run the attempt, but there is no valid response; holds the reason.
    Lost(String),
}

impl<P> AttemptOutcome<P>
where
    P: Platform,
{
    /// Returns the name of the outcome in metrics.
    pub(super) fn name(&self) -> &'static str {
        match self {
            Self::Response(..) => "response",
            Self::Unsent(_) => "unsent",
            Self::NotRun(_) => "not_run",
            Self::Lost(_) => "lost",
        }
    }
}
