//! Software versions of the servers of each service, as far as streams depend on them.
//!
//! A stream may go on only at the software version that began it, and a client may resume it at any
//! instance, even after all of them were restarted. So the store keeps a record of the versions that
//! may have begun streams of each service. A server begins streams only once its version is known to
//! be in the record, and a version leaves the record once no stream of it can be resumed anymore.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use apricotwell_messages::SoftwareRecord;
use apricotwell_types::StoreEra;

use crate::backends::BackendEntry;
use crate::catalog::ServiceId;
use crate::software_record::{Departures, RecordedSoftware};

/// Version of a server's software.
pub type SoftwareVersion = Arc<str>;
/// Versions of the servers of one service; `None` stands for servers of unknown versions.
pub type VersionSet = BTreeSet<Option<SoftwareVersion>>;
/// Versions of all listed servers, by service.
pub type ListedSoftware = BTreeMap<ServiceId, VersionSet>;

/// Longest version that is known; a longer one would crowd out others in the store's record.
const MAX_VERSION_BYTES: usize = 128;
/// Longest time between two observations of the list of servers after which absences still count.
const MAX_OBSERVATION_GAP: Duration = Duration::from_secs(3);
/// Time without a current list of servers after which an instance may have missed versions that began streams
/// elsewhere.
const MAX_BLIND_TIME: Duration = Duration::from_secs(10);
/// Time after a change of the store's era in which other instances may still add what they know to the record.
const VOUCH_DELAY: Duration = Duration::from_secs(2);
/// Absence after which the record marks a version, so that the restart of its only server costs no
/// append.
const MARK_DELAY: Duration = Duration::from_secs(3);
/// Lifetimes of a stream after which an absent version has left the record, if the lease does not move:
/// one for the mark, and time for the appends.
const MIXED_LIFETIMES: u32 = 2;

/// Returns the version that a text states, `None` if it counts as unknown.
pub fn known_version(text: &str) -> Option<SoftwareVersion> {
    let is_known = !text.is_empty() && text.len() <= MAX_VERSION_BYTES;
    is_known.then(|| text.into())
}

/// Decodes a record of the store.
pub fn decode_record(record: &SoftwareRecord) -> VersionSet {
    let versions = record.versions.iter().map(|text| known_version(text));
    let unknown = record.has_unknown.then_some(None);
    versions.chain(unknown).collect()
}

/// Encodes a record of the store.
pub fn encode_record(versions: &VersionSet) -> SoftwareRecord {
    let known = versions.iter().flatten();
    SoftwareRecord {
        versions: known.map(ToString::to_string).collect(),
        has_unknown: versions.contains(&None),
        ..SoftwareRecord::default()
    }
}

/// Returns the versions of the entries, by service.
pub fn listed_software<'a, I>(entries: I) -> ListedSoftware
where
    I: IntoIterator<Item = &'a BackendEntry>,
{
    let mut listed = ListedSoftware::default();
    for entry in entries {
        let versions = listed.entry(entry.service.clone()).or_default();
        versions.insert(entry.software.clone());
    }
    listed
}

/// What this instance knows of the store's record.
///
/// # Invariants
///
/// A version is confirmed only while it has been listed without a gap since a read or an append
/// showed that the record names it without a mark. A version leaves the record only after a long
/// absence from the list and a mark of the same age, so the record names each confirmed version. When the era of
/// the store changes, none is confirmed, and those known from before are owed to the record.
#[derive(Debug, Default)]
pub struct SoftwareTable {
    confirmed: ListedSoftware,
    // Versions that the record named when it was last read.
    recorded: BTreeMap<ServiceId, BTreeMap<Option<SoftwareVersion>, Departure>>,
    observed_at: Option<Instant>,
    requires_record: bool,
    // Versions that were listed, and when last.
    seen: BTreeMap<ServiceId, BTreeMap<Option<SoftwareVersion>, Instant>>,
    // Versions of an earlier era that the record may lack.
    owed: ListedSoftware,
    era: Option<StoreEra>,
    // When the list of servers was last observed to be current.
    current_at: Option<Instant>,
    // When the record was first read.
    read_at: Option<Instant>,
    // Whether all versions that may have begun streams are known: in the record, owed or listed.
    is_complete: bool,
    // Whether somebody has vouched for the record in this era, as far as it was read or appended.
    is_vouched: bool,
    // When the era has changed, until the others had time to add what they know.
    changed_at: Option<Instant>,
}

// What is known of a recorded version that may leave.
#[derive(Clone, Copy, Debug, Default)]
struct Departure {
    // Since when it has been observed to be absent from the list of servers.
    absent_since: Option<Instant>,
    // Its mark and when it was first read or appended.
    mark: Option<(u64, Instant)>,
}

impl Departure {
    fn is_absent_for(&self, now: Instant, time: Duration) -> bool {
        let since = self.absent_since;
        since.is_some_and(|since| now.saturating_duration_since(since) >= time)
    }

