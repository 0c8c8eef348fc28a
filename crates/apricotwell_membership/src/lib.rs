//! Membership by direct and indirect probes.
//!
//! Each member probes one other per period, asks others to probe it when it stays silent, then
//! suspects it, and declares it dead only if it does not refute the suspicion. Changes travel on
//! the probes, so the cost of a member does not grow with the fleet. The platform's list seeds the
//! members and vetoes those that it no longer holds. See `docs/design/membership.md`.
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
//! assert!(sent.iter().any(|out| &*out.to.id == "entry-2"));
//! ```

mod member;
mod membership;

pub use member::{Contact, Member, MemberState, Update};
pub use membership::{Membership, OutgoingMessage, ProbeMessage, Timing};

/// What nearly every user of the crate needs.
pub mod prelude {
    pub use crate::{
        Contact, Member, MemberState, Membership, OutgoingMessage, ProbeMessage, Timing, Update,
    };
}
