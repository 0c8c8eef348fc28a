//! Fakes of log, engines and network in virtual time.
//!
//! A [`World`] drives many nodes by their actions alone. Every run with the same seed and script
//! is the same to the microsecond. After each step the world checks the invariants that must hold
//! at all times and records what was broken.
//!
//! # Examples
//!
//! ```
//! use std::time::Duration;
//! use apricotwell_fakes::{World, WorldOptions};
//!
//! let mut world = World::new(WorldOptions { instances: 3, engines: 1, ..WorldOptions::default() });
//! world.run_for(Duration::from_secs(5));
//! assert!(world.is_settled());
//! assert_eq!(world.broken(), Vec::<String>::new());
//! ```

mod audit;
mod engine;
mod log;
mod world;

pub use audit::{Audit, Finish, Spent};
pub use engine::{EngineAudit, EngineState, Refused};
pub use log::LogStreams;
pub use world::{Call, FakeLog, World, WorldOptions};
