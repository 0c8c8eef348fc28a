//! Adapters to the platform and to backend servers.
//!
//! Each interface is a trait in the core's vocabulary with one HTTP adapter; only the adapters know
//! a wire format, which is described in `docs/INTERFACES.md`. Any implementation can be run against
//! the contract tests in this crate's `tests` folder.
//!
//! # Examples
//!
//! ```
//! use apricotwell_adapters::prelude::*;
//!
//! let log = HttpLog::new("127.0.0.1:7600", std::time::Duration::from_secs(2));
//! assert_eq!(log.url("control"), "http://127.0.0.1:7600/log/control");
//! ```

mod engine;
mod http;
mod instances;
mod log_store;

pub use engine::{EngineControl, HttpEngine, OrderBody, OrderReply, ReplicaBody, ReportBody};
pub use http::{control_client, is_unsent, pooled_client, single_use_client};
pub use instances::{HttpInstances, InstanceBody, InstanceList, ListedInstances, split_instances};
pub use log_store::{AppendReply, ExpiredReply, HttpLog, LogStore, RecordBatch, StreamSlice};

/// What nearly every user of the crate needs.
pub mod prelude {
    pub use crate::{EngineControl, HttpEngine, HttpInstances, HttpLog, InstanceList, LogStore};
}
