//! Records of the platform log and their signatures.
//!
//! Everything that instances agree on is one of these records on the `control` stream, or a claim
//! on a `claims-N` stream. Messages derive their codec, so the build needs no generator.
//!
//! # Examples
//!
//! ```
//! use apricotwell_records::prelude::*;
//!
//! let record = Record::new("entry-1", 7, 1, Body::CrashSuspect(CrashSuspect { digest: vec![0; 16] }));
//! assert_eq!(Record::from_bytes(&record.to_bytes()).unwrap(), record);
//! ```

mod claim;
mod control;
mod log;
mod signature;

pub use claim::{ClaimBody, ClaimRecord, Claimed, Finished, Opened};
pub use control::{
    AcquireLeases, Body, CheckpointChunk, CrashSuspect, DecideLoad, PutConfig, Record,
    RetireReplica, ServerGone, ServerUp, SettleOutcome, SettleReplica,
};
pub use log::{AppendError, LogBatch, ReadError};
pub use signature::{OperatorKey, OperatorToken, SignatureError, verify_put};

/// What nearly every user of the crate needs.
pub mod prelude {
    pub use crate::{
        AcquireLeases, Body, CheckpointChunk, ClaimBody, ClaimRecord, Claimed, CrashSuspect,
        DecideLoad, Finished, Opened, OperatorKey, PutConfig, Record, RetireReplica, ServerGone,
        ServerUp, SettleOutcome, SettleReplica,
    };
}

/// Name of the stream that every instance folds.
pub const CONTROL_STREAM: &str = "control";
/// Name of the stream that holds checkpoints of the control stream.
pub const CHECKPOINT_STREAM: &str = "checkpoint";

/// Returns the name of the stream with the claims of one shard.
pub fn claim_stream(shard: u32) -> String {
    format!("claims-{shard}")
}
