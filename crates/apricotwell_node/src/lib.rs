//! Decisions of one entry instance, without input or output.
//!
//! A [`Node`] takes what happened with the time at which it happened, and queues [`Action`]s for
//! its shell to carry out. It holds no clock, socket, task or random source of its own, so tests
//! drive many nodes in virtual time. Each concern is a struct of its own: [`Node`] only routes
//! events between them.
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
mod claim_desk;
mod claim_holder;
mod fleet;
mod log_writer;
mod node;
mod order_desk;
mod requests;
mod server_desk;
mod settings;
mod status;
mod submission;
mod token_desk;

pub use action::{Action, Dispatch, EngineOrder, OrderKind, OrderOutcome};
pub use node::Node;
pub use requests::{AttemptOutcome, StoredAnswer};
pub use server_desk::{ListedServer, ReportedReplica, ServerReport};
pub use settings::NodeSettings;
pub use status::{InstanceStatus, LeaseStatus, ModelStatus, ReplicaStatus, ServerStatus, Status};
pub use submission::{Submission, Target};

/// What nearly every user of the crate needs.
pub mod prelude {
    pub use crate::{
        Action, AttemptOutcome, Dispatch, EngineOrder, ListedServer, Node, NodeSettings, OrderKind,
        OrderOutcome, ReportedReplica, ServerReport, StoredAnswer, Submission, Target,
    };
}
