//! Authenticated links between entry instances.
//!
//! A link carries length-delimited frames in one direction over TCP. Both ends prove that they
//! know the fleet's secret before the first frame, and every frame carries a MAC over its content
//! and number. The receiving end sends a pulse back at short intervals, so a link that has gone
//! silent is replaced while new connections still work. Messages may be lost and come in order
//! within one link.
//!
//! # Examples
//!
//! ```
//! use apricotwell_peers::prelude::*;
//!
//! let secret = LinkSecret::new("a fleet secret of at least 16 bytes").unwrap();
//! assert_eq!(format!("{secret:?}"), "LinkSecret(..)");
//! assert!(LinkSecret::new("short").is_err());
//! ```

mod handshake;
mod link;
mod secret;

pub use link::{PeerLinks, listen};
pub use secret::{LinkSecret, SecretError};

/// What nearly every user of the crate needs.
pub mod prelude {
    pub use crate::{LinkSecret, PeerLinks, listen};
}
