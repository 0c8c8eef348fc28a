//! Adapters to the platform and to backend servers.
//!
//! Each interface is a trait that uses the core's types, with one HTTP implementation. Only the
//! implementations know the wire format, which is described in `docs/INTERFACES.md`. The contract
//! tests in this crate's `tests` folder can be run against any implementation.
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
pub use http::control_client;
pub use instances::{HttpInstances, InstanceBody, InstanceList, ListedInstances, split_instances};
pub use log_store::{AppendReply, ExpiredReply, HttpLog, LogStore, RecordBatch, StreamSlice};

/// Commonly used traits and their HTTP implementations.
pub mod prelude {
    pub use crate::{EngineControl, HttpEngine, HttpInstances, HttpLog, InstanceList, LogStore};
}
