//! This instance's view of the fleet: members, freshness of the log and leases.

use std::time::{Duration, Instant};

use apricotwell_leases::{
    Evidence, Freshness, LeasePlan, LeaseState, LiveMember, OwnLeases, View, plan_leases,
};
use apricotwell_membership::{
    Contact, Member, MemberState, Membership, OutgoingMessage, ProbeMessage,
};
use apricotwell_messages::{
    Ack, Envelope, LogEvidence, MemberUpdate, Message, Ping, PingFor, RelayedEvidence,
};
use apricotwell_state::State;
use apricotwell_types::{Fence, InstanceId, Offset, Shard};

use crate::NodeSettings;
use crate::order_manager::HeldTerm;
use crate::token_manager::TermStart;

/// Longest time that a new instance waits for all listed members before it takes leases.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Largest number of other members whose evidence one answer relays.
const MAX_RELAYED: usize = 24;
/// Evidence windows without contact to the log after which a member loses its leases.
const LOST_WINDOWS: u32 = 3;
/// Time for which a shard is held before it is handed over. By then this instance knows if the
/// previous holder is draining, and does not hand the shard back to it.
const MIN_TERM: Duration = Duration::from_secs(3);

/// Members, freshness of the log view, and leases on shards.
#[derive(Debug)]
pub(crate) struct Fleet {
    own_id: InstanceId,
    incarnation: u64,
    window: Duration,
    membership: Membership,
    freshness: Freshness,
    leases: OwnLeases,
    // Instances on the platform's list, this one included.
    listed: Vec<InstanceId>,
    draining: bool,
    started: Instant,
    // When this instance itself last reached the log.
    last_contact: Option<Instant>,
    // Position of the first member whose evidence the next answer relays.
    next_relayed: usize,
}

impl Fleet {
    pub(crate) fn new(now: Instant, settings: &NodeSettings) -> Self {
        let contact = settings.contact();
        let membership = Membership::new(
            now,
            contact,
            settings.incarnation,
            settings.timing,
            settings.seed,
        );
        Self {
            own_id: settings.id.clone(),
            incarnation: settings.incarnation,
            window: settings.evidence_window,
            membership,
            freshness: Freshness::new(settings.evidence_window),
            leases: OwnLeases::new(settings.id.clone(), settings.incarnation),
            listed: vec![settings.id.clone()],
            draining: false,
            started: now,
            last_contact: None,
            next_relayed: 0,
        }
    }

    pub(crate) fn set_list(&mut self, now: Instant, list: &[Contact]) {
        self.membership.set_list(now, list);
        self.listed = list.iter().map(|contact| contact.id.clone()).collect();
        if !self.listed.contains(&self.own_id) {
            self.listed.push(self.own_id.clone());
        }
        self.freshness.retain(&self.listed);
    }

    pub(crate) fn on_log_read(&mut self, began: Instant, next: Offset, reached_end: bool) {
        self.last_contact = self.last_contact.max(Some(began));
        if reached_end {
            self.freshness.record_read(began, next);
        } else {
            self.freshness.record_applied(next);
        }
    }

    pub(crate) fn set_applied(&mut self, next: Offset) {
        self.freshness.record_applied(next);
    }

    pub(crate) fn view(&self, now: Instant) -> View {
        self.freshness.view(now, &self.listed, &self.own_id)
    }

    pub(crate) fn view_age(&self, now: Instant) -> Option<Duration> {
        self.freshness.view_age(now)
    }

    /// Returns a peer that has applied records which this instance does not have.
    pub(crate) fn peer_ahead(&self, now: Instant) -> Option<Contact> {
        let peer = self.freshness.peer_ahead(now)?;
        self.contact(peer)
    }

    /// Returns a peer that is alive and has been in contact, if any.
    pub(crate) fn any_peer(&self) -> Option<Contact> {
        let mut alive = self.membership.members().filter(|member| {
            member.update.state == MemberState::Alive && member.update.incarnation > 0
        });
        alive.next().map(|member| member.update.contact.clone())
    }

    pub(crate) fn contact(&self, id: &str) -> Option<Contact> {
        let member = self.membership.get(id)?;
        Some(member.update.contact.clone())
    }

