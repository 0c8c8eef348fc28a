//! Crashes of servers, exchanged with the other instances, and the requests that they rule out.

use std::time::{Duration, Instant};

use apricotwell_messages::{
    BlockedPartReport, CrashKnowledge, CrashReport, RequestParts, SoundPartReport,
};
use apricotwell_quarantine::prelude::*;
use apricotwell_types::{Refusal, RefusalKind, rendezvous_owner};

use super::Dispatcher;
use crate::peers::heartbeat_interval;

/// Heartbeat intervals for which a crash is reported.
const REPORTED_INTERVALS: u32 = 3;
/// Crashes, sound and quarantined parts in one heartbeat, each.
const MAX_REPORTED: usize = 32;
/// Retry delay sent to clients whose request has a quarantined part.
const QUARANTINE_RETRY_AFTER: Duration = Duration::from_secs(60);

impl Dispatcher {
    /// Records the end of a server that was beginning to answer requests of this instance.
    pub fn record_crash(&mut self, crash: Crash) {
        self.own_crashes.push(crash.clone());
        self.quarantine.record_crash(crash);
    }

    /// Returns the refusal of a request with a quarantined part, `None` if it may run.
    ///
    /// Now and then one instance of the fleet lets such a request run, to learn whether the part
    /// still crashes servers.
    pub fn check_quarantine(&mut self, now: Instant, parts: &[PartId]) -> Option<Refusal> {
        let part = self.quarantine.blocked_part(parts)?;
        if self.owns_trials(part) && self.quarantine.take_trial(now, part) {
            return None;
        }
        let text = "servers crashed when they began to answer requests with a part of this one; \
                    change it or ask your operator";
        let refusal = Refusal::not_run(RefusalKind::Quarantined, text);
        Some(refusal.with_retry_after(QUARANTINE_RETRY_AFTER))
    }

    /// Returns what this instance knows of crashes, for its heartbeats.
    pub(super) fn crash_knowledge(&mut self, now: Instant) -> Option<CrashKnowledge> {
        let time = heartbeat_interval(self.peers.possible_count() as u32) * REPORTED_INTERVALS;
        let is_recent = |at: Instant| now.saturating_duration_since(at) < time;
        self.own_crashes.retain(|crash| is_recent(crash.at));
        let cleared = self.quarantine.cleared().into_iter();
        let sound = cleared.filter(|sound| is_recent(sound.at));
        let knowledge = CrashKnowledge {
            crashes: self
                .own_crashes
                .iter()
                .rev()
                .take(MAX_REPORTED)
                .map(|crash| encode_crash(now, crash))
                .collect(),
            sound: sound
                .take(MAX_REPORTED)
                .map(|sound| SoundPartReport {
                    part: sound.part,
                    age_ms: age_ms(now, sound.at),
                })
                .collect(),
            blocked: self.blocked_parts(now),
        };
        (knowledge != CrashKnowledge::default()).then_some(knowledge)
    }

    /// Returns the quarantined parts, to be saved in the store or sent to other instances.
    pub fn blocked_parts(&self, now: Instant) -> Vec<BlockedPartReport> {
        let blocked = self.quarantine.blocked().take(MAX_REPORTED);
        let reports = blocked.map(|blocked| BlockedPartReport {
            part: blocked.part,
            age_ms: age_ms(now, blocked.crashed_at),
            trials: blocked.trials,
        });
        reports.collect()
    }

    /// Applies quarantined parts that were saved in the store or sent by another instance.
    pub fn adopt_blocked_parts(&mut self, now: Instant, blocked: &[BlockedPartReport]) {
        for report in blocked {
            if let Some(crashed_at) = time_of(now, report.age_ms) {
                self.quarantine.adopt(BlockedPart {
                    part: report.part,
                    crashed_at,
                    trials: report.trials,
                });
            }
        }
    }

    pub(super) fn apply_crash_knowledge(&mut self, now: Instant, knowledge: &CrashKnowledge) {
        for report in &knowledge.crashes {
            if let Some(at) = time_of(now, report.age_ms) {
                let requests = report.requests.iter().map(|parts| parts.ids.clone());
                self.quarantine.record_crash(Crash {
                    server: report.server.as_str().into(),
                    at,
                    requests: requests.collect(),
                });
            }
        }
        self.adopt_blocked_parts(now, &knowledge.blocked);
        for report in &knowledge.sound {
            if let Some(at) = time_of(now, report.age_ms) {
                self.quarantine.record_sound(at, &[report.part]);
            }
        }
    }

    // Returns whether this instance is the one that tries a quarantined part again.
    fn owns_trials(&self, part: PartId) -> bool {
        let targets = self.peers.heartbeat_targets();
        let others = targets.iter().map(|instance| &**instance);
        let own: &str = &self.config.id;
        rendezvous_owner(part, others.chain([own])) == Some(own)
    }
}

fn encode_crash(now: Instant, crash: &Crash) -> CrashReport {
    let requests = crash.requests.iter().cloned();
    CrashReport {
        server: crash.server.to_string(),
        age_ms: age_ms(now, crash.at),
        requests: requests.map(|ids| RequestParts { ids }).collect(),
    }
}

fn age_ms(now: Instant, at: Instant) -> u32 {
    let age = now.saturating_duration_since(at).as_millis();
    u32::try_from(age).unwrap_or(u32::MAX)
}

fn time_of(now: Instant, age_ms: u32) -> Option<Instant> {
    now.checked_sub(Duration::from_millis(u64::from(age_ms)))
}
