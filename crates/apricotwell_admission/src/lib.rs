//! Fair admission queue with deadlines.
//!
//! Organisations share servers by served tokens over their weights; within an organisation the
//! most urgent class and deadline come first. A flood of one organisation so moves only its own
//! requests. The choice is argued in `docs/design/admission.md`.
//!
//! # Examples
//!
//! ```
//! use std::time::{Duration, Instant};
//! use apricotwell_admission::prelude::*;
//! use apricotwell_types::WorkClass;
//!
//! let now = Instant::now();
//! let mut queue = FairQueue::new(100);
//! let entry = |request, org: &str| QueuedRequest {
//!     request,
//!     org: org.into(),
//!     model: "m".into(),
//!     class: WorkClass::SoftDeadline,
//!     deadline: now + Duration::from_secs(5),
//!     cost: 100,
//! };
//! queue.push(entry(1, "flood"), 1, 10).unwrap();
//! queue.push(entry(2, "flood"), 1, 10).unwrap();
//! queue.push(entry(3, "calm"), 1, 10).unwrap();
//! let order: Vec<_> = std::iter::from_fn(|| queue.pop(|_| true)).map(|next| next.request).collect();
//! assert_eq!(order, [3, 1, 2]);
//! ```

mod queue;
mod wait_estimate;

pub use queue::{FairQueue, QueueFull, QueuedRequest};
pub use wait_estimate::WaitEstimate;

/// What nearly every user of the crate needs.
pub mod prelude {
    pub use crate::{FairQueue, QueueFull, QueuedRequest, WaitEstimate};
}
