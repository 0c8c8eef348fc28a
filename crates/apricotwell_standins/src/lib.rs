//! Stand-ins for the platform, model engines and plain services.
//!
//! They speak the interfaces of `docs/INTERFACES.md`, fail on demand through `POST /faults`, and
//! keep an audit that tests read: what ran, how much memory was taken, whether a key was seen.
//! No shipped binary depends on this crate.
//!
//! # Examples
//!
//! ```
//! use std::time::Duration;
//! use apricotwell_standins::WeightStore;
//!
//! let mut store = WeightStore::new(1, Duration::from_millis(100));
//! assert_eq!(store.begin(), Duration::from_millis(100));
//! assert_eq!(store.begin(), Duration::from_millis(200));
//! ```

mod engine;
mod platform;
mod service;
mod weight_store;

pub use apricotwell_fakes::{EngineAudit, EngineState, LogStreams};
pub use engine::{EngineArgs, run_engine};
pub use platform::{PlatformArgs, PlatformFaults, run_platform};
pub use service::{ServiceArgs, ServiceAudit, run_service};
pub use weight_store::WeightStore;
