//! This instance's place in the fleet: members, freshness and leases.

use std::time::{Duration, Instant};

use apricotwell_leases::{
    Evidence, Freshness, LeasePlan, LiveMember, Standing, Standings, View, plan_leases,
};
use apricotwell_membership::{Contact, MemberState, Membership, Outgoing, Probe};
use apricotwell_messages::{
    Ack, Envelope, HeardEvidence, LogEvidence, Message, News, Ping, PingFor,
};
use apricotwell_state::State;
use apricotwell_types::{Fence, InstanceId, Offset, Shard};

use crate::NodeSettings;
use crate::order_desk::HeldTerm;
use crate::token_desk::Tenure;

/// Time in which a new instance lets the members on the list answer before it takes leases.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Statements of others on one answer.
const MAX_HEARD: usize = 24;
/// Windows without contact to the log after which an instance counts as unable to decide.
const LOST_WINDOWS: u32 = 3;
/// Time for which a shard is kept before it is handed on: by then its last holder's leaving is known
/// here, and the shard is not handed back.
const MIN_TENURE: Duration = Duration::from_secs(3);

/// Members, freshness of the view, and standing on duty shards.
#[derive(Debug)]
pub(crate) struct Fleet {
    me: InstanceId,
    incarnation: u64,
    window: Duration,
    membership: Membership,
    freshness: Freshness,
    standings: Standings,
    // Instances on the platform's list, this one included.
    listed: Vec<InstanceId>,
    leaving: bool,
    started: Instant,
    // When this instance last reached the log itself.
    direct: Option<Instant>,
    // Which statements of others the next answer passes on.
    next_heard: usize,
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
            me: settings.id.clone(),
            incarnation: settings.incarnation,
            window: settings.evidence_window,
            membership,
            freshness: Freshness::new(settings.evidence_window),
            standings: Standings::new(settings.id.clone(), settings.incarnation),
            listed: vec![settings.id.clone()],
            leaving: false,
            started: now,
            direct: None,
            next_heard: 0,
        }
    }

    pub(crate) fn set_list(&mut self, now: Instant, list: &[Contact]) {
        self.membership.set_list(now, list);
        self.listed = list.iter().map(|contact| contact.id.clone()).collect();
        if !self.listed.contains(&self.me) {
            self.listed.push(self.me.clone());
        }
        self.freshness.retain(&self.listed);
    }

    pub(crate) fn note_log_read(&mut self, began: Instant, next: Offset, reached_end: bool) {
        self.direct = self.direct.max(Some(began));
        if reached_end {
            self.freshness.note_log_read(began, next);
        } else {
            self.freshness.note_applied(next);
        }
    }

    pub(crate) fn note_applied(&mut self, next: Offset) {
        self.freshness.note_applied(next);
    }

    pub(crate) fn view(&self, now: Instant) -> View {
        self.freshness.view(now, &self.listed, &self.me)
    }

    pub(crate) fn contact_age(&self, now: Instant) -> Option<Duration> {
        self.freshness.contact_age(now)
    }

    /// Returns a peer that has applied records which this instance lacks.
    pub(crate) fn peer_ahead(&self, now: Instant) -> Option<Contact> {
        let peer = self.freshness.peer_ahead(now)?;
        self.contact(peer)
    }

    /// Returns any peer that answers.
    pub(crate) fn any_peer(&self) -> Option<Contact> {
        let mut alive = self.membership.members().filter(|member| {
            member.news.state == MemberState::Alive && member.news.incarnation > 0
        });
        alive.next().map(|member| member.news.contact.clone())
    }

    pub(crate) fn contact(&self, id: &str) -> Option<Contact> {
        let member = self.membership.get(id)?;
        Some(member.news.contact.clone())
    }

    pub(crate) fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the members that a caller may be sent to, this one included.
    pub(crate) fn open_members(&self) -> Vec<(InstanceId, String)> {
        let peers = self.membership.members().filter(|member| {
            member.news.state == MemberState::Alive && member.news.incarnation > 0
        });
        let mut open: Vec<(InstanceId, String)> = peers
            .map(|member| {
                let contact = &member.news.contact;
                (contact.id.clone(), contact.zone.to_string())
            })
            .collect();
        if !self.leaving {
            let own = &self.membership.own().contact;
            open.push((own.id.clone(), own.zone.to_string()));
        }
        open
    }

    /// Returns whether the process that made an attempt `instance/incarnation/…` has ended.
    pub(crate) fn is_gone(&self, attempt: &str) -> bool {
        let mut parts = attempt.split('/');
        let (Some(instance), Some(incarnation)) = (parts.next(), parts.next()) else {
            return true;
        };
        let incarnation: u64 = incarnation.parse().unwrap_or(0);
        if *instance == *self.me {
            return incarnation != self.incarnation;
        }
        match self.membership.get(instance) {
            None => true,
            Some(member) => {
                member.news.incarnation > incarnation
                    || (member.news.state == MemberState::Dead
                        && member.news.incarnation == incarnation)
            }
        }
    }

    /// Begins to drain and returns what tells the members of it.
    pub(crate) fn leave(&mut self, now: Instant, next: Offset) -> Vec<(Contact, Envelope)> {
        self.leaving = true;
        let out = self.membership.leave(now);
        self.envelopes(now, next, out)
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns the probes that are due.
    pub(crate) fn tick(&mut self, now: Instant, next: Offset) -> Vec<(Contact, Envelope)> {
        let out = self.membership.tick(now);
        self.envelopes(now, next, out)
    }

    /// Takes the membership part of a message and returns what to send.
    pub(crate) fn receive(
        &mut self,
        now: Instant,
        next: Offset,
        envelope: &Envelope,
    ) -> Vec<(Contact, Envelope)> {
        let Some(sender) = envelope.sender.as_ref().and_then(News::to_update) else {
            return Vec::new();
        };
        let probe = match &envelope.body {
            Some(Message::Ping(ping)) => Probe::Ping {
                number: ping.number,
            },
            Some(Message::Ack(ack)) => {
                self.note_evidence(ack.number, &sender.contact.id, envelope);
                Probe::Ack { number: ack.number }
            }
            Some(Message::PingFor(ask)) => Probe::PingFor {
                number: ask.number,
                target: ask.target.as_str().into(),
            },
            _ => return Vec::new(),
        };
        let news: Vec<_> = envelope.news.iter().filter_map(News::to_update).collect();
        let out = self.membership.receive(now, &sender, probe, &news);
        self.envelopes(now, next, out)
    }

    // Only an answer to an own ping counts: its beginning is known by this instance's clock. The
    // ages of what others said count from then, so that nothing is taken for newer than it was.
    fn note_evidence(&mut self, number: u64, peer: &InstanceId, envelope: &Envelope) {
        let Some(asked) = self.membership.ping_sent(number, peer) else {
            return;
        };
        if let Some(evidence) = envelope.evidence {
            let evidence = Evidence {
                asked,
                next: evidence.next,
                contact_age: evidence.contact_ms.map(Duration::from_millis),
                direct_age: evidence.direct_ms.map(Duration::from_millis),
            };
            self.freshness.note_peer(peer.clone(), evidence);
        }
        for heard in &envelope.heard {
            let Some(asked) = asked.checked_sub(Duration::from_millis(heard.age_ms)) else {
                continue;
            };
            if *heard.member == *self.me {
                continue;
            }
            let evidence = Evidence {
                asked,
                next: heard.next,
                contact_age: heard.contact_ms.map(Duration::from_millis),
                direct_age: heard.direct_ms.map(Duration::from_millis),
            };
            self.freshness
                .note_peer(heard.member.as_str().into(), evidence);
        }
    }

    // Some of what others said, in turn, so that a statement reaches everybody though each member
    // probes few others.
    fn pass_heard(&mut self, now: Instant) -> Vec<HeardEvidence> {
        let mut statements: Vec<(&InstanceId, &Evidence)> =
            self.freshness.statements(now).collect();
        statements.sort_unstable_by_key(|(peer, _)| *peer);
        let count = statements.len();
        let first = self.next_heard;
        self.next_heard = first.wrapping_add(MAX_HEARD);
        let turn = (0..count.min(MAX_HEARD)).map(|index| statements[(first + index) % count]);
        turn.map(|(peer, evidence)| HeardEvidence {
            member: peer.to_string(),
            next: evidence.next,
            age_ms: now.saturating_duration_since(evidence.asked).as_millis() as u64 + 1,
            contact_ms: evidence.contact_age.map(|age| age.as_millis() as u64),
            direct_ms: evidence.direct_age.map(|age| age.as_millis() as u64),
        })
        .collect()
    }

    /// Returns a message in an envelope with this instance's news.
    pub(crate) fn envelope(&self, now: Instant, next: Offset, body: Message) -> Envelope {
        Envelope {
            sender: Some(News::from_update(self.membership.own())),
            news: Vec::new(),
            evidence: Some(self.evidence(now, next)),
            heard: Vec::new(),
            body: Some(body),
        }
    }

    fn evidence(&self, now: Instant, next: Offset) -> LogEvidence {
        let age = self.contact_age(now);
        LogEvidence {
            next,
            // Rounded up, so that a peer never takes the contact for more recent than it was.
            contact_ms: age.map(|age| age.as_millis() as u64 + 1),
            direct_ms: self
                .direct
                .map(|direct| now.saturating_duration_since(direct).as_millis() as u64 + 1),
        }
    }

    fn envelopes(
        &mut self,
        now: Instant,
        next: Offset,
        out: Vec<Outgoing>,
    ) -> Vec<(Contact, Envelope)> {
        let mut envelopes = Vec::new();
        for outgoing in out {
            let is_answer = matches!(outgoing.probe, Probe::Ack { .. });
            let body = match outgoing.probe {
                Probe::Ping { number } => Message::Ping(Ping { number }),
                Probe::Ack { number } => Message::Ack(Ack { number }),
                Probe::PingFor { number, target } => Message::PingFor(PingFor {
                    number,
                    target: target.to_string(),
                }),
            };
            let mut envelope = self.envelope(now, next, body);
            envelope.news = outgoing.news.iter().map(News::from_update).collect();
            if is_answer {
                envelope.heard = self.pass_heard(now);
            }
            envelopes.push((outgoing.to, envelope));
        }
        envelopes
    }

    /// Brings the standing on leases up to date.
    pub(crate) fn refresh(&mut self, now: Instant, state: &State) {
        self.standings
            .refresh(now, state, &self.freshness, &self.listed);
    }

    /// Returns the standing on a shard; ask again immediately before each effect.
    pub(crate) fn standing(&self, now: Instant, shard: Shard) -> Standing {
        let until = self.freshness.leases_until(now, &self.listed, &self.me);
        self.standings.check(now, shard, until, self.window)
    }

    /// Returns the fence of a recorded lease of this instance, effective right now or not.
    pub(crate) fn recorded_fence(&self, state: &State, shard: Shard) -> Option<Fence> {
        let lease = state.lease(shard)?;
        let own = lease.holder == self.me && lease.incarnation == self.incarnation;
        own.then_some(lease.fence)
    }

    /// Returns the fence of a shard that may be acted on right now.
    pub(crate) fn fence(&self, now: Instant, shard: Shard) -> Option<Fence> {
        self.term(now, shard).map(|term| term.fence)
    }

    /// Returns fence and end of the term of a shard that may be acted on right now.
    pub(crate) fn term(&self, now: Instant, shard: Shard) -> Option<HeldTerm> {
        match self.standing(now, shard) {
            Standing::Held { fence, until, .. } => Some(HeldTerm { fence, until }),
            _ => None,
        }
    }

    /// Returns how this instance came by a shard that it may act on right now.
    pub(crate) fn tenure(&self, now: Instant, state: &State, shard: Shard) -> Option<Tenure> {
        let Standing::Held { fence, since, .. } = self.standing(now, shard) else {
            return None;
        };
        let lease = state.lease(shard)?;
        Some(Tenure {
            fence,
            previous: lease.previous,
            since,
        })
    }

    /// Returns the shards of this instance's recorded leases.
    pub(crate) fn own_shards(&self) -> Vec<Shard> {
        self.standings.shards()
    }

    /// Gives up a shard before its handover is recorded.
    pub(crate) fn release(&mut self, shard: Shard) {
        self.standings.release(shard);
    }

    /// Takes released shards back, once the log has definitely not taken their handovers.
    pub(crate) fn restore(&mut self) {
        self.standings.restore();
    }

    /// Returns whether this instance reaches the log itself, so that it can append.
    pub(crate) fn reaches_log(&self, now: Instant) -> bool {
        self.direct.is_some_and(|direct| now < direct + self.window)
    }

    /// Plans lease records; only an instance that reaches the log can append them.
    pub(crate) fn plan(&self, now: Instant, state: &State) -> LeasePlan {
        if !self.reaches_log(now) {
            return LeasePlan::default();
        }
        // A fleet that starts together would otherwise move most leases right after taking them.
        if now < self.started + SETTLE_TIME && !self.has_met_all() {
            return LeasePlan::default();
        }
        let live = self.live_members(now);
        let may_hand = |shard| {
            self.leaving
                || matches!(self.standing(now, shard), Standing::Held { since, .. }
                    if now >= since + MIN_TENURE)
        };
        plan_leases(state, &live, &self.me, self.incarnation, may_hand)
    }

    fn has_met_all(&self) -> bool {
        self.listed.iter().all(|id| {
            let member = self.membership.get(id);
            *id == self.me || member.is_some_and(|member| member.news.incarnation > 0)
        })
    }

    // A suspected member keeps its duties until it is declared dead. One that has not reached the
    // log for two windows, while this instance does, can decide nothing and loses them.
    fn live_members(&self, now: Instant) -> Vec<LiveMember> {
        let reaches_log = |id: &InstanceId| {
            let direct = self.freshness.direct_contact(id);
            direct.is_none_or(|direct| now < direct + self.window * LOST_WINDOWS)
        };
        let mut live: Vec<LiveMember> = self
            .membership
            .members()
            .filter(|member| member.news.incarnation > 0)
            .filter(|member| reaches_log(&member.news.contact.id))
            .map(|member| LiveMember {
                id: member.news.contact.id.clone(),
                incarnation: member.news.incarnation,
                leaving: member.news.state == MemberState::Leaving,
            })
            .collect();
        live.push(LiveMember {
            id: self.me.clone(),
            incarnation: self.incarnation,
            leaving: self.leaving,
        });
        live.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        live
    }
}
