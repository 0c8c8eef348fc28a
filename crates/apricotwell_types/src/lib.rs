//! Ids, units, work classes, outcomes and refusals shared by every crate.
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

/// Commonly used types.
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
/// Incarnation number of a process; a restarted process has a higher one.
pub type Incarnation = u64;
/// Position of a record in a log stream.
pub type Offset = u64;
/// Fencing token of a lease; a later grant has a higher one.
pub type Fence = u64;
/// Number of a store's history, which changes when the store comes back from an older copy of its logs.
pub type StoreEra = u64;
/// Id of a replica: the offset of the record that decided to load it.
pub type ReplicaId = u64;
/// Index of a shard; instances acquire leases on shards.
pub type Shard = u32;
/// Number of model tokens.
pub type Tokens = u64;
/// Accelerator memory in MiB.
pub type Mebibytes = u64;
/// Number of a request, unique within one entry instance.
pub type RequestId = u64;

/// Hash map with the workspace's fast hasher.
///
/// Iteration order is unspecified: use a `BTreeMap` where a decision depends on the order.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;
/// Hash set with the workspace's fast hasher.
pub type Set<K> = rustc_hash::FxHashSet<K>;

/// Determines a request's priority in queues and whether it may be retried.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum WorkClass {
    /// Runs at most once, such as an order or a job release.
    NonIdempotent,
    /// Must finish by its deadline, such as an allergen summary.
    HardDeadline,
    /// May finish late, such as a chat message.
    SoftDeadline,
}

impl WorkClass {
    /// All classes, most urgent first.
    pub const ALL: [WorkClass; 3] = [
        WorkClass::NonIdempotent,
        WorkClass::HardDeadline,
        WorkClass::SoftDeadline,
    ];

    /// Returns whether a request of this class may be sent to a backend server again.
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
