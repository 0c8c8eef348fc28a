//! Replicated state that every instance builds from the control stream.
//!
//! All instances apply the same records in the same order, and either all of them accept a record
//! or all of them reject it. Whatever one instance derives from the state at an offset therefore
//! holds on every other instance that has reached that offset.
//!
//! The fleet-wide invariants are enforced only in this crate: which operator may write which
//! subtree of the configuration, versions of configuration values, fences of leases, replica
//! limits, and the memory of servers.
//!
//! # Examples
//!
//! ```
//! use apricotwell_records::prelude::*;
//! use apricotwell_state::prelude::*;
//!
//! let mut state = State::new(Genesis { root_key: String::new(), shards: 8 });
//! let acquire = AcquireLeases { shards: vec![3], fences: vec![0], holder: "entry-1".into(), incarnation: 1 };
//! let record = Record::new("entry-1", 1, 1, Body::AcquireLeases(acquire));
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

/// Items that most users of the crate need.
pub mod prelude {
    pub use crate::{Genesis, Lease, RejectReason, Replica, ReplicaPhase, Server, State};
}