    // Returns the mark if it and the absence have stood for a time.
    fn mark_for(&self, now: Instant, time: Duration) -> Option<u64> {
        let (mark, since) = self.mark?;
        let has_stood = now.saturating_duration_since(since) >= time;
        (has_stood && self.is_absent_for(now, time)).then_some(mark)
    }
}

impl SoftwareTable {
    /// Makes servers begin streams only once the record names their versions.
    pub fn require_record(&mut self) {
        self.requires_record = true;
    }

    /// Returns whether a server may begin a stream.
    pub fn may_begin(&self, entry: &BackendEntry) -> bool {
        !self.requires_record || self.is_confirmed(&entry.service, &entry.software)
    }

    fn is_confirmed(&self, service: &str, version: &Option<SoftwareVersion>) -> bool {
        let versions = self.confirmed.get(service);
        versions.is_some_and(|versions| versions.contains(version))
    }

    /// Records which versions are listed at `now`; `is_current` states whether the list is no older
    /// than other instances rely on.
    pub fn observe(&mut self, now: Instant, is_current: bool, listed: &ListedSoftware) {
        let is_listed = |service: &ServiceId, version: &Option<SoftwareVersion>| {
            let versions = listed.get(service);
            versions.is_some_and(|versions| versions.contains(version))
        };
        let gap = self.observed_at.map(|at| now.saturating_duration_since(at));
        let has_gap = gap.is_none_or(|gap| gap > MAX_OBSERVATION_GAP);
        self.observed_at = Some(now);
        if has_gap {
            self.confirmed.clear();
        }
        if is_current {
            self.current_at = Some(now);
        }
        for (service, versions) in listed {
            let seen = self.seen.entry(service.clone()).or_default();
            seen.extend(versions.iter().map(|version| (version.clone(), now)));
        }
        for (service, versions) in &mut self.confirmed {
            versions.retain(|version| is_listed(service, version));
        }
        for (service, versions) in &mut self.recorded {
            for (version, departure) in versions {
                let is_absent = is_current && !has_gap && !is_listed(service, version);
                departure.absent_since = match (is_absent, departure.absent_since) {
                    (false, _) => None,
                    (true, None) => Some(now),
                    (true, since) => since,
                };
            }
        }
    }

    /// Forgets versions that were listed last before the `lifetime` of a stream.
    pub fn expire(&mut self, now: Instant, lifetime: Duration) {
        for versions in self.seen.values_mut() {
            versions.retain(|_, at| now.saturating_duration_since(*at) < lifetime);
        }
        // Streams from before the first read can't be resumed any longer.
        let is_old = |at: Instant| now.saturating_duration_since(at) >= lifetime;
        self.is_complete |= self.read_at.is_some_and(is_old);
        let is_settled = |at: &Instant| now.saturating_duration_since(*at) >= VOUCH_DELAY;
        self.changed_at = self.changed_at.filter(|at| !is_settled(at));
    }

    /// Records the era of the store; returns whether it has changed, so that the record may lack versions.
    pub fn observe_era(&mut self, now: Instant, lifetime: Duration, era: Option<StoreEra>) -> bool {
        let known = self.era;
        self.era = era.or(known);
        if known.is_none() || known == self.era {
            return false;
        }
        self.owed = self.remembered(now, lifetime);
        self.changed_at = Some(now);
        self.confirmed.clear();
        self.is_vouched = false;
        let was_blind = |at: Instant| now.saturating_duration_since(at) > MAX_BLIND_TIME;
        self.is_complete &= !self.current_at.is_none_or(was_blind);
        true
    }

    /// Returns the versions that the record must name besides the listed ones, as they were in the record or
    /// listed before the store lost its last records.
    pub fn owed(&self) -> &ListedSoftware {
        &self.owed
    }

    /// Returns whether this instance is to complete the record after the era has changed.
    pub fn needs_vouching(&self) -> bool {
        let is_due = self.may_vouch() && self.read_at.is_some();
        self.era.is_some() && !self.is_vouched && (is_due || !self.owed.is_empty())
    }

    /// Returns whether this instance may vouch for the record: it knows all versions that may have begun streams,
    /// except those that another one recorded just before the era changed, and that one had time to add them.
    pub fn may_vouch(&self) -> bool {
        self.is_complete && self.changed_at.is_none()
    }

    /// Returns whether this instance knows all versions that may have begun streams.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Returns all versions that are known to have been recorded or listed within the `lifetime` of a stream.
    pub fn remembered(&self, now: Instant, lifetime: Duration) -> ListedSoftware {
        let mut remembered = self.owed.clone();
        for (service, versions) in &self.recorded {
            let left = versions
                .iter()
                .filter(|(_, it)| !it.is_absent_for(now, lifetime));
            let known = remembered.entry(service.clone()).or_default();
            known.extend(left.map(|(version, _)| version.clone()));
        }
        for (service, versions) in &self.seen {
            let known = remembered.entry(service.clone()).or_default();
            known.extend(versions.keys().cloned());
        }
        remembered
    }

