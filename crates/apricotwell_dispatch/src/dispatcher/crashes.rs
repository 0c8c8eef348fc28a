//! Requests with quarantined parts, and what the heartbeats tell of crashes.

use std::time::{Duration, Instant};

use apricotwell_messages::CrashKnowledge;
use apricotwell_quarantine::prelude::*;
use apricotwell_types::{Refusal, RefusalKind};

use super::Dispatcher;
use crate::peers::heartbeat_interval;

/// Heartbeat intervals for which a crash is reported.
const REPORTED_INTERVALS: u32 = 3;
/// Sound and quarantined parts, each, that one instance hears from all others together in one
/// heartbeat interval. An instance that starts needs each part from one of them only.
const PARTS_PER_ROUND: usize = 256;
/// The same in one heartbeat, at most.
const MAX_PARTS: usize = 32;
/// Retry delay sent to clients whose request has a quarantined part.
const QUARANTINE_RETRY_AFTER: Duration = Duration::from_secs(60);

impl Dispatcher {
    /// Checks a request; returns the quarantined part that it may be sent with as a trial, `None` if
    /// it has no such part.
    ///
    /// Now and then one instance of the fleet lets a request with a quarantined part run, to learn
    /// whether the part still crashes servers.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request that must not run.
    pub fn check_quarantine(
        &self,
        now: Instant,
        parts: &[PartId],
    ) -> Result<Option<PartId>, Refusal> {
        let quarantine = &self.crashes.quarantine;
        let mut blocked = quarantine.blocked_parts(parts);
        let Some(part) = blocked.next() else {
            return Ok(None);
        };
        if blocked.next().is_none() && self.owns_trials(now) && quarantine.is_trial_due(now, part) {
            return Ok(Some(part));
        }
        let text = "servers crashed when they began to answer requests with a part of this one; \
                    change it or ask your operator";
        let refusal = Refusal::not_run(RefusalKind::Quarantined, text);
        Err(refusal.with_retry_after(QUARANTINE_RETRY_AFTER))
    }

    /// Counts a trial right before its request is sent; returns `false` if another request was.
    pub fn start_trial(&mut self, now: Instant, part: PartId) -> bool {
        self.owns_trials(now) && self.crashes.quarantine.take_trial(now, part)
    }

    /// Returns what this instance knows of crashes, for its heartbeats.
    pub(super) fn crash_knowledge(&mut self, now: Instant) -> Option<CrashKnowledge> {
        let instances = self.peers.possible_count();
        let time = heartbeat_interval(instances as u32) * REPORTED_INTERVALS;
        let count = (PARTS_PER_ROUND / instances).clamp(1, MAX_PARTS);
        self.crashes.knowledge(now, time, count)
    }

    // Returns whether this instance is the one that tries quarantined parts again. Instances that
    // started together or are cut off from each other would each take themselves for the one that a
    // hash names; the lease has one holder.
    fn owns_trials(&self, now: Instant) -> bool {
        self.lease.fence(now).is_some()
    }
}
