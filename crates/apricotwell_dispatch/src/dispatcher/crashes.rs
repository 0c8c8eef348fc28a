//! Requests with quarantined parts, and what the heartbeats tell of crashes.

use std::time::{Duration, Instant};

use apricotwell_messages::CrashKnowledge;
use apricotwell_quarantine::prelude::*;
use apricotwell_types::{Refusal, RefusalKind, rendezvous_owner};

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
    /// Returns the refusal of a request with a quarantined part, `None` if it may run.
    ///
    /// Now and then one instance of the fleet lets such a request run, to learn whether the part
    /// still crashes servers.
    pub fn check_quarantine(&mut self, now: Instant, parts: &[PartId]) -> Option<Refusal> {
        let part = self.crashes.quarantine.blocked_part(parts)?;
        if self.owns_trials(part) && self.crashes.quarantine.take_trial(now, part) {
            return None;
        }
        let text = "servers crashed when they began to answer requests with a part of this one; \
                    change it or ask your operator";
        let refusal = Refusal::not_run(RefusalKind::Quarantined, text);
        Some(refusal.with_retry_after(QUARANTINE_RETRY_AFTER))
    }

    /// Returns what this instance knows of crashes, for its heartbeats.
    pub(super) fn crash_knowledge(&mut self, now: Instant) -> Option<CrashKnowledge> {
        let instances = self.peers.possible_count();
        let time = heartbeat_interval(instances as u32) * REPORTED_INTERVALS;
        let count = (PARTS_PER_ROUND / instances).clamp(1, MAX_PARTS);
        self.crashes.knowledge(now, time, count)
    }

    // Returns whether this instance is the one that tries a quarantined part again.
    fn owns_trials(&self, part: PartId) -> bool {
        let targets = self.peers.heartbeat_targets();
        let others = targets.iter().map(|instance| &**instance);
        let own: &str = &self.config.id;
        rendezvous_owner(part, others.chain([own])) == Some(own)
    }
}