    /// Returns the versions that may have begun streams, by the record as it was just read in `era`; `None` if it
    /// may lack some that this instance does not know either.
    pub fn possible_versions(
        &self,
        now: Instant,
        lifetime: Duration,
        record: &RecordedSoftware,
        era: Option<StoreEra>,
    ) -> Option<ListedSoftware> {
        if record.is_vouched(era) {
            return Some(record.versions.clone());
        }
        self.is_complete
            .then(|| record.versions_with(&self.remembered(now, lifetime)))
    }

    /// Records that the store's record was read for the first time; `is_first` is whether there was no instance
    /// before.
    pub fn record_read(&mut self, now: Instant, record: &RecordedSoftware, is_first: bool) {
        if record.is_vouched(self.era) || (is_first && record.versions.is_empty()) {
            self.is_complete = true;
        }
        self.read_at.get_or_insert(now);
    }

    /// Returns the listed versions that are not known to be in the record.
    pub fn unconfirmed(&self, listed: &ListedSoftware) -> ListedSoftware {
        let mut missing = ListedSoftware::default();
        for (service, versions) in listed {
            let versions = versions.iter().filter(|it| !self.is_confirmed(service, it));
            let versions: VersionSet = versions.cloned().collect();
            if !versions.is_empty() {
                missing.insert(service.clone(), versions);
            }
        }
        missing
    }

    /// Records what the store's record names, as a read or an append showed that was begun while
    /// `listed` were the listed versions. What it lacks is no longer confirmed.
    pub fn apply_record(
        &mut self,
        now: Instant,
        record: &RecordedSoftware,
        listed: &ListedSoftware,
    ) {
        for (service, versions) in listed {
            let confirmed = self.confirmed.entry(service.clone()).or_default();
            confirmed.extend(versions.iter().cloned());
        }
        for (service, versions) in &mut self.confirmed {
            versions.retain(|version| record.is_settled(service, version));
        }
        for (service, versions) in &mut self.owed {
            let named = record.versions.get(service);
            versions.retain(|version| !named.is_some_and(|named| named.contains(version)));
        }
        self.owed.retain(|_, versions| !versions.is_empty());
        self.is_vouched = record.is_vouched(self.era);
        let mut known = std::mem::take(&mut self.recorded);
        for (service, versions) in &record.versions {
            let mut before = known.remove(service).unwrap_or_default();
            let versions = versions.iter().map(|version| {
                let before = before.remove(version).unwrap_or_default();
                let mark = record.mark(service, version);
                let mark = mark.map(|mark| match before.mark {
                    Some(known) if known.0 == mark => known,
                    _ => (mark, now),
                });
                (version.clone(), Departure { mark, ..before })
            });
            self.recorded.insert(service.clone(), versions.collect());
        }
    }

    /// Returns the recorded versions that are to be marked, and those whose mark and absence from the
    /// list have stood for `lifetime`.
    pub fn departures(&self, now: Instant, lifetime: Duration) -> Departures {
        let mut departures = Departures::default();
        for (service, versions) in &self.recorded {
            for (version, departure) in versions {
                if let Some(mark) = departure.mark_for(now, lifetime) {
                    let marks = departures.retired.entry(service.clone()).or_default();
                    marks.insert(version.clone(), mark);
                } else if departure.mark.is_none() && departure.is_absent_for(now, MARK_DELAY) {
                    let absent = departures.absent.entry(service.clone()).or_default();
                    absent.insert(version.clone());
                }
            }
        }
        departures
    }

    /// Returns whether streams of several versions of one service may be resumed: the record named them
    /// when it was last read, and more than one may still be in it.
    pub fn is_mixed(&self, now: Instant, lifetime: Duration) -> bool {
        let lifetime = lifetime.saturating_mul(MIXED_LIFETIMES);
        self.recorded.values().any(|versions| {
            let is_left = |it: &&Departure| !it.is_absent_for(now, lifetime);
            versions.values().filter(is_left).count() > 1
        })
    }
}

/// Version of a stream that a client resumes, as far as the store's record tells it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordedVersion {
    /// No other version can have begun it, and no other service.
    Only(ServiceId, SoftwareVersion),
    /// Several may have begun it.
    Several,
    /// No known version can have begun it.
    Unknown,
}

/// Returns which version began a stream of one of `services`. Equal versions of two services count as
/// different ones.
pub fn recorded_version<'a, I>(record: &ListedSoftware, services: I) -> RecordedVersion
where
    I: IntoIterator<Item = &'a ServiceId>,
{
    let mut versions = Vec::new();
    for service in services {
        let named = record.get(service).into_iter().flatten();
        versions.extend(named.map(|version| (service, version)));
    }
    versions.sort_unstable();
    versions.dedup();
    match versions[..] {
        [(service, Some(version))] => RecordedVersion::Only(service.clone(), version.clone()),
        [] | [(_, None)] => RecordedVersion::Unknown,
        _ => RecordedVersion::Several,
    }
}
