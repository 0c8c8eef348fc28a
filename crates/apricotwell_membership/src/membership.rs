//! The protocol.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

use apricotwell_types::{Incarnation, InstanceId};

use crate::member::{Contact, Member, MemberState, Update};

/// News on one message; bounds its size.
const MAX_NEWS: usize = 6;
/// Times that news are passed on, multiplied by the logarithm of the number of members.
const TELL_FACTOR: u32 = 3;
/// Members asked to probe a silent one.
const HELPERS: usize = 3;

/// Periods of the protocol.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Time between two probes.
    pub period: Duration,
    /// Time in which a direct probe must be answered; twice that for an indirect one.
    pub timeout: Duration,
    /// Time in which a suspected member can refute.
    pub suspicion_timeout: Duration,
    /// Time for which a dead member is remembered.
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

/// Message between members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProbeMessage {
    /// Asks for an answer.
    Ping {
        /// Number that the answer repeats.
        number: u64,
    },
    /// Answers a ping.
    Ack {
        /// Number of the ping.
        number: u64,
    },
    /// Asks the receiver to ping `target` and to pass its answer back.
    PingFor {
        /// Number that the answer repeats.
        number: u64,
        /// Member to ping.
        target: InstanceId,
    },
}

/// Message to send, with news for the receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// Receiver.
    pub to: Contact,
    /// Message.
    pub message: ProbeMessage,
    /// News.
    pub updates: Vec<Update>,
}

#[derive(Debug)]
struct Pending {
    target: InstanceId,
    sent: Instant,
    asked_helpers: bool,
    // Member and number to which the answer is passed back.
    asked_by: Option<(InstanceId, u64)>,
}

/// Members of the fleet as this instance sees them.
#[derive(Debug)]
pub struct Membership {
    own: Update,
    timing: Timing,
    members: BTreeMap<InstanceId, Member>,
    rotation: Vec<InstanceId>,
    pending: BTreeMap<u64, Pending>,
    last_number: u64,
    next_probe: Instant,
    random: StdRng,
}

impl Membership {
    /// Returns a membership that knows only itself.
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

    /// Takes the platform's list of live instances, this one left out or not.
    ///
    /// A member missing from it is forgotten once it no longer answers probes.
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