    pub(crate) fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the id of this instance.
    pub(crate) fn own_id(&self) -> &InstanceId {
        &self.own_id
    }

    /// Returns the other instances that may be running: the members that are not known to be dead,
    /// and those that the platform still lists.
    pub(crate) fn possible_members(&self) -> impl Iterator<Item = &Member> {
        let members = self.membership.all_members();
        members.filter(|member| member.listed || member.update.state != MemberState::Dead)
    }

    /// Returns the ids and zones of the members that accept clients, this one included.
    pub(crate) fn ready_members(&self) -> Vec<(InstanceId, String)> {
        let peers = self.membership.members().filter(|member| {
            member.update.state == MemberState::Alive && member.update.incarnation > 0
        });
        let mut ready: Vec<(InstanceId, String)> = peers
            .map(|member| {
                let contact = &member.update.contact;
                (contact.id.clone(), contact.zone.to_string())
            })
            .collect();
        if !self.draining {
            let own = &self.membership.own_update().contact;
            ready.push((own.id.clone(), own.zone.to_string()));
        }
        ready
    }

    /// Returns whether the process that made an attempt `instance/incarnation/…` has ended.
    pub(crate) fn has_ended(&self, attempt: &str) -> bool {
        let mut parts = attempt.split('/');
        let (Some(instance), Some(incarnation)) = (parts.next(), parts.next()) else {
            return true;
        };
        let incarnation: u64 = incarnation.parse().unwrap_or(0);
        if *instance == *self.own_id {
            return incarnation != self.incarnation;
        }
        match self.membership.get(instance) {
            None => true,
            Some(member) => {
                member.update.incarnation > incarnation
                    || (member.update.state == MemberState::Dead
                        && member.update.incarnation == incarnation)
            }
        }
    }

    /// Starts to drain and returns the messages that announce it to the members.
    pub(crate) fn leave(&mut self, now: Instant, next: Offset) -> Vec<(Contact, Envelope)> {
        self.draining = true;
        let out = self.membership.leave(now);
        self.envelopes(now, next, out)
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining
    }

    /// Returns the probes that are due.
    pub(crate) fn tick(&mut self, now: Instant, next: Offset) -> Vec<(Contact, Envelope)> {
        let out = self.membership.tick(now);
        self.envelopes(now, next, out)
    }

    /// Handles the membership part of a message and returns the messages to send.
    pub(crate) fn receive(
        &mut self,
        now: Instant,
        next: Offset,
        envelope: &Envelope,
    ) -> Vec<(Contact, Envelope)> {
        let Some(sender) = envelope.sender.as_ref().and_then(MemberUpdate::to_update) else {
            return Vec::new();
        };
        let probe = match &envelope.body {
            Some(Message::Ping(ping)) => ProbeMessage::Ping {
                number: ping.number,
            },
            Some(Message::Ack(ack)) => {
                self.apply_evidence(ack.number, &sender.contact.id, envelope);
                ProbeMessage::Ack { number: ack.number }
            }
            Some(Message::PingFor(request)) => ProbeMessage::PingFor {
                number: request.number,
                target: request.target.as_str().into(),
            },
            _ => return Vec::new(),
        };
        let updates: Vec<_> = envelope
            .updates
            .iter()
            .filter_map(MemberUpdate::to_update)
            .collect();
        let out = self.membership.receive(now, &sender, probe, &updates);
        self.envelopes(now, next, out)
    }

