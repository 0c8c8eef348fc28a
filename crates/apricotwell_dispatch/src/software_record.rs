//! The store's record of software versions, and the changes that instances make to it.
//!
//! A version leaves the record in two steps: it is marked, and removed once the mark has stood for the
//! lifetime of a stream. An instance relies on a version only if its mark is absent, and else replaces
//! the record. So the removal, which is conditional on the record that was read, fails if any instance
//! has relied on the version since the mark.
//!
//! A store that comes back from an older copy may have lost versions. So a record names the era of the store in
//! which an instance that knew all versions from before vouched for it; one of an earlier era may lack some.

use std::collections::BTreeMap;

use apricotwell_messages::{LeavingVersion, SoftwareRecord};
use apricotwell_types::StoreEra;

use crate::catalog::ServiceId;
use crate::software::{
    ListedSoftware, SoftwareVersion, VersionSet, decode_record, encode_record, known_version,
};

/// Marks of the versions of each service that are about to leave the record.
pub type VersionMarks = BTreeMap<ServiceId, BTreeMap<Option<SoftwareVersion>, u64>>;

/// Versions that the record names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecordedSoftware {
    /// Versions of each service.
    pub versions: ListedSoftware,
    // Marks of some of them.
    marks: VersionMarks,
    // Eras in which an instance vouched for the records of services.
    eras: BTreeMap<ServiceId, StoreEra>,
}

/// Versions that are to leave the record.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Departures {
    /// Versions that are to be marked.
    pub absent: ListedSoftware,
    /// Versions that are to be removed, with the marks that allow it.
    pub retired: VersionMarks,
}

impl Departures {
    /// Returns whether no version is to leave.
    pub fn is_empty(&self) -> bool {
        self.absent.is_empty() && self.retired.is_empty()
    }
}

impl RecordedSoftware {
    /// Adds the record of a service.
    pub fn insert(&mut self, service: ServiceId, record: &SoftwareRecord) {
        let versions = decode_record(record);
        let marks = record.leaving.iter().map(|leaving| {
            let version = leaving.version.as_deref().and_then(known_version);
            (version, leaving.mark)
        });
        let marks = marks.filter(|(version, _)| versions.contains(version));
        self.marks.insert(service.clone(), marks.collect());
        match record.vouched_era {
            Some(era) => self.eras.insert(service.clone(), era),
            None => self.eras.remove(&service),
        };
        self.versions.insert(service, versions);
    }

    /// Returns the record of a service.
    pub fn encode(&self, service: &str) -> SoftwareRecord {
        let empty = VersionSet::default();
        let marks = self.marks.get(service).into_iter().flatten();
        let leaving = marks.map(|(version, mark)| LeavingVersion {
            version: version.as_ref().map(ToString::to_string),
            mark: *mark,
        });
        SoftwareRecord {
            leaving: leaving.collect(),
            vouched_era: self.eras.get(service).copied(),
            ..encode_record(self.versions.get(service).unwrap_or(&empty))
        }
    }

    /// Returns the mark of a version that is about to leave.
    pub fn mark(&self, service: &str, version: &Option<SoftwareVersion>) -> Option<u64> {
        self.marks.get(service)?.get(version).copied()
    }

    /// Returns whether the record names all versions that may have begun streams, as somebody vouched for it in
    /// this era, or as the store or the build that wrote it knows no eras.
    pub fn is_vouched(&self, era: Option<StoreEra>) -> bool {
        era.is_none_or(|era| {
            !self.versions.is_empty() && self.eras.values().all(|vouched| *vouched == era)
        })
    }

    /// Vouches for the record in an era; an instance that can't names it only where there is no record yet.
    pub fn vouch(&mut self, stored: &Self, era: Option<StoreEra>, is_complete: bool) {
        let Some(era) = era else {
            return;
        };
        for service in self.versions.keys() {
            if is_complete {
                self.eras.insert(service.clone(), era);
            } else if !stored.versions.contains_key(service) {
                self.eras.insert(service.clone(), SoftwareRecord::NO_ERA);
            }
        }
    }

    /// Returns the versions that this record or `others` name.
    pub fn versions_with(&self, others: &ListedSoftware) -> ListedSoftware {
        let mut all = self.versions.clone();
        for (service, versions) in others {
            let known = all.entry(service.clone()).or_default();
            known.extend(versions.iter().cloned());
        }
        all
    }

    /// Returns whether the record names a version that is not about to leave.
    pub fn is_settled(&self, service: &str, version: &Option<SoftwareVersion>) -> bool {
        let versions = self.versions.get(service);
        let is_named = versions.is_some_and(|versions| versions.contains(version));
        is_named && self.mark(service, version).is_none()
    }

    /// Returns the record as it should be while servers of the `listed` versions are in the list;
    /// `mark` is the number of a departure that begins now.
    pub fn updated(&self, listed: &ListedSoftware, departures: &Departures, mark: u64) -> Self {
        let mut wanted = self.clone();
        for (service, versions) in &departures.retired {
            for (version, mark) in versions {
                if self.mark(service, version) == Some(*mark) {
                    wanted.remove(service, version);
                }
            }
        }
        for (service, versions) in &departures.absent {
            let versions = versions.iter().filter(|it| self.is_settled(service, it));
            let marks = wanted.marks.entry(service.clone()).or_default();
            marks.extend(versions.map(|version| (version.clone(), mark)));
        }
        for (service, versions) in listed {
            let named = wanted.versions.entry(service.clone()).or_default();
            named.extend(versions.iter().cloned());
            if let Some(marks) = wanted.marks.get_mut(service) {
                marks.retain(|version, _| !versions.contains(version));
            }
        }
        wanted
    }

    /// Returns the services for which `other` has another record.
    pub fn changed_services(&self, other: &Self) -> Vec<ServiceId> {
        let services = other.versions.keys();
        let changed = services.filter(|service| self.encode(service) != other.encode(service));
        changed.cloned().collect()
    }

    fn remove(&mut self, service: &ServiceId, version: &Option<SoftwareVersion>) {
        if let Some(versions) = self.versions.get_mut(service) {
            versions.remove(version);
        }
        if let Some(marks) = self.marks.get_mut(service) {
            marks.remove(version);
        }
    }
}
