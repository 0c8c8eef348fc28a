//! Messages between entry instances.
//!
//! Every message carries its sender's membership news and its view of the log, so that probes and
//! requests alike keep both current.
//!
//! # Examples
//!
//! ```
//! use apricotwell_messages::prelude::*;
//!
//! let envelope = Envelope { body: Some(Message::Ping(Ping { number: 3 })), ..Envelope::default() };
//! let bytes = envelope.to_bytes();
//! assert_eq!(Envelope::from_bytes(&bytes).unwrap(), envelope);
//! ```

mod claims;
mod envelope;
mod feeds;
mod heartbeat;
mod news;
mod tokens;

pub use claims::{ClaimAsk, ClaimFinish, ClaimFinished, ClaimReply, ClaimVerdict};
pub use envelope::{
    Ack, Demand, DemandItem, Envelope, HeardEvidence, LogEvidence, Message, Ping, PingFor, Reclaim,
    RecordsAsk, RecordsReply, SnapshotAsk, SnapshotChunk,
};
pub use feeds::{Datagram, FeedAnswer, FeedQuery, ServerChange, ServerListed};
pub use heartbeat::{
    FleetSpending, Heartbeat, ModelHeld, ModelUse, OrganisationSpending, ServerStock, ServerUse,
    Spending, StockTold,
};
pub use news::News;
pub use tokens::{BucketState, GrantLeft, TokenAsk, TokenGrant};

/// What nearly every user of the crate needs.
pub mod prelude {
    pub use crate::{Envelope, Message, News, Ping};
}
