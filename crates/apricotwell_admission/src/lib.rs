//! Fair admission queue with deadlines.
//!
//! Organisations share the servers by start-time fair queueing: each gets served tokens in
//! proportion to its weight. Within an organisation, requests are ordered by class and deadline. A
//! flood of requests from one organisation therefore delays only its own requests. See
//! `docs/design/admission.md` for the reasons.
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

mod priority_queue;
mod queue;
mod wait_estimate;

pub use priority_queue::{PriorityQueue, WaitingRequest};
pub use queue::{FairQueue, QueueFull, QueuedRequest};
pub use wait_estimate::WaitEstimate;

/// Re-exports of the commonly used items.
pub mod prelude {
    pub use crate::{
        FairQueue, PriorityQueue, QueueFull, QueuedRequest, WaitEstimate, WaitingRequest,
    };
}
