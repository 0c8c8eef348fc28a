//! Authenticated links between entry instances.
//!
//! A link carries length-delimited frames in one direction over TCP. Before the first frame both
//! ends prove that they know the fleet's secret, and every frame has a MAC over its number and
//! payload. The receiving end sends keepalive bytes back at short intervals. A link without
//! keepalives is replaced, because a new connection may still work. Messages may be lost, but within
//! one link they arrive in order.
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

/// Commonly used types.
pub mod prelude {
    pub use crate::{LinkSecret, PeerLinks, listen};
}
