//! Single-use permits for servers that limit the requests of all instances together.
//!
//! An overloaded server names the requests per second that it accepts from the whole fleet. An
//! instance sends it a request only with a permit, which it asks for when it has a request for the
//! server. For each server, every instance ranks all instances of the fleet in the same order and
//! asks the first one that it hears, which grants permits at the server's rate. No instance is set
//! aside for this, and none has to agree with another on who is first:
//!
//! - an instance that ranks below others that it doesn't hear grants only a quarter of the rate for
//!   each of them, and nothing below a few, so that all instances together stay below 1.32 times the
//!   rate even if none hears another;
//! - it grants only its share of the rate while it doesn't hear all instances;
//! - it pauses before its first permit, so that its predecessor has heard of it or is gone;
//! - permits expire, so that those of an instance that was frozen are void.
//!
//! `docs/design/server-limits.md` weighs the alternatives. Nothing here does I/O.
//!
//! # Examples
//!
//! ```
//! use std::time::Instant;
//! use apricotwell_permits::prelude::*;
//!
//! let now = Instant::now();
//! let mut servers = LimitedServers::new(1);
//! let response = LimitResponse { sent_at: now, rate: Some(1.5) };
//! servers.limits.record_response(now, &"server".into(), response);
//! assert_eq!(servers.limits.rate("server"), Some(1.5));
//! assert!(!servers.permits.is_held(now, "server"));
//! ```

pub mod cold;
pub mod grants;
pub mod limited_servers;
pub mod limits;
pub mod permits;

/// Types that nearly every user of the crate needs.
pub mod prelude {
    pub use crate::cold::WarmupChange;
    pub use crate::grants::Candidate;
    pub use crate::limited_servers::{FleetView, LimitedServers};
    pub use crate::limits::{LimitChange, LimitResponse, RequestRate};
    pub use crate::permits::PermitAnswer;
}
