//! Records of crashes and the parts that they convict.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use apricotwell_types::{Map, ServerId};

use crate::crash::{
    Crash, MAX_REQUESTS, RESTART_TIME, add_requests, contains, crash_parts, is_same_end,
};
use crate::tally::{AGE_ERROR, EarlierEnd, Tally};

/// Id of a part of a request; equal parts have the same id.
pub type PartId = u64;

/// Separate crashes after which a part is quarantined that is not known to have been sound.
const MAX_CRASHES: usize = 3;
/// The same for a part that was sound before, while nothing else was answered either: one that many
/// requests share must not be quarantined because no server was left between a few crashes.
const MAX_CRASHES_OF_SOUND: usize = 5;
/// Longest delay of a report, on its way and at an instance that is not scheduled.
const REPORT_DELAY: Duration = Duration::from_secs(1);
/// Time after the end of a process in which requests may still be sent to it in vain.
const AFTERMATH_TIME: Duration = Duration::from_secs(30);
/// Time for which crashes are remembered.
const CRASH_LIFETIME: Duration = Duration::from_secs(600);
/// Largest number of crashes that are remembered.
const MAX_REMEMBERED: usize = 128;
/// Time for which a sound part is remembered if no crash is recorded under it.
const SOUND_LIFETIME: Duration = Duration::from_secs(60);
/// Times from the last crash or trial of a quarantined part to its trials. Each may end a server, so there
/// are no more than three, and fewer by the servers that ended late before the verdict.
const TRIAL_PAUSES: [Duration; 3] = [
    Duration::from_secs(5),
    Duration::from_secs(60),
    Duration::from_secs(1800),
];
/// Trials that a part does without that was never sound: it is hardly quarantined by mistake.
const SKIPPED_TRIALS: u32 = 1;
/// Time after the third crash under a part from which on a further one is late.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time after the last crash from which on a part is no longer quarantined.
const BLOCKED_LIFETIME: Duration = Duration::from_secs(24 * 3600);

/// Quarantined part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BlockedPart {
    /// Part.
    pub part: PartId,
    /// Last known crash under it.
    pub crashed_at: Instant,
    /// Number of trials since it was quarantined, and of servers that ended late under it.
    pub trials: u32,
    /// Separate crashes that convicted it.
    pub counted: usize,
    /// When it was last tried.
    pub tried_at: Option<Instant>,
}

impl BlockedPart {
    // Returns when the next trial is due, `None` if there is none.
    fn trial_at(&self) -> Option<Instant> {
        let pause = TRIAL_PAUSES.get(usize::try_from(self.trials).ok()?)?;
        let last = self
            .tried_at
            .map_or(self.crashed_at, |at| at.max(self.crashed_at));
        Some(last + *pause)
    }
}

/// Part that an answer showed to be sound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SoundPart {
    /// Part.
    pub part: PartId,
    /// When a server began an answer that did not crash it.
    pub at: Instant,
}

/// When a request that has lost a server at its beginning may be sent to another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAttempt {
    /// At once.
    Now,
    /// Once it is known whether the server has ended, since that may quarantine the request.
    AfterCheck,
    /// Not by its instance: enough servers ended under its parts to quarantine them, but for an
    /// answer that was complete before.
    Never,
}

/// Part that was quarantined or released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineChange {
    /// Part.
    pub part: PartId,
    /// Whether it was quarantined.
    pub is_blocked: bool,
    /// Known ends of servers under it since it was last sound, each process by itself.
    pub ends: usize,
    /// How many of them count as separate crashes.
    pub counted: usize,
}

// Crash of a process that turned out to live.
#[derive(Debug)]
struct WithdrawnCrash {
    server: ServerId,
    started_ms: u64,
    at: Instant,
    // When the request was sent that the process answered.
    sent_at: Instant,
}

impl WithdrawnCrash {
    fn is_process(&self, crash: &Crash) -> bool {
        self.server == crash.server && self.started_ms == crash.started_ms
    }
}

/// Crashes that are known, and the parts that are quarantined because of them.
///
/// # Invariants
///
/// Crashes are sorted by time. No quarantined part was sound after its last crash.
#[derive(Debug, Default)]
pub struct Quarantine {
    crashes: Vec<Crash>,
    sound: Map<PartId, Instant>,
    blocked: Map<PartId, BlockedPart>,
    // Parts that were quarantined or released since the last call of `take_changes`.
    changes: Vec<QuarantineChange>,
    // Withdrawn crashes, which other instances may still report.
    withdrawn: Vec<WithdrawnCrash>,
}

impl Quarantine {
    /// Returns the first quarantined part among those of a request, if any.
    pub fn blocked_part(&self, parts: &[PartId]) -> Option<PartId> {
        self.blocked_parts(parts).next()
    }

