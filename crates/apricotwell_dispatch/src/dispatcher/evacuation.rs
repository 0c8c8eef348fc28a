//! Evacuation of zones.

use std::time::Instant;

use apricotwell_types::ZoneId;

use super::Dispatcher;
use crate::evacuation::EvacuationChange;

impl Dispatcher {
    /// Applies an operator's record of a zone's evacuation; returns the change, `None` if the state
    /// was known already.
    pub fn apply_evacuation(
        &mut self,
        now: Instant,
        zone: &ZoneId,
        is_evacuated: bool,
    ) -> Option<EvacuationChange> {
        let change = self.backends.evacuations.apply(zone, is_evacuated);
        if change.is_some() && !is_evacuated {
            self.warmups.record_restored(now, zone);
        }
        change
    }

    /// Ends the evacuations that are missing from the complete list of the store; returns the
    /// changes.
    pub fn retain_evacuations(&mut self, now: Instant, listed: &[ZoneId]) -> Vec<EvacuationChange> {
        let changes = self.backends.evacuations.retain_listed(listed);
        for change in &changes {
            if let EvacuationChange::Restored(zone) = change {
                self.warmups.record_restored(now, zone);
            }
        }
        changes
    }
}
