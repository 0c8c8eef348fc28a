//! Freshness of an instance's view of the log, and leases on shards.
//!
//! Renewing a lease writes no record: a successful read up to the end of the log renews all leases
//! of a holder, because the read would have returned any takeover. The protocol and its proof are
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

/// Items that most users of the crate need.
pub mod prelude {
    pub use crate::{
        Evidence, Freshness, LeasePlan, LeaseState, LiveMember, OwnLeases, View, plan_leases,
    };
}