    /// Returns the quarantined parts among those of a request.
    pub fn blocked_parts(&self, parts: &[PartId]) -> impl Iterator<Item = PartId> {
        let is_blocked = |part: &PartId| self.blocked.contains_key(part);
        parts.iter().copied().filter(is_blocked)
    }

    /// Returns whether any part is quarantined.
    pub fn has_blocked(&self) -> bool {
        !self.blocked.is_empty()
    }

    /// Returns when a request that has lost a server at its beginning may be sent to another one.
    pub fn next_attempt(&self, parts: &[PartId]) -> NextAttempt {
        if self.crashes.is_empty() {
            return NextAttempt::Now;
        }
        let tallies = self.tally();
        let crashes = parts.iter().filter_map(|part| tallies.get(part));
        match crashes.map(|tally| tally.crashes).max() {
            Some(crashes) if crashes >= MAX_CRASHES => NextAttempt::Never,
            Some(crashes) if crashes + 1 >= MAX_CRASHES => NextAttempt::AfterCheck,
            _ => NextAttempt::Now,
        }
    }

    /// Returns all quarantined parts.
    pub fn blocked(&self) -> impl Iterator<Item = &BlockedPart> {
        self.blocked.values()
    }

    /// Records the end of a server, or more requests that it was beginning to answer.
    pub fn record_crash(&mut self, crash: Crash) {
        if self.is_withdrawn(&crash) {
            return;
        }
        for part in crash_parts(&crash) {
            if let Some(blocked) = self.blocked.get_mut(part) {
                blocked.crashed_at = blocked.crashed_at.max(crash.at);
            }
        }
        let known = self
            .crashes
            .iter_mut()
            .find(|known| is_same_end(known, &crash));
        match known {
            Some(known) => add_requests(known, crash.requests),
            None => self.insert_crash(crash),
        }
        self.count_late_ends();
        self.convict();
    }

    // Counts servers that ended late under quarantined parts as trials.
    fn count_late_ends(&mut self) {
        let blocked = self.blocked.keys();
        let late: Vec<(PartId, u32)> = blocked.map(|it| (*it, self.late_ends(*it))).collect();
        for (part, ends) in late {
            if let Some(blocked) = self.blocked.get_mut(&part) {
                blocked.trials = blocked.trials.max(ends);
            }
        }
    }

    // Returns the number of servers that ended under a part after requests that were under way at
    // the third end.
    fn late_ends(&self, part: PartId) -> u32 {
        let ends = self.crashes.iter().filter(|crash| self.counts(crash, part));
        let mut ends = ends.map(|crash| crash.at).skip(MAX_CRASHES - 1);
        let Some(third) = ends.next() else {
            return 0;
        };
        let late = ends.filter(|at| *at > third + CONTACT_TIME).count();
        u32::try_from(late).unwrap_or(u32::MAX)
    }

    /// Withdraws the crash of a process that has answered a request which was sent to it later: an
    /// instance that was cut off from it took it for ended. Parts that are quarantined only because of
    /// it are released. Returns whether there was such a crash.
    pub fn withdraw_crash(&mut self, server: &str, started_ms: u64, sent_at: Instant) -> bool {
        // A request that was sent much later may have been answered by a new process.
        let is_refuted = |at: Instant| at + AGE_ERROR < sent_at && sent_at < at + RESTART_TIME;
        let is_same = |crash: &Crash| {
            *crash.server == *server && crash.started_ms == started_ms && is_refuted(crash.at)
        };
        let Some(index) = self.crashes.iter().position(is_same) else {
            return false;
        };
        let crash = self.crashes.remove(index);
        let tallies = self.tally();
        for part in crash_parts(&crash) {
            let is_enough = tallies
                .get(part)
                .is_some_and(|it| self.is_enough(*part, it));
            if !is_enough && self.blocked.remove(part).is_some() {
                self.report_change(*part, false);
            }
        }
        if self.withdrawn.len() >= MAX_REMEMBERED {
            self.withdrawn.remove(0);
        }
        self.withdrawn.push(WithdrawnCrash {
            server: crash.server,
            started_ms,
            at: crash.at,
            sent_at,
        });
        true
    }

    // Returns whether a process answered a request that was sent after the crash.
    fn is_withdrawn(&self, crash: &Crash) -> bool {
        let mut withdrawn = self.withdrawn.iter();
        withdrawn.any(|it| it.is_process(crash) && crash.at < it.sent_at)
    }

    /// Records the end of a server that another instance reports.
    ///
    /// A report that is repeated may be later than the first one, so that a withdrawn crash would seem to
    /// come after the answer that refuted it. A real end of the same process within 1 s counts only at
    /// an instance that sees it itself.
    pub fn record_report(&mut self, crash: Crash) {
        let mut withdrawn = self.withdrawn.iter();
        let is_repeat = withdrawn.any(|it| {
            it.is_process(&crash) && crash.at.saturating_duration_since(it.at) < REPORT_DELAY
        });
        if !is_repeat {
            self.record_crash(crash);
        }
    }