    // Accepts evidence only in an answer to a ping of this instance, whose sending time is known by
    // the local clock. Ages of relayed evidence count from that time, so that no evidence appears
    // newer than it is.
    fn apply_evidence(&mut self, number: u64, peer: &InstanceId, envelope: &Envelope) {
        let Some(requested_at) = self.membership.ping_sent_at(number, peer) else {
            return;
        };
        if let Some(evidence) = envelope.evidence {
            let evidence = Evidence {
                requested_at,
                next: evidence.next,
                view_age: evidence.view_age_ms.map(Duration::from_millis),
                log_contact_age: evidence.log_contact_ms.map(Duration::from_millis),
            };
            self.freshness.record_evidence(peer.clone(), evidence);
        }
        for relayed in &envelope.relayed {
            let Some(requested_at) =
                requested_at.checked_sub(Duration::from_millis(relayed.age_ms))
            else {
                continue;
            };
            if *relayed.member == *self.own_id {
                continue;
            }
            let evidence = Evidence {
                requested_at,
                next: relayed.next,
                view_age: relayed.view_age_ms.map(Duration::from_millis),
                log_contact_age: relayed.log_contact_ms.map(Duration::from_millis),
            };
            self.freshness
                .record_evidence(relayed.member.as_str().into(), evidence);
        }
    }

    // Returns the evidence of some other members, in rotation. This way the evidence of each member
    // reaches every other one, although each member probes only a few others.
    fn relay_evidence(&mut self, now: Instant) -> Vec<RelayedEvidence> {
        let mut recent: Vec<(&InstanceId, &Evidence)> =
            self.freshness.recent_evidence(now).collect();
        recent.sort_unstable_by_key(|(peer, _)| *peer);
        let count = recent.len();
        let first = self.next_relayed;
        self.next_relayed = first.wrapping_add(MAX_RELAYED);
        let selected = (0..count.min(MAX_RELAYED)).map(|index| recent[(first + index) % count]);
        selected
            .map(|(peer, evidence)| RelayedEvidence {
                member: peer.to_string(),
                next: evidence.next,
                age_ms: now
                    .saturating_duration_since(evidence.requested_at)
                    .as_millis() as u64
                    + 1,
                view_age_ms: evidence.view_age.map(|age| age.as_millis() as u64),
                log_contact_ms: evidence.log_contact_age.map(|age| age.as_millis() as u64),
            })
            .collect()
    }

    /// Wraps a message in an envelope with this instance's membership state and log evidence.
    pub(crate) fn envelope(&self, now: Instant, next: Offset, body: Message) -> Envelope {
        Envelope {
            sender: Some(MemberUpdate::from_update(self.membership.own_update())),
            updates: Vec::new(),
            evidence: Some(self.evidence(now, next)),
            relayed: Vec::new(),
            body: Some(body),
        }
    }

    fn evidence(&self, now: Instant, next: Offset) -> LogEvidence {
        let age = self.view_age(now);
        LogEvidence {
            next,
            // Rounded up, so that the contact never appears more recent than it was.
            view_age_ms: age.map(|age| age.as_millis() as u64 + 1),
            log_contact_ms: self.last_contact.map(|last_contact| {
                now.saturating_duration_since(last_contact).as_millis() as u64 + 1
            }),
        }
    }

    fn envelopes(
        &mut self,
        now: Instant,
        next: Offset,
        out: Vec<OutgoingMessage>,
    ) -> Vec<(Contact, Envelope)> {
        let mut envelopes = Vec::new();
        for outgoing in out {
            let is_answer = matches!(outgoing.message, ProbeMessage::Ack { .. });
            let body = match outgoing.message {
                ProbeMessage::Ping { number } => Message::Ping(Ping { number }),
                ProbeMessage::Ack { number } => Message::Ack(Ack { number }),
                ProbeMessage::PingFor { number, target } => Message::PingFor(PingFor {
                    number,
                    target: target.to_string(),
                }),
            };
            let mut envelope = self.envelope(now, next, body);
            envelope.updates = outgoing
                .updates
                .iter()
                .map(MemberUpdate::from_update)
                .collect();
            if is_answer {
                envelope.relayed = self.relay_evidence(now);
            }
            envelopes.push((outgoing.to, envelope));
        }
        envelopes
    }

    /// Updates the leases from the state.
    pub(crate) fn refresh(&mut self, now: Instant, state: &State) {
        self.leases
            .refresh(now, state, &self.freshness, &self.listed);
    }

    /// Returns the state of this instance's lease on a shard.
    ///
    /// It can change at any time, so check it immediately before each side effect.
    pub(crate) fn lease_state(&self, now: Instant, shard: Shard) -> LeaseState {
        let until = self.freshness.leases_until(now, &self.listed, &self.own_id);
        self.leases.check(now, shard, until, self.window)
    }

