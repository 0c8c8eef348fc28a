//! Availability zones that an operator has evacuated.
//!
//! No new requests and no orders are sent to the servers of an evacuated zone; running streams
//! continue. The last known state stays in force while the store can't be read.

use std::collections::BTreeSet;

use apricotwell_types::ZoneId;

/// Change of a zone's evacuation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuationChange {
    /// The zone was evacuated.
    Evacuated(ZoneId),
    /// The evacuation of the zone ended.
    Restored(ZoneId),
}

/// Evacuated zones.
#[derive(Clone, Debug, Default)]
pub struct EvacuationTable {
    zones: BTreeSet<ZoneId>,
}

impl EvacuationTable {
    /// Returns whether a zone is evacuated.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        // Selections ask this for every server, and the table is almost always empty.
        !self.zones.is_empty() && self.zones.iter().any(|evacuated| **evacuated == *zone)
    }

    /// Returns the number of evacuated zones.
    pub fn len(&self) -> usize {
        self.zones.len()
    }

    /// Returns whether no zone is evacuated.
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// Applies an operator's record; returns the change, `None` if the state was known already.
    pub fn apply(&mut self, zone: &ZoneId, is_evacuated: bool) -> Option<EvacuationChange> {
        if is_evacuated {
            let is_new = self.zones.insert(zone.clone());
            is_new.then(|| EvacuationChange::Evacuated(zone.clone()))
        } else {
            let was_evacuated = self.zones.remove(zone);
            was_evacuated.then(|| EvacuationChange::Restored(zone.clone()))
        }
    }

    /// Ends the evacuations that `listed`, the complete list of the store, does not have; returns
    /// the changes.
    pub fn retain_listed(&mut self, listed: &[ZoneId]) -> Vec<EvacuationChange> {
        let ended: Vec<ZoneId> = self
            .zones
            .iter()
            .filter(|zone| !listed.contains(zone))
            .cloned()
            .collect();
        self.zones.retain(|zone| listed.contains(zone));
        ended.into_iter().map(EvacuationChange::Restored).collect()
    }
}
