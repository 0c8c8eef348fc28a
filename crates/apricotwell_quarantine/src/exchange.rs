//! What instances tell each other of crashes.

use std::time::{Duration, Instant};

use apricotwell_messages::{
    BlockedPartReport, CrashKnowledge, CrashReport, RequestParts, SoundPartReport,
};

use crate::{BlockedPart, Crash, CrashedRequest, Quarantine};

/// Requests of all crashes in one message, so that it fits into a datagram.
const MAX_REQUESTS: usize = 128;
/// Quarantined parts that are saved.
const MAX_SAVED: usize = 64;

/// A quarantine that is kept in step with those of other instances.
#[derive(Debug, Default)]
pub struct SharedQuarantine {
    /// Crashes that are known, and the parts that are quarantined because of them.
    pub quarantine: Quarantine,
    // Crashes that this instance saw itself and still reports.
    own: Vec<Crash>,
    // Counts the messages, so that each one continues where the last one ended.
    turn: usize,
}

impl SharedQuarantine {
    /// Records the end of a server that was beginning to answer requests of this instance.
    pub fn record_own(&mut self, crash: Crash) {
        self.own.push(crash.clone());
        self.quarantine.record_crash(crash);
    }

    /// Withdraws the crash of a process that has answered a request which was sent to it later, and no
    /// longer reports it.
    pub fn withdraw_crash(&mut self, server: &str, started_ms: u64, sent_at: Instant) {
        let quarantine = &mut self.quarantine;
        if quarantine.withdraw_crash(server, started_ms, sent_at) {
            let is_other =
                |crash: &Crash| *crash.server != *server || crash.started_ms != started_ms;
            self.own.retain(is_other);
        }
    }

    /// Returns what this instance knows and the others may not, `None` if that is nothing.
    ///
    /// Crashes are reported for `time`. Quarantined and sound parts are reported as long as they are
    /// remembered, `count` of each in turn.
    pub fn knowledge(
        &mut self,
        now: Instant,
        time: Duration,
        count: usize,
    ) -> Option<CrashKnowledge> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < time;
        self.own.retain(|crash| is_recent(crash.at));
        self.turn = self.turn.wrapping_add(1);
        let sound = self.quarantine.sound_suspects();
        let sound = in_turn(sound, self.turn, count).map(|sound| SoundPartReport {
            part: sound.part,
            age_ms: age_ms(now, sound.at),
        });
        let knowledge = CrashKnowledge {
            crashes: self.recent_crashes(now),
            sound: sound.collect(),
            blocked: in_turn(self.blocked_parts(now), self.turn, count).collect(),
        };
        (knowledge != CrashKnowledge::default()).then_some(knowledge)
    }

    // Returns the latest crashes that this instance saw, as many as fit into a message.
    fn recent_crashes(&self, now: Instant) -> Vec<CrashReport> {
        let mut left = MAX_REQUESTS;
        let newest = self.own.iter().rev();
        let fitting = newest.map_while(|crash| {
            left = left.checked_sub(crash.requests.len())?;
            Some(encode_crash(now, crash))
        });
        let mut reports: Vec<CrashReport> = fitting.collect();
        // Crashes of one millisecond keep their order.
        reports.reverse();
        reports
    }

    /// Applies what another instance knows.
    pub fn apply(&mut self, now: Instant, knowledge: &CrashKnowledge) {
        for report in &knowledge.crashes {
            if let Some(at) = time_of(now, report.age_ms) {
                let requests = report.requests.iter().map(|request| CrashedRequest {
                    parts: request.ids.clone(),
                    sent_at: time_of(at, request.sent_ms).unwrap_or(at),
                    is_retry: request.is_retry,
                });
                self.quarantine.record_report(Crash {
                    server: report.server.as_str().into(),
                    started_ms: report.started_ms,
                    at,
                    requests: requests.collect(),
                });
            }
        }
        self.adopt(now, &knowledge.blocked);
        for report in &knowledge.sound {
            if let Some(at) = time_of(now, report.age_ms) {
                self.quarantine.record_sound(at, &[report.part]);
            }
        }
    }

    /// Returns the quarantined parts, to be saved or sent.
    pub fn blocked_parts(&self, now: Instant) -> Vec<BlockedPartReport> {
        let blocked = self.quarantine.blocked().take(MAX_SAVED);
        let reports = blocked.map(|blocked| BlockedPartReport {
            part: blocked.part,
            age_ms: age_ms(now, blocked.crashed_at),
            trials: blocked.trials,
            counted: u32::try_from(blocked.counted).unwrap_or(u32::MAX),
            tried_ms: blocked.tried_at.map(|at| age_ms(now, at)),
        });
        reports.collect()
    }

    /// Applies quarantined parts that were saved or sent.
    pub fn adopt(&mut self, now: Instant, blocked: &[BlockedPartReport]) {
        for report in blocked {
            if let Some(crashed_at) = time_of(now, report.age_ms) {
                self.quarantine.adopt(BlockedPart {
                    part: report.part,
                    crashed_at,
                    trials: report.trials,
                    counted: report.counted as usize,
                    tried_at: report.tried_ms.and_then(|age| time_of(now, age)),
                });
            }
        }
    }
}

// Returns `count` entries, beginning where the turn before ended.
fn in_turn<T>(mut entries: Vec<T>, turn: usize, count: usize) -> impl Iterator<Item = T> {
    let start = turn.wrapping_mul(count).checked_rem(entries.len());
    entries.rotate_left(start.unwrap_or(0));
    entries.into_iter().take(count)
}

fn encode_crash(now: Instant, crash: &Crash) -> CrashReport {
    let requests = crash.requests.iter().map(|request| RequestParts {
        ids: request.parts.clone(),
        sent_ms: age_ms(crash.at, request.sent_at),
        is_retry: request.is_retry,
    });
    CrashReport {
        server: crash.server.to_string(),
        started_ms: crash.started_ms,
        age_ms: age_ms(now, crash.at),
        requests: requests.collect(),
    }
}

fn age_ms(now: Instant, at: Instant) -> u32 {
    let age = now.saturating_duration_since(at).as_millis();
    u32::try_from(age).unwrap_or(u32::MAX)
}

fn time_of(now: Instant, age_ms: u32) -> Option<Instant> {
    now.checked_sub(Duration::from_millis(u64::from(age_ms)))
}
