//! Messages between entry instances.
//!
//! Every message carries membership updates and the sender's view of the log, so probes and
//! requests alike keep both current.
//!
//! # Examples
//!
//! ```
//! use apricotwell_messages::prelude::*;
//!
//! let envelope =
//!     Envelope { body: Some(Message::Ping(Ping { number: 3 })), ..Envelope::default() };
//! let bytes = envelope.to_bytes();
//! assert_eq!(Envelope::from_bytes(&bytes).unwrap(), envelope);
//! ```

mod claims;
mod crashes;
mod envelope;
mod feeds;
mod heartbeat;
mod lease;
mod member_update;
mod permits;
mod software;
mod tokens;

pub use claims::{ClaimFinish, ClaimFinishAck, ClaimReply, ClaimRequest, ClaimVerdict};
pub use crashes::{BlockedPartReport, CrashKnowledge, CrashReport, RequestParts, SoundPartReport};
pub use envelope::{
    Ack, Demand, DemandItem, Envelope, LogEvidence, Message, Ping, PingFor, Reclaim, RecordsReply,
    RecordsRequest, RelayedEvidence, SnapshotChunk, SnapshotRequest,
};
pub use feeds::{Datagram, FeedQuery, FeedResponse, Liveness, ServerChange, ServerEntry};
pub use heartbeat::{
    FleetSpending, FleetState, Heartbeat, HeldModel, InventoryUpdate, LeavingServer, ModelRun,
    ModelUse, OrganisationSpending, PromptWork, ServerInventory, ServerUse, SlowServer, Spending,
    SpendingRefund,
};
pub use lease::ClaimCopyRecord;
pub use member_update::MemberUpdate;
pub use permits::{PermitRequest, PermitResponse, ServerLimit};
pub use software::{
    LeavingVersion, SoftwareRecord, StreamAnswer, StreamBatch, StreamNotice, StreamQuery,
    StreamReceipt, VersionStreams,
};
pub use tokens::{BucketState, GrantBalance, TokenGrant, TokenRequest};

/// Commonly used types.
pub mod prelude {
    pub use crate::{Envelope, MemberUpdate, Message, Ping};
}
