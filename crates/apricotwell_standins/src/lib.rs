//! Stand-ins for the platform, model engines and plain services.
//!
//! They implement the interfaces in `docs/INTERFACES.md`. Tests inject faults with `POST /faults`
//! and read with `GET /audit` which requests ran, how much memory was used and whether an API key
//! was seen. No released binary depends on this crate.
//!
//! # Examples
//!
//! ```
//! use std::time::Duration;
//! use apricotwell_standins::WeightStore;
//!
//! let mut store = WeightStore::new(1, Duration::from_millis(100));
//! assert_eq!(store.begin_load(), Duration::from_millis(100));
//! assert_eq!(store.begin_load(), Duration::from_millis(200));
//! ```

mod cut;
mod engine;
mod platform;
mod service;
mod weight_store;

pub use apricotwell_fakes::{EngineState, EngineStats, LogStreams};
pub use engine::{EngineArgs, run_engine};
pub use platform::{PlatformArgs, PlatformFaults, run_platform};
pub use service::{ServiceArgs, ServiceAudit, run_service};
pub use weight_store::WeightStore;
