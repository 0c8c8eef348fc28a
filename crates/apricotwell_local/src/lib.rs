//! Local fleets of real processes for tests.
//!
//! Entry instances run as processes, so that they can be killed and paused; stand-ins run as
//! threads of the test. Everything listens on loopback, on ports of its own.
//!
//! # Examples
//!
//! ```
//! use apricotwell_local::free_address;
//!
//! assert!(free_address().starts_with("127.0.0.1:"));
//! ```

mod exchange;
mod fleet;

pub use exchange::{Exchange, exchange, normalise};
pub use fleet::{FleetOptions, LocalFleet, free_address};