    /// Returns the fence of this instance's recorded lease, even if the lease is not effective.
    pub(crate) fn recorded_fence(&self, state: &State, shard: Shard) -> Option<Fence> {
        let lease = state.lease(shard)?;
        let own = lease.holder == self.own_id && lease.incarnation == self.incarnation;
        own.then_some(lease.fence)
    }

    /// Returns the fence of this instance's lease on a shard, if the lease is effective.
    pub(crate) fn fence(&self, now: Instant, shard: Shard) -> Option<Fence> {
        self.term(now, shard).map(|term| term.fence)
    }

    /// Returns the fence and end of this instance's term on a shard, if its lease is effective.
    pub(crate) fn term(&self, now: Instant, shard: Shard) -> Option<HeldTerm> {
        match self.lease_state(now, shard) {
            LeaseState::Held { fence, until, .. } => Some(HeldTerm { fence, until }),
            _ => None,
        }
    }

    /// Returns the beginning of this instance's term on a shard, if its lease is effective.
    pub(crate) fn term_start(
        &self,
        now: Instant,
        state: &State,
        shard: Shard,
    ) -> Option<TermStart> {
        let LeaseState::Held { fence, since, .. } = self.lease_state(now, shard) else {
            return None;
        };
        let lease = state.lease(shard)?;
        Some(TermStart {
            fence,
            previous: lease.previous,
            since,
        })
    }

    /// Returns the shards of this instance's recorded leases.
    pub(crate) fn own_shards(&self) -> Vec<Shard> {
        self.leases.shards()
    }

    /// Releases a shard before its handover is recorded.
    pub(crate) fn release(&mut self, shard: Shard) {
        self.leases.release(shard);
    }

    /// Takes released shards back after the log has definitely rejected their handovers.
    pub(crate) fn restore(&mut self) {
        self.leases.restore();
    }

    /// Returns whether this instance itself reaches the log and can therefore append.
    pub(crate) fn reaches_log(&self, now: Instant) -> bool {
        self.last_contact
            .is_some_and(|last_contact| now < last_contact + self.window)
    }

    /// Plans the lease records to append; empty while this instance can't reach the log.
    pub(crate) fn plan(&self, now: Instant, state: &State) -> LeasePlan {
        if !self.reaches_log(now) {
            return LeasePlan::default();
        }
        // Instances that start at the same time would otherwise take leases before they know each
        // other, and move most of them right afterwards.
        if now < self.started + SETTLE_TIME && !self.all_answered() {
            return LeasePlan::default();
        }
        let live = self.live_members(now);
        let can_hand_over = |shard| {
            self.draining
                || matches!(self.lease_state(now, shard), LeaseState::Held { since, .. }
                    if now >= since + MIN_TERM)
        };
        plan_leases(state, &live, &self.own_id, self.incarnation, can_hand_over)
    }

    fn all_answered(&self) -> bool {
        self.listed.iter().all(|id| {
            let member = self.membership.get(id);
            *id == self.own_id || member.is_some_and(|member| member.update.incarnation > 0)
        })
    }

    // A suspected member keeps its leases until it is declared dead. A member that has not reached
    // the log for `LOST_WINDOWS` windows, while this instance does, can't append records and loses
    // its leases.
    fn live_members(&self, now: Instant) -> Vec<LiveMember> {
        let reaches_log = |id: &InstanceId| {
            let last_contact = self.freshness.last_log_contact(id);
            last_contact.is_none_or(|last_contact| now < last_contact + self.window * LOST_WINDOWS)
        };
        let mut live: Vec<LiveMember> = self
            .membership
            .members()
            .filter(|member| member.update.incarnation > 0)
            .filter(|member| reaches_log(&member.update.contact.id))
            .map(|member| LiveMember {
                id: member.update.contact.id.clone(),
                incarnation: member.update.incarnation,
                draining: member.update.state == MemberState::Leaving,
            })
            .collect();
        live.push(LiveMember {
            id: self.own_id.clone(),
            incarnation: self.incarnation,
            draining: self.draining,
        });
        live.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        live
    }
}
