//! At-most-once claims on idempotency keys.
//!
//! The lease holder of a claim shard applies the records of the shard's stream to a [`ClaimTable`].
//! A request may be dispatched only after its own `KeyClaimed` record has been read back and has
//! won. A holder that has lost its lease reads the next holder's `StreamOpened` record before its
//! own claim, so it never grants a claim from a stale view. See `docs/design/claims.md`.
//!
//! # Examples
//!
//! ```
//! use apricotwell_claims::prelude::*;
//! use apricotwell_records::prelude::*;
//!
//! let mut table = ClaimTable::default();
//! let opened =
//!     ClaimRecord { fence: 4, written_ms: 0, body: Some(ClaimBody::StreamOpened(StreamOpened {})) };
//! table.apply(1, &opened);
//! let claimed = KeyClaimed { key: vec![1; 16], body: vec![2; 16], attempt: "a".into() };
//! table.apply(
//!     2,
//!     &ClaimRecord { fence: 4, written_ms: 0, body: Some(ClaimBody::KeyClaimed(claimed)) },
//! );
//! let verdict = table.verdict(BodyDigest([1; 16]), BodyDigest([2; 16]), "a");
//! assert_eq!(verdict, Verdict::Granted);
//! ```

mod table;

pub use apricotwell_types::BodyDigest;
pub use table::{ClaimOutcome, ClaimTable, RecordedAnswer, Verdict};

/// Items that most users of the crate need.
pub mod prelude {
    pub use crate::{BodyDigest, ClaimOutcome, ClaimTable, RecordedAnswer, Verdict};
}
