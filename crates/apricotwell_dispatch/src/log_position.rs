//! Position in the log of a feed, which may restart at lower offsets.
//!
//! A store that comes back from an older state ends its log before what was known. So does a late answer
//! of a store that runs on, whose entries must not replace newer ones. Only time tells the two apart: a log
//! that ends too early in all reads for a while has restarted.

use std::time::{Duration, Instant};

use apricotwell_types::Offset;

/// Time for which all reads must end too early until the log counts as restarted. It exceeds the timeout of
/// a read, and leaves half of the usual bound on drains (2 s) for reading the new log.
const RESTART_TIME: Duration = Duration::from_millis(1000);

/// How a page of the store relates to what is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PageOrder {
    /// It reaches at least as far.
    Current,
    /// Another instance told of later records while it was read, so it has nothing new.
    Overtaken,
    /// It ends too early and must not be applied.
    Behind,
    /// The log has restarted: the newest records are to be read.
    Restarted,
}

/// Offset up to which the log of a feed is known.
///
/// # Invariants
///
/// `known` falls only when the log counts as restarted.
#[derive(Debug, Default)]
pub struct LogPosition {
    known: Offset,
    // When the log was known to reach `known`.
    known_at: Option<Instant>,
    // Start of the first of the reads in a row that ended too early.
    behind_since: Option<Instant>,
    restarted_at: Option<Instant>,
}

impl LogPosition {
    /// Returns the offset up to which the log is known.
    pub fn known(&self) -> Offset {
        self.known
    }

    /// Records at `now` that the log is known up to `next`.
    pub fn advance(&mut self, now: Instant, next: Offset) {
        if next > self.known {
            self.known = next;
            self.known_at = Some(now);
        }
    }

    /// Compares a page that ends at `next` with what is known, and with what was known at `start`, when its read
    /// began.
    pub fn check_page(&mut self, start: Instant, known: Offset, next: Offset) -> PageOrder {
        if next >= known.min(self.known) {
            self.behind_since = None;
            return match next >= self.known {
                true => PageOrder::Current,
                false => PageOrder::Overtaken,
            };
        }
        let since = *self.behind_since.get_or_insert(start);
        if start.saturating_duration_since(since) < RESTART_TIME {
            return PageOrder::Behind;
        }
        self.restart(start);
        PageOrder::Restarted
    }

    /// Records that the log restarted, as the store came back from an older copy.
    pub fn restart(&mut self, now: Instant) {
        *self = Self {
            restarted_at: Some(now),
            ..Self::default()
        };
    }

    /// Returns whether an answer of another instance can be about this log: its view ended at `end` when the
    /// store answered it at `seen_at`.
    ///
    /// Otherwise one of the two instances has not noticed yet that the log restarted.
    pub fn accepts(&self, seen_at: Instant, end: Offset) -> bool {
        let is_shorter = end < self.known && self.known_at.is_some_and(|at| seen_at > at);
        let is_former = self.restarted_at.is_some_and(|at| seen_at < at);
        !is_shorter && !is_former
    }
}
