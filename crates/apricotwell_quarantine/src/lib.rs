//! Recognises parts of requests that crash every server that begins to answer them.
//!
//! A request consists of parts, from the one that most requests share to the request as a whole. When
//! a server ends, the requests that it was beginning to answer are recorded. A part is quarantined
//! once several servers have ended under it and no answer with it was completed since. An answer
//! that continues, or is complete, shows that all its parts are sound.
//!
//! - Servers that end together, such as those of a zone, count once, so that a part needs several
//!   separate crashes.
//! - A crash that a quarantined part explains counts for no other part alone. Of parts that explain
//!   the same crashes, the most specific is quarantined: if it is a more general one after all, the
//!   next crash shows it.
//! - A quarantined part is tried again after a time that doubles with each trial, by one instance.
//!
//! Instances exchange their records, so that each decides by what the whole fleet has seen. Nothing
//! here does I/O.
//!
//! # Examples
//!
//! ```
//! use std::time::{Duration, Instant};
//! use apricotwell_quarantine::prelude::*;
//!
//! let mut quarantine = Quarantine::default();
//! let start = Instant::now();
//! for second in 0..3 {
//!     let at = start + Duration::from_secs(second);
//!     let request = CrashedRequest {
//!         parts: vec![1, 7, 100 + second],
//!         sent_at: at,
//!         is_retry: false,
//!     };
//!     let crash = Crash {
//!         server: format!("server-{second}").into(),
//!         started_ms: 1,
//!         at,
//!         requests: vec![request],
//!     };
//!     quarantine.record_crash(crash);
//!     quarantine.record_sound(start + Duration::from_secs(second), &[1, 2, 50]);
//! }
//! assert_eq!(quarantine.blocked_part(&[1, 7, 200]), Some(7));
//! assert_eq!(quarantine.blocked_part(&[1, 2, 201]), None);
//! ```

mod crash;
mod exchange;
mod quarantine;
mod tally;

pub use crash::{Crash, CrashedRequest};
pub use exchange::SharedQuarantine;
pub use quarantine::{BlockedPart, NextAttempt, PartId, Quarantine, QuarantineChange, SoundPart};

/// Types that nearly every user of the crate needs.
pub mod prelude {
    pub use crate::{
        BlockedPart, Crash, CrashedRequest, NextAttempt, PartId, Quarantine, QuarantineChange,
        SharedQuarantine, SoundPart,
    };
}
