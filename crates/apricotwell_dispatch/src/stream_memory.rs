//! Versions of the streams that an instance began, for clients that resume them while the store's
//! record names several versions.
//!
//! A stream is known by its request, which a resumption repeats, and by its attempt id. Equal requests
//! may have begun streams at different versions, so what one instance remembers of a request counts
//! only together with what all others remember, and only for clients that do not name the attempt.
//!
//! Before an instance delivers the first event of a stream, it tells another one of it, which remembers it
//! if the first one is killed before the stream is in the store's log.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use apricotwell_messages::{SoftwareRecord, StreamAnswer, StreamBatch, StreamQuery};
use apricotwell_types::{InstanceId, Map};

use crate::saved_streams::SavedStreams;
use crate::software::{ListedSoftware, SoftwareVersion, VersionSet, decode_record, encode_record};

/// Hash of a request or of an attempt id.
pub type StreamKey = u64;

/// Key of an attempt that a client did not name.
pub const UNNAMED: StreamKey = 0;

/// Largest number of remembered hashes, two for each stream. At the target size an instance begins 120
/// streams per second, which are remembered for 77 s: 18,480 hashes. One takes less than 400 bytes, so
/// all of them take less than 26 MB of the 256 MB of a process.
const MAX_STREAMS: usize = 64 << 10;

/// Largest assumed age of the copy that a store comes back from.
const MAX_COPY_AGE: Duration = Duration::from_secs(30);

// What was there before this process.
#[derive(Debug)]
struct Baseline {
    // Versions that the record named when the process started, and when that was.
    record: ListedSoftware,
    started_at: Instant,
    // Instances that had started before, this one included if it has restarted.
    instances: Vec<InstanceId>,
    // Whether the record may have lacked versions.
    is_incomplete: bool,
}

/// A stream that this instance began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BegunStream {
    /// Hash of its request or attempt id.
    pub key: StreamKey,
    /// Version that began it.
    pub version: Option<SoftwareVersion>,
    /// When its first events were delivered.
    pub began: Instant,
}

/// Streams that this instance began or resumed.
///
/// # Invariants
///
/// `streams` has the versions of all streams that instances of this address and lost instances began
/// within the lifetime of streams, except what `is_incomplete` or `baseline` state.
#[derive(Debug, Default)]
pub struct StreamMemory {
    streams: Map<StreamKey, (VersionSet, Instant)>,
    // Keys in the order of their last records; the older entries of a key are stale.
    order: VecDeque<(StreamKey, Instant)>,
    baseline: Option<Baseline>,
    others: Vec<InstanceId>,
    // Streams of other instances, as they told of them.
    told: SavedStreams,
    // Streams that are not yet in the store's log, oldest first.
    unsaved: VecDeque<BegunStream>,
    // When another instance was last lost with the streams that it knew.
    lost_at: Option<Instant>,
    // When this instance last forgot streams that may still be resumed.
    overflowed_at: Option<Instant>,
    // When the store was last found to have lost its last records.
    reverted_at: Option<Instant>,
}

impl StreamMemory {
    /// Sets which versions the record named and which instances had started before this process; only
    /// the first call counts. `is_complete` is whether the record named all versions.
    pub fn set_baseline(
        &mut self,
        now: Instant,
        record: &ListedSoftware,
        instances: Vec<InstanceId>,
        is_complete: bool,
    ) {
        self.baseline.get_or_insert_with(|| Baseline {
            record: record.clone(),
            started_at: now,
            instances,
            is_incomplete: !is_complete,
        });
    }

    /// Returns whether [`Self::set_baseline`] was called.
    pub fn has_baseline(&self) -> bool {
        self.baseline.is_some()
    }

    /// Records the other instances that may be serving; what one that is gone knew is lost.
    pub fn observe(&mut self, now: Instant, others: Vec<InstanceId>) {
        let is_gone = |known: &InstanceId| !others.contains(known);
        if self.others.iter().any(is_gone) {
            self.lost_at = Some(now);
        }
        self.others = others;
    }

