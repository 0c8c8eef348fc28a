//! Records of the platform log and their signatures.
//!
//! Everything that instances agree on is a record on the `control` stream or a claim on a
//! `claims-N` stream. Records derive their Protocol Buffers codec, so the build runs no code
//! generator.
//!
//! # Examples
//!
//! ```
//! use apricotwell_records::prelude::*;
//!
//! let record =
//!     Record::new("entry-1", 7, 1, Body::CrashSuspect(CrashSuspect { digest: vec![0; 16] }));
//! assert_eq!(Record::from_bytes(&record.to_bytes()).unwrap(), record);
//! ```

mod claim;
mod control;
mod log;
mod signature;

pub use claim::{AttemptFinished, ClaimBody, ClaimRecord, KeyClaimed, StreamOpened};
pub use control::{
    AcquireLeases, Body, CheckpointChunk, CrashSuspect, DecideLoad, PutConfig, Record,
    RetireReplica, ServerGone, ServerUp, SettleOutcome, SettleReplica,
};
pub use log::{AppendError, LogBatch, ReadError};
pub use signature::{OperatorKey, OperatorToken, SignatureError, verify_put};

/// Commonly used types.
pub mod prelude {
    pub use crate::{
        AcquireLeases, AttemptFinished, Body, CheckpointChunk, ClaimBody, ClaimRecord,
        CrashSuspect, DecideLoad, KeyClaimed, OperatorKey, PutConfig, Record, RetireReplica,
        ServerGone, ServerUp, SettleOutcome, SettleReplica, StreamOpened,
    };
}

/// Name of the stream from which every instance builds its state.
pub const CONTROL_STREAM: &str = "control";
/// Name of the stream with the checkpoints of the control stream.
pub const CHECKPOINT_STREAM: &str = "checkpoint";

/// Returns the name of the claim stream of a shard.
pub fn claim_stream(shard: u32) -> String {
    format!("claims-{shard}")
}