    /// Returns whether a request was sent to a process after its end, so that it can't have caused it.
    pub fn is_aftermath(&self, server: &str, started_ms: u64, sent_at: Instant) -> bool {
        self.crashes.iter().any(|crash| {
            *crash.server == *server
                && crash.started_ms == started_ms
                && crash.at < sent_at
                && sent_at < crash.at + AFTERMATH_TIME
        })
    }

    /// Records that a server which began an answer with these parts at `at` did not crash.
    pub fn record_sound(&mut self, at: Instant, parts: &[PartId]) {
        for part in parts {
            let known = self.sound.entry(*part).or_insert(at);
            *known = (*known).max(at);
            let is_refuted = |blocked: &BlockedPart| at > blocked.crashed_at;
            if self.blocked.get(part).is_some_and(is_refuted) {
                self.blocked.remove(part);
                self.report_change(*part, false);
            }
        }
    }

    /// Quarantines a part that another instance did, unless this one knows better: the part was sound
    /// since, or as many crashes under it are known here and do not convict it.
    pub fn adopt(&mut self, part: BlockedPart) {
        let sound = self.sound.get(&part.part);
        if sound.is_some_and(|sound| *sound > part.crashed_at) {
            return;
        }
        let is_new = !self.blocked.contains_key(&part.part);
        if is_new && self.counted(part.part) >= part.counted.max(1) {
            return;
        }
        let known = self.blocked.entry(part.part).or_insert(part);
        // Reports are delayed, so times would creep forward from report to report.
        if part.crashed_at > known.crashed_at + REPORT_DELAY {
            known.crashed_at = part.crashed_at;
        }
        known.trials = known.trials.max(part.trials);
        known.counted = known.counted.max(part.counted);
        let is_later = |tried: Instant| known.tried_at.is_none_or(|at| tried > at + REPORT_DELAY);
        if part.tried_at.is_some_and(is_later) {
            known.tried_at = part.tried_at;
        }
        if is_new {
            self.report_change(part.part, true);
        }
    }

    /// Returns whether a request with a quarantined part may run as a trial.
    pub fn is_trial_due(&self, now: Instant, part: PartId) -> bool {
        let blocked = self.blocked.get(&part);
        let trial_at = blocked.and_then(BlockedPart::trial_at);
        trial_at.is_some_and(|trial_at| now >= trial_at)
    }

    /// Counts a trial of a quarantined part, if one is due; returns whether it is.
    ///
    /// To be called by one instance of the fleet only.
    pub fn take_trial(&mut self, now: Instant, part: PartId) -> bool {
        let is_due = self.is_trial_due(now, part);
        if is_due && let Some(blocked) = self.blocked.get_mut(&part) {
            blocked.trials += 1;
            blocked.tried_at = Some(now);
        }
        is_due
    }

    /// Returns the parts under which servers ended and that were sound, before or after.
    pub fn sound_suspects(&self) -> Vec<SoundPart> {
        let suspects = self.crashes.iter().flat_map(crash_parts);
        let mut sound: Vec<SoundPart> = suspects
            .filter_map(|part| {
                let at = *self.sound.get(part)?;
                Some(SoundPart { part: *part, at })
            })
            .collect();
        // The latest ones matter most.
        sound.sort_by_key(|sound| Reverse((sound.at, sound.part)));
        sound.dedup();
        sound
    }

    /// Returns the parts that were quarantined or released since the last call.
    pub fn take_changes(&mut self) -> Vec<QuarantineChange> {
        std::mem::take(&mut self.changes)
    }

    /// Forgets old records.
    pub fn expire(&mut self, now: Instant) {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.crashes.retain(|crash| age(crash.at) < CRASH_LIFETIME);
        let crashes = &self.crashes;
        let is_suspect = |part: &PartId| crashes.iter().any(|crash| contains(crash, *part));
        self.sound
            .retain(|part, at| age(*at) < SOUND_LIFETIME || is_suspect(part));
        let is_old = |blocked: &&BlockedPart| age(blocked.crashed_at) >= BLOCKED_LIFETIME;
        let old: Vec<PartId> = self
            .blocked
            .values()
            .filter(is_old)
            .map(|it| it.part)
            .collect();
        for part in old {
            self.blocked.remove(&part);
            self.report_change(part, false);
        }
    }

    fn insert_crash(&mut self, mut crash: Crash) {
        crash.requests.truncate(MAX_REQUESTS);
        let index = self.crashes.partition_point(|known| known.at <= crash.at);
        self.crashes.insert(index, crash);
        if self.crashes.len() > MAX_REMEMBERED {
            self.crashes.remove(0);
        }
    }

