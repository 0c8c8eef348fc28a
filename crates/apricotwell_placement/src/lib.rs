//! Decisions to load and unload replicas.
//!
//! The lease holder of a model's shard plans from the replicated state and from the demand that
//! other instances report to it. Plans are appended to the log as records. The state machine
//! enforces memory and replica limits when it applies them, so it rejects a plan that was made from
//! an outdated view. See `docs/design/placement.md`.
//!
//! # Examples
//!
//! ```
//! use std::time::{Duration, Instant};
//! use apricotwell_placement::prelude::*;
//!
//! let now = Instant::now();
//! let mut demand = DemandTable::new(Duration::from_secs(5));
//! demand.record_usage(now, "model-a", "entry-1", ModelUsage { waiting: 2, running: 0, deadline: now });
//! assert_eq!(demand.waiting(now, "model-a"), 2);
//! ```

mod demand;
mod planner;

pub use demand::{DemandTable, ModelUsage};
pub use planner::{PlacementPlanner, PlacementView, PlanStep, ServerView};

/// Re-exports of the commonly used items.
pub mod prelude {
    pub use crate::{
        DemandTable, ModelUsage, PlacementPlanner, PlacementView, PlanStep, ServerView,
    };
}