    /// Returns the members that answer or may still answer, this instance left out.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(|member| member.update.state != MemberState::Dead)
    }

    /// Returns all known members, dead ones included, this instance left out.
    pub fn all_members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns a member, dead ones included.
    pub fn get(&self, id: &str) -> Option<&Member> {
        self.members.get(id)
    }

    /// Returns this instance's own news.
    pub fn own_update(&self) -> &Update {
        &self.own
    }

    /// Announces to every member that this instance drains.
    pub fn leave(&mut self, now: Instant) -> Vec<OutgoingMessage> {
        self.own.state = MemberState::Leaving;
        self.own.revision += 1;
        let ids: Vec<InstanceId> = self.members.keys().cloned().collect();
        ids.into_iter()
            .filter_map(|id| self.ping(now, id, None))
            .collect()
    }

    /// Sends what is due.
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

    /// Returns when the ping was sent that `sender` itself answers with `number`.
    pub fn ping_sent_at(&self, number: u64, sender: &str) -> Option<Instant> {
        let pending = self.pending.get(&number)?;
        (*pending.target == *sender).then_some(pending.sent)
    }

    /// Takes a message and returns what to send.
    pub fn receive(
        &mut self,
        now: Instant,
        from: &Update,
        message: ProbeMessage,
        updates: &[Update],
    ) -> Vec<OutgoingMessage> {
        self.learn(now, from);
        for update in updates {
            self.learn(now, update);
        }
        let sender = from.contact.clone();
        match message {
            ProbeMessage::Ping { number } => {
                vec![self.outgoing(sender, ProbeMessage::Ack { number })]
            }
            ProbeMessage::Ack { number } => self.receive_ack(number, &sender.id),
            ProbeMessage::PingFor { number, target } => {
                let asked_by = Some((sender.id, number));
                self.ping(now, target, asked_by).into_iter().collect()
            }
        }
    }

    fn receive_ack(&mut self, number: u64, sender: &str) -> Vec<OutgoingMessage> {
        let speaks = |pending: &Pending| pending.asked_helpers || *pending.target == *sender;
        if !self.pending.get(&number).is_some_and(speaks) {
            return Vec::new();
        }
        let Some(pending) = self.pending.remove(&number) else {
            return Vec::new();
        };
        let Some((asker, number)) = pending.asked_by else {
            return Vec::new();
        };
        let contact = self
            .members
            .get(&asker)
            .map(|member| member.update.contact.clone());
        contact
            .map(|contact| self.outgoing(contact, ProbeMessage::Ack { number }))
            .into_iter()
            .collect()
    }

    fn ping(
        &mut self,
        now: Instant,
        target: InstanceId,
        asked_by: Option<(InstanceId, u64)>,
    ) -> Option<OutgoingMessage> {
        let contact = self.members.get(&target)?.update.contact.clone();
        self.last_number += 1;
        let number = self.last_number;
        let pending = Pending {
            target,
            sent: now,
            asked_helpers: false,
            asked_by,
        };
        self.pending.insert(number, pending);
        Some(self.outgoing(contact, ProbeMessage::Ping { number }))
    }

    // Each member is probed once per round in an order that no two members share.
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
        let mut silent = Vec::new();
        let mut unanswered = Vec::new();
        for (number, pending) in &mut self.pending {
            let waited = now.saturating_duration_since(pending.sent);
            if waited >= timeout * 3 {
                unanswered.push(*number);
            } else if waited >= timeout && !pending.asked_helpers && pending.asked_by.is_none() {
                pending.asked_helpers = true;
                silent.push((*number, pending.target.clone()));
            }
        }
        for (number, target) in silent {
            self.ask_helpers(number, &target, out);
        }
        for number in unanswered {
            let Some(pending) = self.pending.remove(&number) else {
                continue;
            };
            if pending.asked_by.is_none() {
                self.suspect(now, &pending.target);
            }
        }
    }

    // Helpers in other zones come first: they tell a lost zone from a lost member.
    fn ask_helpers(&mut self, number: u64, target: &InstanceId, out: &mut Vec<OutgoingMessage>) {
        let own_zone = self.own.contact.zone.clone();
        let mut helpers: Vec<(bool, u32, Contact)> = Vec::new();
        for (id, member) in &self.members {
            if id == target || member.update.state != MemberState::Alive {
                continue;
            }
            let contact = member.update.contact.clone();
            let order = self.random.random();
            helpers.push((contact.zone == own_zone, order, contact));
        }
        helpers.sort_unstable_by_key(|(same_zone, order, _)| (*same_zone, *order));
        for (_, _, helper) in helpers.into_iter().take(HELPERS) {
            let target = target.clone();
            out.push(self.outgoing(helper, ProbeMessage::PingFor { number, target }));
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

    fn learn(&mut self, now: Instant, update: &Update) {
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
        let accuses = matches!(update.state, MemberState::Suspect | MemberState::Dead);
        let current = update.incarnation == self.own.incarnation || update.incarnation == 0;
        if accuses && current && update.revision >= self.own.revision {
            self.own.revision = update.revision + 1;
        }
    }

    fn outgoing(&mut self, to: Contact, message: ProbeMessage) -> OutgoingMessage {
        let updates = self.updates_for(&to.id);
        OutgoingMessage {
            to,
            message,
            updates,
        }
    }

    // The least told news come first. What is thought of the receiver always goes along, so that
    // it can refute.
    fn updates_for(&mut self, receiver: &str) -> Vec<Update> {
        let limit = TELL_FACTOR * (self.members.len() + 1).ilog2().max(1);
        let mut updates = Vec::new();
        if let Some(member) = self.members.get(receiver)
            && member.update.state != MemberState::Alive
        {
            updates.push(member.update.clone());
        }
        let mut fresh: Vec<(u32, InstanceId)> = self
            .members
            .iter()
            .filter(|(id, member)| ***id != *receiver && member.transmissions < limit)
            .map(|(id, member)| (member.transmissions, id.clone()))
            .collect();
        fresh.sort_unstable();
        for (_, id) in fresh.into_iter().take(MAX_NEWS) {
            if let Some(member) = self.members.get_mut(&id) {
                member.transmissions += 1;
                updates.push(member.update.clone());
            }
        }
        updates
    }
}
