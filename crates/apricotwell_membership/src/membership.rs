//! The membership protocol.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

use apricotwell_types::{Incarnation, InstanceId};

use crate::member::{Contact, Member, MemberState, Update};

/// Largest number of updates in a message, besides one about its receiver; bounds its size.
const MAX_UPDATES: usize = 6;
/// Number of times that an update is sent, per binary logarithm of the number of members.
const TRANSMIT_FACTOR: u32 = 3;
/// Number of members that are asked to probe one whose direct probe timed out.
const INDIRECT_PROBES: usize = 3;

/// Periods and timeouts of the protocol.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Time between two direct probes.
    pub period: Duration,
    /// Timeout of a direct probe; indirect probes get twice as long.
    pub timeout: Duration,
    /// Time that a suspected member has to refute the suspicion.
    pub suspicion_timeout: Duration,
    /// Time for which a dead member that is not listed is kept.
    pub dead_retention: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            period: Duration::from_millis(200),
            timeout: Duration::from_millis(300),
            suspicion_timeout: Duration::from_millis(1500),
            dead_retention: Duration::from_secs(60),
        }
    }
}

/// Message of the protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProbeMessage {
    /// Requests an [`Ack`](Self::Ack).
    Ping {
        /// Sequence number, repeated in the answer.
        number: u64,
    },
    /// Answers a ping.
    Ack {
        /// Sequence number of the ping.
        number: u64,
    },
    /// Asks the receiver to ping `target` and to return its answer.
    PingFor {
        /// Sequence number, repeated in the answer.
        number: u64,
        /// Member to ping.
        target: InstanceId,
    },
}

/// Message to send, with the updates that it carries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// Receiver.
    pub to: Contact,
    /// Message.
    pub message: ProbeMessage,
    /// Updates for the receiver.
    pub updates: Vec<Update>,
}

#[derive(Debug)]
struct Pending {
    target: InstanceId,
    sent: Instant,
    // Whether indirect probes have been requested, whose answers count as well.
    is_indirect: bool,
    // For a probe on behalf of another member: that member and the number of its request.
    requester: Option<(InstanceId, u64)>,
}

/// Members of the fleet as this instance sees them.
///
/// Sends nothing itself: its methods return the messages to send.
#[derive(Debug)]
pub struct Membership {
    own: Update,
    timing: Timing,
    members: BTreeMap<InstanceId, Member>,
    // Members still to be probed in this round, the next one last.
    rotation: Vec<InstanceId>,
    pending: BTreeMap<u64, Pending>,
    last_number: u64,
    next_probe: Instant,
    random: StdRng,
}

