//! Times in which this process was not scheduled.
//!
//! A call that fails meanwhile, and silence of others, say nothing of them: their answers may lie unread.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::freshness::SCHEDULING_GAP;

/// Interval at which beats are due, and so the error of the beginning of a standstill.
pub const BEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a beat from which on the process counts as having stood still.
const MIN_STANDSTILL: Duration = SCHEDULING_GAP;
/// Standstills that are remembered.
const MAX_STANDSTILLS: usize = 16;

/// A time between two beats in which the process was not scheduled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standstill {
    /// Last beat before it.
    pub from: Instant,
    /// First beat after it, or the current time.
    pub to: Instant,
}

impl Standstill {
    // Returns how much of the time between two instants it takes.
    fn overlap(&self, from: Instant, to: Instant) -> Duration {
        let end = self.to.min(to);
        end.saturating_duration_since(self.from.max(from))
    }
}

/// Recent standstills of this process.
///
/// # Invariants
///
/// `recent` holds at most `MAX_STANDSTILLS`, oldest first, none of which overlap.
#[derive(Debug, Default)]
pub struct Standstills {
    last_beat: Option<Instant>,
    recent: VecDeque<Standstill>,
}

impl Standstills {
    /// Records that the process is scheduled; to be called at each [`BEAT_INTERVAL`].
    pub fn record_beat(&mut self, now: Instant) {
        if let Some(standstill) = self.current(now) {
            if self.recent.len() == MAX_STANDSTILLS {
                self.recent.pop_front();
            }
            self.recent.push_back(standstill);
        }
        self.last_beat = Some(now);
    }

    // Returns the standstill that ends now, before the beat that shows it.
    fn current(&self, now: Instant) -> Option<Standstill> {
        let from = self.last_beat?;
        let is_long = now.saturating_duration_since(from) >= MIN_STANDSTILL;
        is_long.then_some(Standstill { from, to: now })
    }

    /// Returns the latest standstill that ended after `since`.
    pub fn latest(&self, now: Instant, since: Instant) -> Option<Standstill> {
        let latest = self.current(now).or(self.recent.back().copied())?;
        (latest.to > since).then_some(latest)
    }

    /// Returns for how much of the time between two instants the process stood still.
    pub fn time_within(&self, now: Instant, from: Instant, to: Instant) -> Duration {
        let standstills = self.recent.iter().copied().chain(self.current(now));
        standstills.map(|it| it.overlap(from, to)).sum()
    }
}
