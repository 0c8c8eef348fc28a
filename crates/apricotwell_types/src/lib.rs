//! Ids, units, work classes and truthful endings shared by every crate.
//!
//! # Examples
//!
//! ```
//! use apricotwell_types::prelude::*;
//!
//! let key = KeyDigest::of_secret("aw-secret");
//! assert!(key.matches("aw-secret"));
//! assert!(!key.matches("aw-other"));
//! ```

mod digest;
mod outcome;
mod rendezvous;

use std::sync::Arc;

pub use digest::{BodyDigest, KeyDigest};
pub use outcome::{Refusal, RefusalKind, RunOutcome};
pub use rendezvous::{rendezvous_owner, rendezvous_rank, shard_of};

/// What nearly every user of the workspace needs.
pub mod prelude {
    pub use crate::{
        BodyDigest, Fence, InstanceId, KeyDigest, Map, ModelId, Offset, OrgId, Refusal,
        RefusalKind, ReplicaId, RunOutcome, ServerId, Set, Shard, Tokens, WorkClass, ZoneId,
    };
}

/// Name of an entry instance.
pub type InstanceId = Arc<str>;
/// Name of a backend server.
pub type ServerId = Arc<str>;
/// Name of an organisation.
pub type OrgId = Arc<str>;
/// Name of a model, or `model:adapter` for an adapter on its base model.
pub type ModelId = Arc<str>;
/// Name of an availability zone.
pub type ZoneId = Arc<str>;
/// Start number of a process; a restarted process has a higher one.
pub type Incarnation = u64;
/// Position of a record in a log stream.
pub type Offset = u64;
/// Fencing number: the offset of the record that granted a lease.
pub type Fence = u64;
/// Replica of a model, named by the offset of the record that decided it.
pub type ReplicaId = u64;
/// Index of a duty shard.
pub type Shard = u32;
/// Count of model tokens.
pub type Tokens = u64;
/// Memory of an accelerator in MiB.
pub type Mebibytes = u64;
/// Number of one request on one entry instance.
pub type RequestId = u64;

/// Hash map with the workspace's fast hasher.
///
/// Iteration order is not defined: use a `BTreeMap` where order reaches a decision.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;
/// Hash set with the workspace's fast hasher.
pub type Set<K> = rustc_hash::FxHashSet<K>;

/// How a request is ordered in queues and whether it may be repeated.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum WorkClass {
    /// Runs at most once: an order or a job release.
    NonIdempotent,
    /// Must finish by its deadline: an allergen summary.
    HardDeadline,
    /// Late answers only annoy: chat.
    SoftDeadline,
}

impl WorkClass {
    /// Every class, most urgent first.
    pub const ALL: [WorkClass; 3] = [
        WorkClass::NonIdempotent,
        WorkClass::HardDeadline,
        WorkClass::SoftDeadline,
    ];

    /// Returns whether a request of this class may be sent a second time.
    pub fn is_repeatable(self) -> bool {
        self != WorkClass::NonIdempotent
    }

    /// Parses the value of the `x-work-class` header.
    pub fn from_header(text: &str) -> Option<Self> {
        match text {
            "non-idempotent" => Some(WorkClass::NonIdempotent),
            "hard-deadline" => Some(WorkClass::HardDeadline),
            "soft-deadline" => Some(WorkClass::SoftDeadline),
            _ => None,
        }
    }
}