impl Membership {
    /// Creates a membership without other members.
    ///
    /// `seed` determines the order of probes and the choice of indirect probes.
    pub fn new(
        now: Instant,
        me: Contact,
        incarnation: Incarnation,
        timing: Timing,
        seed: u64,
    ) -> Self {
        let own = Update {
            contact: me,
            incarnation,
            revision: 0,
            state: MemberState::Alive,
        };
        Self {
            own,
            timing,
            members: BTreeMap::new(),
            rotation: Vec::new(),
            pending: BTreeMap::new(),
            last_number: 0,
            next_probe: now,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Applies the platform's list of live instances, which may include this one.
    ///
    /// Adds listed instances as members. A member that is not listed is kept until it has been dead
    /// for [`Timing::dead_retention`].
    pub fn set_list(&mut self, now: Instant, list: &[Contact]) {
        for member in self.members.values_mut() {
            member.listed = false;
        }
        for contact in list {
            if contact.id == self.own.contact.id {
                continue;
            }
            let member = self
                .members
                .entry(contact.id.clone())
                .or_insert_with(|| Member {
                    update: Update {
                        contact: contact.clone(),
                        incarnation: 0,
                        revision: 0,
                        state: MemberState::Alive,
                    },
                    since: now,
                    listed: true,
                    transmissions: u32::MAX,
                });
            member.listed = true;
            if member.update.state == MemberState::Dead || member.update.incarnation == 0 {
                member.update.contact.address.clone_from(&contact.address);
            }
        }
    }

    /// Returns the members that are not dead, without this instance.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(|member| member.update.state != MemberState::Dead)
    }

    /// Returns all members, including dead ones, without this instance.
    pub fn all_members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns a member, even if it is dead.
    pub fn get(&self, id: &str) -> Option<&Member> {
        self.members.get(id)
    }

    /// Returns the update about this instance.
    pub fn own_update(&self) -> &Update {
        &self.own
    }

    /// Changes to [`MemberState::Leaving`] and returns messages that announce it to every member.
    pub fn leave(&mut self, now: Instant) -> Vec<OutgoingMessage> {
        self.own.state = MemberState::Leaving;
        self.own.revision += 1;
        let ids: Vec<InstanceId> = self.members.keys().cloned().collect();
        ids.into_iter()
            .filter_map(|id| self.ping(now, id, None))
            .collect()
    }

    /// Expires probes and members, and returns the probes that are due.
    pub fn tick(&mut self, now: Instant) -> Vec<OutgoingMessage> {
        let mut out = Vec::new();
        self.expire_pending(now, &mut out);
        self.expire_members(now);
        if now >= self.next_probe {
            self.next_probe = now + self.timing.period;
            if let Some(target) = self.next_target() {
                out.extend(self.ping(now, target, None));
            }
        }
        out
    }

    /// Returns when ping `number` was sent, if it is pending and was sent to `sender` itself.
    pub fn ping_sent_at(&self, number: u64, sender: &str) -> Option<Instant> {
        let pending = self.pending.get(&number)?;
        (*pending.target == *sender).then_some(pending.sent)
    }

    /// Handles a message and returns the messages to send.
    pub fn receive(
        &mut self,
        now: Instant,
        from: &Update,
        message: ProbeMessage,
        updates: &[Update],
    ) -> Vec<OutgoingMessage> {
        self.apply_update(now, from);
        for update in updates {
            self.apply_update(now, update);
        }
        let sender = from.contact.clone();
        match message {
            ProbeMessage::Ping { number } => {
                vec![self.build_message(sender, ProbeMessage::Ack { number })]
            }
            ProbeMessage::Ack { number } => self.receive_ack(number, &sender.id),
            ProbeMessage::PingFor { number, target } => {
                let requester = Some((sender.id, number));
                self.ping(now, target, requester).into_iter().collect()
            }
        }
    }

    fn receive_ack(&mut self, number: u64, sender: &str) -> Vec<OutgoingMessage> {
        let is_expected = |pending: &Pending| pending.is_indirect || *pending.target == *sender;
        if !self.pending.get(&number).is_some_and(is_expected) {
            return Vec::new();
        }
        let Some(pending) = self.pending.remove(&number) else {
            return Vec::new();
        };
        let Some((member_id, number)) = pending.requester else {
            return Vec::new();
        };
        let contact = self
            .members
            .get(&member_id)
            .map(|member| member.update.contact.clone());
        contact
            .map(|contact| self.build_message(contact, ProbeMessage::Ack { number }))
            .into_iter()
            .collect()
    }

    fn ping(
        &mut self,
        now: Instant,
        target: InstanceId,
        requester: Option<(InstanceId, u64)>,
    ) -> Option<OutgoingMessage> {
        let contact = self.members.get(&target)?.update.contact.clone();
        self.last_number += 1;
        let number = self.last_number;
        let pending = Pending {
            target,
            sent: now,
            is_indirect: false,
            requester,
        };
        self.pending.insert(number, pending);
        Some(self.build_message(contact, ProbeMessage::Ping { number }))
    }

    // Probes each member once per round, in a random order that differs between instances.
    fn next_target(&mut self) -> Option<InstanceId> {
        loop {
            if self.rotation.is_empty() {
                let ids = self.members.keys().cloned();
                self.rotation = ids.collect();
                self.rotation.shuffle(&mut self.random);
            }
            let target = self.rotation.pop()?;
            if self.members.contains_key(&target) {
                return Some(target);
            }
        }
    }

    fn expire_pending(&mut self, now: Instant, out: &mut Vec<OutgoingMessage>) {
        let timeout = self.timing.timeout;
        let mut timed_out = Vec::new();
        let mut unanswered = Vec::new();
        for (number, pending) in &mut self.pending {
            let waited = now.saturating_duration_since(pending.sent);
            if waited >= timeout * 3 {
                unanswered.push(*number);
            } else if waited >= timeout && !pending.is_indirect && pending.requester.is_none() {
                pending.is_indirect = true;
                timed_out.push((*number, pending.target.clone()));
            }
        }
        for (number, target) in timed_out {
            self.request_indirect_probes(number, &target, out);
        }
        for number in unanswered {
            let Some(pending) = self.pending.remove(&number) else {
                continue;
            };
            if pending.requester.is_none() {
                self.suspect(now, &pending.target);
            }
        }
    }

    // Prefers helpers in other zones: their answers distinguish an unreachable zone from a failed
    // member.
    fn request_indirect_probes(
        &mut self,
        number: u64,
        target: &InstanceId,
        out: &mut Vec<OutgoingMessage>,
    ) {
        let own_zone = self.own.contact.zone.clone();
        let mut helpers: Vec<(bool, u32, Contact)> = Vec::new();
        for (id, member) in &self.members {
            if id == target || member.update.state != MemberState::Alive {
                continue;
            }
            let contact = member.update.contact.clone();
            let tie_breaker = self.random.random();
            helpers.push((contact.zone == own_zone, tie_breaker, contact));
        }
        helpers.sort_unstable_by_key(|(same_zone, tie_breaker, _)| (*same_zone, *tie_breaker));
        for (_, _, helper) in helpers.into_iter().take(INDIRECT_PROBES) {
            let target = target.clone();
            out.push(self.build_message(helper, ProbeMessage::PingFor { number, target }));
        }
    }

    fn suspect(&mut self, now: Instant, target: &str) {
        let Some(member) = self.members.get_mut(target) else {
            return;
        };
        let suspected = Update {
            state: MemberState::Suspect,
            ..member.update.clone()
        };
        if member.update.state == MemberState::Alive {
            member.update = suspected;
            member.since = now;
            member.transmissions = 0;
        } else if member.update.state == MemberState::Leaving {
            member.update.state = MemberState::Dead;
            member.since = now;
            member.transmissions = 0;
        }
    }

    fn expire_members(&mut self, now: Instant) {
        let timing = self.timing;
        for member in self.members.values_mut() {
            let age = now.saturating_duration_since(member.since);
            if member.update.state == MemberState::Suspect && age >= timing.suspicion_timeout {
                member.update.state = MemberState::Dead;
                member.since = now;
                member.transmissions = 0;
            }
        }
        self.members.retain(|_, member| {
            let age = now.saturating_duration_since(member.since);
            member.listed || member.update.state != MemberState::Dead || age < timing.dead_retention
        });
    }

    fn apply_update(&mut self, now: Instant, update: &Update) {
        if update.contact.id == self.own.contact.id {
            self.refute(update);
            return;
        }
        match self.members.get_mut(&update.contact.id) {
            Some(member) if update.rank() > member.update.rank() => {
                if member.update.state != update.state {
                    member.since = now;
                }
                member.update = update.clone();
                member.transmissions = 0;
            }
            Some(_) => {}
            None if update.state == MemberState::Dead => {}
            None => {
                let member = Member {
                    update: update.clone(),
                    since: now,
                    listed: false,
                    transmissions: 0,
                };
                self.members.insert(update.contact.id.clone(), member);
            }
        }
    }

    fn refute(&mut self, update: &Update) {
        let is_accusation = matches!(update.state, MemberState::Suspect | MemberState::Dead);
        let is_current = update.incarnation == self.own.incarnation || update.incarnation == 0;
        if is_accusation && is_current && update.revision >= self.own.revision {
            self.own.revision = update.revision + 1;
        }
    }

    fn build_message(&mut self, to: Contact, message: ProbeMessage) -> OutgoingMessage {
        let updates = self.updates_for(&to.id);
        OutgoingMessage {
            to,
            message,
            updates,
        }
    }

    // Returns the updates that have been sent least often. If the receiver is not alive in the view
    // of this instance, that update is always included, so that the receiver can refute it.
    fn updates_for(&mut self, receiver: &str) -> Vec<Update> {
        let limit = TRANSMIT_FACTOR * (self.members.len() + 1).ilog2().max(1);
        let mut updates = Vec::new();
        if let Some(member) = self.members.get(receiver)
            && member.update.state != MemberState::Alive
        {
            updates.push(member.update.clone());
        }
        let mut due: Vec<(u32, InstanceId)> = self
            .members
            .iter()
            .filter(|(id, member)| ***id != *receiver && member.transmissions < limit)
            .map(|(id, member)| (member.transmissions, id.clone()))
            .collect();
        due.sort_unstable();
        for (_, id) in due.into_iter().take(MAX_UPDATES) {
            if let Some(member) = self.members.get_mut(&id) {
                member.transmissions += 1;
                updates.push(member.update.clone());
            }
        }
        updates
    }
}
