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
//! freshness.note_log_read(start, 1);
//! let view = freshness.view(start + Duration::from_secs(1), &["entry-1".into(), "entry-2".into()], "entry-1");
//! assert_eq!(view, View::Fresh { until: start + Duration::from_secs(3) });
//! ```

mod freshness;
mod planner;
mod standing;

pub use freshness::{Evidence, Freshness, View};
pub use planner::{LeasePlan, LiveMember, plan_leases};
pub use standing::{Standing, Standings};

/// What nearly every user of the crate needs.
pub mod prelude {
    pub use crate::{
        Evidence, Freshness, LeasePlan, LiveMember, Standing, Standings, View, plan_leases,
    };
}