    /// Records that events of a stream go to its client; `None` is an unknown version.
    pub fn record(&mut self, now: Instant, key: StreamKey, version: Option<SoftwareVersion>) {
        let (versions, at) = self
            .streams
            .entry(key)
            .or_insert_with(|| (VersionSet::new(), now));
        versions.insert(version.clone());
        *at = now;
        self.unsaved.push_back(BegunStream {
            key,
            version,
            began: now,
        });
        self.order.push_back((key, now));
        if self.order.len() > MAX_STREAMS {
            self.forget_oldest();
            self.overflowed_at = Some(now);
        }
        self.bound_unsaved(now);
    }

    /// Records streams that another instance is about to deliver.
    pub fn record_told(&mut self, now: Instant, streams: &StreamBatch) {
        self.told.add(now, streams);
    }

    // An unsaved stream that is forgotten is missing from the log, which then tells nothing of its key.
    fn bound_unsaved(&mut self, now: Instant) {
        while self.unsaved.len() > MAX_STREAMS {
            self.unsaved.pop_front();
            self.overflowed_at = Some(now);
        }
    }

    /// Forgets the streams that were recorded last before `lifetime`.
    pub fn expire(&mut self, now: Instant, lifetime: Duration) {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= lifetime;
        while self.order.front().is_some_and(|(_, at)| is_old(*at)) {
            self.forget_oldest();
        }
        self.unsaved.retain(|stream| !is_old(stream.began));
        self.told.expire(now, lifetime);
    }

    /// Takes the streams that are not yet in the store's log.
    pub fn take_unsaved(&mut self) -> Vec<BegunStream> {
        self.unsaved.drain(..).collect()
    }

    /// Marks the streams that the store may have lost as not saved, as it came back from an older copy.
    pub fn on_reversion(&mut self, now: Instant) {
        self.reverted_at = Some(now);
        let is_recent = |at: Instant| now.saturating_duration_since(at) < MAX_COPY_AGE;
        let lost = self.streams.iter().filter(|(_, (_, at))| is_recent(*at));
        let lost = lost.flat_map(|(key, (versions, at))| {
            versions.iter().map(|version| BegunStream {
                key: *key,
                version: version.clone(),
                began: *at,
            })
        });
        let mut lost: Vec<BegunStream> = lost.collect();
        lost.sort_by_key(|stream| stream.began);
        let is_older = |stream: &BegunStream| !is_recent(stream.began);
        self.unsaved.retain(is_older);
        self.unsaved.extend(lost);
        self.bound_unsaved(now);
    }

    /// Returns whether streams may be missing from the store's log, as it came back from an older copy within
    /// the `lifetime` of a stream.
    pub fn has_reverted(&self, now: Instant, lifetime: Duration) -> bool {
        self.reverted_at
            .is_some_and(|at| now.saturating_duration_since(at) < lifetime)
    }

    /// Puts back streams that could not be appended to the store's log.
    pub fn restore_unsaved(&mut self, now: Instant, streams: Vec<BegunStream>) {
        for stream in streams.into_iter().rev() {
            self.unsaved.push_front(stream);
        }
        self.bound_unsaved(now);
    }

    fn forget_oldest(&mut self) {
        let Some((key, recorded_at)) = self.order.pop_front() else {
            return;
        };
        if self
            .streams
            .get(&key)
            .is_some_and(|(_, at)| *at == recorded_at)
        {
            self.streams.remove(&key);
        }
    }

    /// Returns what this instance knows, `None` before it knows what its earlier processes may have
    /// begun.
    pub fn answer(
        &self,
        now: Instant,
        lifetime: Duration,
        query: &StreamQuery,
    ) -> Option<StreamAnswer> {
        let baseline = self.baseline.as_ref()?;
        let is_recent = |at: Instant| now.saturating_duration_since(at) < lifetime;
        let has_overflowed =
            self.overflowed_at.is_some_and(is_recent) || self.told.has_overflowed();
        let is_unsure = baseline.is_incomplete && is_recent(baseline.started_at);
        let mut earlier = VersionSet::new();
        // Those that still run answer for themselves.
        let is_gone = |instance: &InstanceId| !self.others.contains(instance);
        if is_recent(baseline.started_at) && baseline.instances.iter().any(is_gone) {
            let services = query.services.iter();
            let before = services.filter_map(|service| baseline.record.get(service.as_str()));
            earlier.extend(before.flatten().cloned());
        }
        Some(StreamAnswer {
            number: query.number,
            versions: Some(encode_record(&self.versions(query.request))),
            earlier_versions: Some(encode_record(&earlier)),
            attempt_versions: Some(encode_record(&self.versions(query.attempt))),
            is_incomplete: has_overflowed || is_unsure || self.lost_at.is_some_and(is_recent),
            has_overflowed,
        })
    }

