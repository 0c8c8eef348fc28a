//! Group membership and failure detection by direct and indirect probes, similar to SWIM.
//!
//! In each period, a member probes one other member. If the probe times out, it requests indirect
//! probes from other members, then suspects the target, and declares it dead if the target does
//! not refute the suspicion in time. State changes are piggybacked on the probes, so the load per
//! member does not grow with the fleet. Members are also added from the platform's list; a dead
//! member that is no longer listed is dropped after a while. See `docs/design/membership.md`.
//!
//! # Examples
//!
//! ```
//! use std::time::{Duration, Instant};
//! use apricotwell_membership::prelude::*;
//!
//! let now = Instant::now();
//! let me = Contact { id: "entry-1".into(), address: "127.0.0.1:7001".into(), zone: "a".into() };
//! let other = Contact { id: "entry-2".into(), address: "127.0.0.1:7002".into(), zone: "b".into() };
//! let mut members = Membership::new(now, me, 1, Timing::default(), 42);
//! members.set_list(now, &[other]);
//! let sent = members.tick(now + Duration::from_secs(1));
//! assert!(sent.iter().any(|outgoing| &*outgoing.to.id == "entry-2"));
//! ```

mod member;
mod membership;

pub use member::{Contact, Member, MemberState, Update};
pub use membership::{Membership, OutgoingMessage, ProbeMessage, Timing};

/// Re-exports of the commonly used items.
pub mod prelude {
    pub use crate::{
        Contact, Member, MemberState, Membership, OutgoingMessage, ProbeMessage, Timing, Update,
    };
}
