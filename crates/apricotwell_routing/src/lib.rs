//! Choice of the backend server for a request.
//!
//! The score of a server is its estimated load, corrected by this instance's own requests in
//! flight, with costs for another zone and for a cold prefix cache, and a ramp for new replicas.
//! The choice is argued in `docs/design/routing.md`.
//!
//! # Examples
//!
//! ```
//! use std::time::Instant;
//! use apricotwell_routing::prelude::*;
//!
//! let now = Instant::now();
//! let mut router = Router::new("zone-a".into());
//! let servers = [
//!     Candidate { server: "engine-1".into(), zone: "zone-b".into(), slots: 4, ready_at: now },
//!     Candidate { server: "engine-2".into(), zone: "zone-a".into(), slots: 4, ready_at: now },
//! ];
//! assert_eq!(router.select_server(now, &servers, None).as_deref(), Some("engine-2"));
//! ```

mod health;
mod prefix;
mod router;

pub use health::ServerHealth;
pub use prefix::{PrefixKey, PrefixMap, prefix_key};
pub use router::{Candidate, LoadReport, Router};

/// What nearly every user of the crate needs.
pub mod prelude {
    pub use crate::{Candidate, LoadReport, PrefixKey, Router, prefix_key};
}
