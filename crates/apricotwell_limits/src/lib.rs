//! Fleet-wide token rates by escrow.
//!
//! The holder of an organisation's shard keeps one [`Bucket`]. Entry instances keep an [`Escrow`]
//! of tokens that the bucket granted for a short term, and admit requests from it without a
//! message. A lost message or instance loses tokens and never makes them; the argument is in
//! `docs/design/limits.md`.
//!
//! # Examples
//!
//! ```
//! use std::time::{Duration, Instant};
//! use apricotwell_limits::prelude::*;
//!
//! let start = Instant::now();
//! let rate = Rate { per_second: 100, burst: 500 };
//! let mut bucket = Bucket::full(start, rate, Duration::from_secs(2));
//! let mut escrow = Escrow::new(7);
//! let grant = bucket.grant(start, "entry-1", 300).unwrap();
//! escrow.add(start, grant);
//! assert!(escrow.take(start, 250));
//! assert!(!escrow.take(start, 250));
//! ```

mod bucket;
mod escrow;

use apricotwell_types::Tokens;

pub use bucket::{Bucket, BucketSnapshot};
pub use escrow::{Escrow, EscrowReport};

/// What nearly every user of the crate needs.
pub mod prelude {
    pub use crate::{Bucket, BucketSnapshot, Escrow, EscrowReport, Grant, Rate};
}

/// Rate of an organisation over all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rate {
    /// Tokens a second.
    pub per_second: Tokens,
    /// Tokens that can be used at once after a pause.
    pub burst: Tokens,
}

/// Number of a grant, unique for one bucket.
pub type GrantId = u64;

/// Tokens that a bucket lends to an instance for a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Number.
    pub id: GrantId,
    /// Tokens.
    pub amount: Tokens,
    /// Term, counted by the bucket from the grant and by the instance from its request.
    pub term: std::time::Duration,
}
