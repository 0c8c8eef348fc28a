//! Parts of prompts that crash engines, exchanged with the other members.

use std::time::{Duration, Instant};

use apricotwell_messages::{CrashKnowledge, Message};
use apricotwell_quarantine::prelude::*;
use apricotwell_timeline::{Event, EventKind};
use apricotwell_types::{InstanceId, Refusal, RefusalKind, RequestId, ServerId, shard_of};

use super::Node;
use crate::server_registry::Suspect;

/// Time for which crashes and sound parts are reported.
const REPORT_TIME: Duration = Duration::from_secs(10);
/// Sound and quarantined parts, each, in one message.
const MAX_PARTS: usize = 32;
/// Interval at which the members are told again, in turn, what they may have missed.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

impl Node {
    /// Records the end of a server that was running requests of this instance.
    pub(super) fn record_crash(&mut self, now: Instant, server: &ServerId, suspects: Vec<Suspect>) {
        let requests = suspects.into_iter().map(|suspect| {
            let whole = suspect.body.short();
            let parts = suspect.parts.into_iter().chain([whole]);
            CrashedRequest {
                parts: parts.collect(),
                sent_at: suspect.sent_at,
                is_retry: suspect.is_retry,
            }
        });
        let record = self.state.ledger().server(server);
        self.crashes.record_own(Crash {
            server: server.clone(),
            started_ms: record.map_or(0, |record| record.incarnation),
            at: now,
            requests: requests.collect(),
        });
        self.report_quarantine(now);
        for member in self.member_ids() {
            self.send_crashes(now, &member);
        }
    }

    /// Records that the answer to a request shows its parts to be sound.
    pub(super) fn record_sound(&mut self, now: Instant, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let began = request.dispatched.unwrap_or(now);
        let parts = &request.submission.parts;
        self.crashes.quarantine.record_sound(began, parts);
        self.report_quarantine(now);
    }

    /// Returns the refusal of a request with a quarantined part, `None` if it may run.
    ///
    /// Now and then one instance of the fleet lets such a request run, to learn whether the part
    /// still crashes servers.
    pub(super) fn check_parts(&self, now: Instant, parts: &[PartId]) -> Option<Refusal> {
        let quarantine = &self.crashes.quarantine;
        let part = quarantine.blocked_part(parts)?;
        if self.owns_trials(now, part) && quarantine.is_trial_due(now, part) {
            return None;
        }
        let message = "a message of this prompt crashed backend servers and is quarantined; change \
                       it or ask your operator";
        Some(Refusal::not_run(RefusalKind::Quarantined, message))
    }

    /// Checks a request that is about to be dispatched, and counts it if it is a trial.
    pub(super) fn start_parts(&mut self, now: Instant, parts: &[PartId]) -> Option<Refusal> {
        let refusal = self.check_parts(now, parts);
        let part = self.crashes.quarantine.blocked_part(parts);
        if let (None, Some(part)) = (&refusal, part) {
            self.crashes.quarantine.take_trial(now, part);
        }
        refusal
    }

    pub(super) fn on_crashes(&mut self, now: Instant, knowledge: &CrashKnowledge) {
        self.crashes.apply(now, knowledge);
        self.report_quarantine(now);
    }

    /// Tells one member after the other what it may have missed.
    pub(super) fn exchange_crashes(&mut self, now: Instant) {
        if now < self.next_crash_report {
            return;
        }
        self.next_crash_report = now + REPORT_INTERVAL;
        self.crashes.quarantine.expire(now);
        let members = self.member_ids();
        if members.is_empty() {
            return;
        }
        self.crash_report_turn = (self.crash_report_turn + 1) % members.len();
        let member = members[self.crash_report_turn].clone();
        self.send_crashes(now, &member);
    }

    /// Tells a member what this instance knows of crashes, if it knows of any.
    pub(super) fn send_crashes(&mut self, now: Instant, member: &InstanceId) {
        if let Some(knowledge) = self.crashes.knowledge(now, REPORT_TIME, MAX_PARTS) {
            self.send(now, member, Message::Crashes(knowledge));
        }
    }

    fn member_ids(&self) -> Vec<InstanceId> {
        let members = self.fleet.membership().members();
        members
            .map(|member| member.update.contact.id.clone())
            .collect()
    }

    // Returns whether this instance is the one that tries a quarantined part again: the holder of its
    // shard, so that no two do, whomever they hear.
    fn owns_trials(&self, now: Instant, part: PartId) -> bool {
        let shard = shard_of(&format!("{part:x}"), self.settings.genesis.shards);
        self.fleet.fence(now, shard).is_some()
    }

    fn report_quarantine(&mut self, now: Instant) {
        for change in self.crashes.quarantine.take_changes() {
            let state = if change.is_blocked {
                "quarantined"
            } else {
                "released"
            };
            let QuarantineChange {
                part,
                ends,
                counted,
                ..
            } = change;
            let detail = format!("{part:x} {state}, {ends} ends, {counted} counted");
            let event = Event::new(EventKind::PartQuarantined);
            self.emit(now, event.with_detail(detail));
        }
    }
}
