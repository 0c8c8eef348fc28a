//! Local fleets of real processes for tests.
//!
//! Entry instances run as child processes, so that tests can kill and pause them; stand-ins run as
//! threads of the test process. All of them listen on loopback, each on its own port.
//!
//! # Examples
//!
//! ```
//! use apricotwell_local::free_address;
//!
//! assert!(free_address().starts_with("127.0.0.1:"));
//! ```

mod fleet;
mod raw_http;

pub use fleet::{FleetOptions, LocalFleet, free_address};
pub use raw_http::{RawResponse, normalise_response, send_raw};
