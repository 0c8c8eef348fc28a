//! Selection of the backend server for a request.
//!
//! The server with the lowest score is selected. The score is the estimated load, which includes
//! this instance's own requests in flight, with penalties for another zone and for a new replica
//! and a bonus for a cached prefix. See `docs/design/routing.md` for the reasons.
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

/// Re-exports of the commonly used items.
pub mod prelude {
    pub use crate::{Candidate, LoadReport, PrefixKey, Router, prefix_key};
}
