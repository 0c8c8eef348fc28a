//! At-most-once claims on idempotency keys.
//!
//! The holder of a claim shard folds the shard's stream into a [`ClaimTable`]. A request may be
//! dispatched only once its own `Claimed` record was read back and won. A holder whose lease has
//! moved finds the next holder's `Opened` record before its own claim and so never grants on a
//! stale view. See `docs/design/claims.md`.
//!
//! # Examples
//!
//! ```
//! use apricotwell_claims::prelude::*;
//! use apricotwell_records::prelude::*;
//!
//! let mut table = ClaimTable::default();
//! let opened = ClaimRecord { fence: 4, written: 0, body: Some(ClaimBody::Opened(Opened {})) };
//! table.apply(1, &opened);
//! let claimed = Claimed { key: vec![1; 16], body: vec![2; 16], attempt: "a".into() };
//! table.apply(2, &ClaimRecord { fence: 4, written: 0, body: Some(ClaimBody::Claimed(claimed)) });
//! let verdict = table.verdict(BodyDigest([1; 16]), BodyDigest([2; 16]), "a");
//! assert_eq!(verdict, Verdict::Granted);
//! ```

mod table;

pub use apricotwell_types::BodyDigest;
pub use table::{ClaimOutcome, ClaimTable, RecordedAnswer, Verdict};

/// What nearly every user of the crate needs.
pub mod prelude {
    pub use crate::{BodyDigest, ClaimOutcome, ClaimTable, RecordedAnswer, Verdict};
}
