//! Fleet-wide token rate limits with escrowed grants.
//!
//! The lease holder of an organisation's shard owns its [`Bucket`]. Each entry instance owns an
//! [`Escrow`] of tokens that the bucket has granted for a short term, and admits requests from it
//! without sending a message. A lost message or a crashed instance can lose tokens but never create
//! any; `docs/design/limits.md` explains why.
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

/// Items that most users of the crate need.
pub mod prelude {
    pub use crate::{Bucket, BucketSnapshot, Escrow, EscrowReport, Grant, Rate};
}

/// Rate limit of an organisation over all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rate {
    /// Tokens refilled per second.
    pub per_second: Tokens,
    /// Capacity of the bucket: tokens that can be used at once after an idle period.
    pub burst: Tokens,
}

/// Id of a grant, unique within its bucket.
pub type GrantId = u64;

/// Tokens that a bucket grants to an instance for a limited term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Id of the grant.
    pub id: GrantId,
    /// Number of tokens granted.
    pub amount: Tokens,
    /// Time until the grant expires. The bucket counts from the grant, the instance from its
    /// earlier request, so the grant expires first at the instance.
    pub term: std::time::Duration,
}
