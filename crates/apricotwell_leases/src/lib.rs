//! Freshness of an instance's view and leases on duty shards.
//!
//! No record is written to renew a lease: a successful read up to the end of the log renews all of
//! a holder's leases, since a takeover would have been in that read. The scheme and its proof are
//! in `docs/design/leases.md`.
//!
//! # Examples
//!
//! ```
//! use std::time::{Duration, Instant};
//! use apricotwell_leases::prelude::*;
//!
//! let start = Instant::now();
//! let mut freshness = Freshness::new(Duration::from_secs(3));
//! freshness.record_read(start, 1);
//! let view = freshness.view(start + Duration::from_secs(1), &["entry-1".into(), "entry-2".into()], "entry-1");
//! assert_eq!(view, View::Fresh { until: start + Duration::from_secs(3) });
//! ```

mod freshness;
mod own_leases;
mod planner;

pub use freshness::{Evidence, Freshness, View};
pub use own_leases::{LeaseState, OwnLeases};
pub use planner::{LeasePlan, LiveMember, plan_leases};

/// What nearly every user of the crate needs.
pub mod prelude {
    pub use crate::{
        Evidence, Freshness, LeasePlan, LeaseState, LiveMember, OwnLeases, View, plan_leases,
    };
}
