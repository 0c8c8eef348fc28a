//! Decision logic of one entry instance, without any I/O.
//!
//! A [`Node`] receives events together with the time at which they happened, and queues
//! [`Action`]s for its driver to carry out. It holds no clock, socket, task or unseeded random
//! source, so tests can run many nodes in virtual time. Each concern has its own struct, and
//! [`Node`] only routes events between them.
//!
//! # Examples
//!
//! ```
//! use std::time::Instant;
//! use apricotwell_node::prelude::*;
//!
//! let now = Instant::now();
//! let settings = NodeSettings::for_test("entry-1", "zone-a", 1);
//! let mut node = Node::new(now, std::time::Duration::ZERO, settings);
//! node.tick(now);
//! assert!(!node.is_ready(now));
//! ```

mod action;
mod claim_client;
mod claim_coordinator;
mod fleet;
mod log_writer;
mod node;
mod order_manager;
mod requests;
mod server_registry;
mod settings;
mod status;
mod submission;
mod token_manager;

pub use action::{Action, Dispatch, EngineOrder, OrderKind, OrderOutcome};
pub use node::Node;
pub use requests::{AttemptOutcome, StoredAnswer};
pub use server_registry::{ListedServer, ReportedReplica, ServerReport};
pub use settings::NodeSettings;
pub use status::{InstanceStatus, LeaseStatus, ModelStatus, ReplicaStatus, ServerStatus, Status};
pub use submission::{Submission, Target};

/// Re-exports the items that most users of the crate need.
pub mod prelude {
    pub use crate::{
        Action, AttemptOutcome, Dispatch, EngineOrder, ListedServer, Node, NodeSettings, OrderKind,
        OrderOutcome, ReportedReplica, ServerReport, StoredAnswer, Submission, Target,
    };
}