    // Quarantines the parts that the known crashes convict. Releases those that they convicted
    // before and that others turn out to explain.
    fn convict(&mut self) {
        let tallies = self.tally();
        let guilty = self.guilty_parts(&tallies);
        for part in &guilty {
            if !self.blocked.contains_key(part) {
                self.block(*part);
            }
        }
        let is_explained = |part: &PartId| {
            let tally = tallies.get(part);
            !guilty.contains(part) && tally.is_some_and(|tally| self.is_enough(*part, tally))
        };
        let blocked = self.blocked.keys().copied();
        let released: Vec<PartId> = blocked.filter(is_explained).collect();
        for part in released {
            if self.blocked.remove(&part).is_some() {
                self.report_change(part, false);
            }
        }
    }

    fn block(&mut self, part: PartId) {
        let under = self.crashes.iter().filter(|crash| contains(crash, part));
        let Some(crashed_at) = under.map(|crash| crash.at).max() else {
            return;
        };
        let skipped = if self.sound.contains_key(&part) {
            0
        } else {
            SKIPPED_TRIALS
        };
        let blocked = BlockedPart {
            part,
            crashed_at,
            trials: skipped.max(self.late_ends(part)),
            counted: self.counted(part),
            tried_at: None,
        };
        self.blocked.insert(part, blocked);
        self.report_change(part, true);
    }

    fn report_change(&mut self, part: PartId, is_blocked: bool) {
        let ends = self.crashes.iter().filter(|crash| self.counts(crash, part));
        self.changes.push(QuarantineChange {
            part,
            is_blocked,
            ends: ends.count(),
            counted: self.counted(part),
        });
    }

    // Returns the number of separate crashes under a part since it was last sound.
    fn counted(&self, part: PartId) -> usize {
        self.tally().get(&part).map_or(0, |tally| tally.crashes)
    }

    // Returns the fewest parts that explain all crashes that need an explanation: first the one with
    // the most crashes, of several the most specific, of these one that was never sound, and so on for
    // the crashes that are left.
    fn guilty_parts(&self, tallies: &Map<PartId, Tally>) -> Vec<PartId> {
        let mut suspects: Vec<(PartId, &Tally)> = tallies
            .iter()
            .filter(|(part, tally)| self.is_enough(**part, tally))
            .map(|(part, tally)| (*part, tally))
            .collect();
        suspects.sort_by_key(|(part, tally)| {
            let is_new = !self.sound.contains_key(part);
            Reverse((tally.crashes, tally.position, is_new, *part))
        });
        let mut guilty: Vec<PartId> = Vec::new();
        for (part, _) in suspects {
            let is_needed = self.crashes.iter().any(|crash| {
                self.counts(crash, part) && !guilty.iter().any(|other| contains(crash, *other))
            });
            if is_needed {
                guilty.push(part);
            }
        }
        guilty
    }

    // Returns whether a part has enough crashes to be convicted.
    fn is_enough(&self, part: PartId, tally: &Tally) -> bool {
        let needed = if self.sound.contains_key(&part) && !self.are_others_answered(tally) {
            MAX_CRASHES_OF_SOUND
        } else {
            MAX_CRASHES
        };
        tally.crashes >= needed
    }

    // Returns whether requests that share the next more general part were answered while servers
    // ended under this one.
    fn are_others_answered(&self, tally: &Tally) -> bool {
        let sound = tally.parent.and_then(|parent| self.sound.get(&parent));
        sound.is_some_and(|sound| tally.previous.is_some_and(|previous| *sound >= previous))
    }

    // Returns whether a crash counts against a part: it happened under it, and not before an answer
    // that showed the part to be sound.
    fn counts(&self, crash: &Crash, part: PartId) -> bool {
        let sound = self.sound.get(&part);
        contains(crash, part) && sound.is_none_or(|sound| crash.at >= *sound)
    }

    fn tally(&self) -> Map<PartId, Tally> {
        let mut tallies: Map<PartId, Tally> = Map::default();
        let mut ends: Map<PartId, Vec<EarlierEnd>> = Map::default();
        for crash in &self.crashes {
            for request in &crash.requests {
                let earlier = request.parts.last().and_then(|whole| ends.get(whole));
                let earlier = earlier.map_or(&[][..], Vec::as_slice);
                for (position, part) in request.parts.iter().enumerate() {
                    let sound = self.sound.get(part);
                    if sound.is_none_or(|sound| crash.at >= *sound) {
                        let tally = tallies.entry(*part).or_default();
                        tally.count(crash, request, position, earlier, sound.is_some());
                    }
                }
            }
            for request in &crash.requests {
                let end = EarlierEnd {
                    at: crash.at,
                    is_retry: request.is_retry,
                };
                if let Some(whole) = request.parts.last() {
                    ends.entry(*whole).or_default().push(end);
                }
            }
        }
        tallies
    }
}
