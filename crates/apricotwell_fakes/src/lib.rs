//! Deterministic simulation of nodes, the log, engines and the network in virtual time.
//!
//! A [`Simulation`] drives many nodes and executes the actions that they return. Two runs with the
//! same seed and script give the same result to the microsecond. After each event, the simulation
//! checks the invariants that must hold at all times, and records each violation.
//!
//! # Examples
//!
//! ```
//! use std::time::Duration;
//! use apricotwell_fakes::{Simulation, SimulationOptions};
//!
//! let mut sim = Simulation::new(SimulationOptions {
//!     instances: 3,
//!     engines: 1,
//!     ..SimulationOptions::default()
//! });
//! sim.run_for(Duration::from_secs(5));
//! assert!(sim.is_settled());
//! assert_eq!(sim.violations(), Vec::<String>::new());
//! ```

mod engine;
mod history;
mod log;
mod simulation;

pub use engine::{EngineState, EngineStats, OrderError};
pub use history::{CallOutcome, History, TokenUse};
pub use log::LogStreams;
pub use simulation::{Call, FakeLog, Simulation, SimulationOptions};