    fn versions(&self, key: StreamKey) -> VersionSet {
        let mut versions = self.told.versions(key);
        if let Some((known, _)) = self.streams.get(&key) {
            versions.extend(known.iter().cloned());
        }
        versions
    }
}

/// Returns the version of a stream by the answers of this instance and all others, if they leave no doubt;
/// `None` in `answers` stands for an instance that did not answer.
pub fn remembered_version(answers: &[Option<StreamAnswer>]) -> Option<SoftwareVersion> {
    let known = || answers.iter().flatten();
    let by_attempt = merged(known().filter_map(|answer| answer.attempt_versions.as_ref()));
    if !by_attempt.is_empty() {
        return only_version(by_attempt);
    }
    if !are_complete(answers) {
        return None;
    }
    only_version(merged(known().flat_map(|answer| {
        let earlier = answer.earlier_versions.as_ref();
        answer.versions.iter().chain(earlier)
    })))
}

/// Returns the version of a stream by the answers and by the streams that instances saved, which outlive
/// them.
///
/// An attempt that the client names counts alone: if nobody knows it, an equal request says nothing, as it may
/// have begun at another version. If no stream is missing otherwise, an earlier process of an instance began it,
/// at a version that was recorded when the instance started again.
///
/// Without a name the version of the request is taken, unless an instance has forgotten streams or the log may
/// have lost some (`has_reverted`): an equal one may be among them.
pub fn known_stream(
    answers: &[Option<StreamAnswer>],
    saved: &SavedStreams,
    query: &StreamQuery,
    has_reverted: bool,
) -> Option<SoftwareVersion> {
    let known = || answers.iter().flatten();
    if query.attempt != UNNAMED {
        let versions = attempt_versions(answers, saved, query);
        return if versions.is_empty() {
            earlier_version(answers)
        } else {
            only_version(versions)
        };
    }
    if has_reverted || known().any(|answer| answer.has_overflowed) {
        return remembered_version(answers);
    }
    let saved = saved.versions(query.request);
    if saved.is_empty() {
        return remembered_version(answers);
    }
    let told = known().filter_map(|answer| answer.versions.as_ref());
    only_version(merged(told).into_iter().chain(saved).collect())
}

/// Returns the versions at which the attempt that a client names began streams, as far as anyone knows.
pub fn attempt_versions(
    answers: &[Option<StreamAnswer>],
    saved: &SavedStreams,
    query: &StreamQuery,
) -> VersionSet {
    let known = answers.iter().flatten();
    let told = known.filter_map(|answer| answer.attempt_versions.as_ref());
    let saved = saved.versions(query.attempt).into_iter();
    merged(told).into_iter().chain(saved).collect()
}

// Returns the version of a stream that no process of today began, `None` if there may be several.
fn earlier_version(answers: &[Option<StreamAnswer>]) -> Option<SoftwareVersion> {
    if !are_complete(answers) {
        return None;
    }
    let known = answers.iter().flatten();
    only_version(merged(known.filter_map(|it| it.earlier_versions.as_ref())))
}

// Returns whether all instances answered, and no stream that began in their time can be missing.
fn are_complete(answers: &[Option<StreamAnswer>]) -> bool {
    let is_complete =
        |answer: &Option<StreamAnswer>| answer.as_ref().is_some_and(|answer| !answer.is_incomplete);
    answers.iter().all(is_complete)
}

fn merged<'a, I>(records: I) -> VersionSet
where
    I: Iterator<Item = &'a SoftwareRecord>,
{
    records.flat_map(decode_record).collect()
}

/// Returns the only one of these versions, `None` if there are several or it is unknown.
pub fn only_version(versions: VersionSet) -> Option<SoftwareVersion> {
    let mut versions = versions.into_iter();
    let first = versions.next()?;
    match versions.next() {
        None => first,
        Some(_) => None,
    }
}
