//! State that every instance folds from the control stream.
//!
//! All readers apply the same records in the same order and accept or reject each one alike, so
//! what one instance concludes from an offset holds for every other one that reached it.
//! The invariants that must hold fleet-wide are enforced here and nowhere else: subtree authority
//! and versions of configuration, fences of leases, numbers of replicas and memory of servers.
//!
//! # Examples
//!
//! ```
//! use apricotwell_records::prelude::*;
//! use apricotwell_state::prelude::*;
//!
//! let mut state = State::new(Genesis { root_key: String::new(), shards: 8 });
//! let take = Take { shards: vec![3], fences: vec![0], holder: "entry-1".into(), incarnation: 1 };
//! let record = Record::new("entry-1", 1, 1, Body::Take(take));
//! assert_eq!(state.apply(1, &record), Ok(()));
//! assert_eq!(state.lease(3).unwrap().fence, 1);
//! ```

mod checkpoint;
mod config;
mod lease;
mod ledger;
mod rejection;
mod settings;
mod state;

pub use checkpoint::{
    CHUNK_BYTES, CheckpointAssembler, CheckpointError, chunk_checkpoint, restore_checkpoint,
};
pub use config::{ConfigEntry, ConfigTree};
pub use lease::{Lease, LeaseTable};
pub use ledger::{Ledger, Replica, ReplicaPhase, Server};
pub use rejection::{RejectReason, Rejection};
pub use settings::{
    AdapterSettings, KeySettings, ModelSettings, OperatorSettings, OrgSettings, PoolKind,
    PoolSettings, QuarantineSettings, RouteSettings, Setting, StoreSettings,
};
pub use state::{Genesis, KeyOwner, ResolvedModel, State};

/// What nearly every user of the crate needs.
pub mod prelude {
    pub use crate::{Genesis, Lease, RejectReason, Replica, ReplicaPhase, Server, State};
}
