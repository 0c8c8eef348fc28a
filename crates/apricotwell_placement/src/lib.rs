//! Decisions to load and unload replicas.
//!
//! The holder of a model's shard plans from the folded state and from the demand that entry
//! instances tell it. Plans become records; the fold enforces memory and replica limits, so a plan
//! made on a late view is rejected and never harms. See `docs/design/placement.md`.
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

/// What nearly every user of the crate needs.
pub mod prelude {
    pub use crate::{
        DemandTable, ModelUsage, PlacementPlanner, PlacementView, PlanStep, ServerView,
    };
}
