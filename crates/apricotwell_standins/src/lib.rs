//! Stand-ins for the platform, model engines and plain services.
//!
//! They speak the interfaces of `docs/INTERFACES.md`, fail on demand through `POST /faults`, and
//! keep an audit that tests read: what ran, how much memory was taken, whether a key was seen.
//! No shipped binary depends on this crate.
//!
//! # Examples
//!
//! ```
//! use apricotwell_standins::LogStreams;
//!
//! let mut log = LogStreams::default();
//! assert_eq!(log.append("control", vec![vec![1], vec![2]]), 1);
//! assert_eq!(log.append("control", vec![vec![3]]), 3);
//! assert_eq!(log.read("control", 2).unwrap().records.len(), 2);
//! ```

mod engine;
mod engine_state;
mod log_streams;
mod platform;
mod service;
mod weight_store;

pub use engine::{EngineArgs, run_engine};
pub use engine_state::{EngineAudit, EngineState, Refused};
pub use log_streams::LogStreams;
pub use platform::{PlatformArgs, PlatformFaults, run_platform};
pub use service::{ServiceArgs, ServiceAudit, run_service};
pub use weight_store::WeightStore;
