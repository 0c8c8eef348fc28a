//! The node: routes events between the concerns and queues actions.

mod claiming;
mod duties;
mod ending;
mod peers;
mod serving;

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use apricotwell_admission::{FairQueue, WaitEstimate};
use apricotwell_leases::{Standing, View};
use apricotwell_membership::{Contact, Member, MemberState};
use apricotwell_messages::{Envelope, Message};
use apricotwell_placement::{DemandTable, Planner};
use apricotwell_records::{AppendError, Body, LogBatch, ReadError, Record};
use apricotwell_retry::RetryBudget;
use apricotwell_routing::Router;
use apricotwell_state::{Assembler, Rejected, State, restore};
use apricotwell_timeline::{Event, EventKind};
use apricotwell_types::{
    InstanceId, Map, ModelId, Offset, OrgId, RequestId, Shard, rendezvous_rank, shard_of,
};

use crate::claim_desk::ClaimDesk;
use crate::claim_holder::ClaimHolder;
use crate::fleet::Fleet;
use crate::log_writer::LogWriter;
use crate::order_desk::OrderDesk;
use crate::requests::RequestTable;
use crate::server_desk::ServerDesk;
use crate::token_desk::TokenDesk;
use crate::{Action, InstanceStatus, NodeSettings};

/// Records kept for peers that can't reach the log.
const MAX_RECENT: usize = 4096;
/// Time between two plans while nothing happens.
const PLAN_PERIOD: Duration = Duration::from_millis(200);
/// Time for which told demand counts, in demand periods.
const DEMAND_LIFETIME: u32 = 8;

/// Decisions of one entry instance.
///
/// # Invariants
///
/// Nothing is planned from the state while a record of this instance is not yet applied here.
pub struct Node {
    settings: NodeSettings,
    // Wall time at `started`, to date claims and events.
    wall_start: Duration,
    started: Instant,
    state: State,
    fleet: Fleet,
    writer: LogWriter,
    tokens: TokenDesk,
    queue: FairQueue,
    waits: Map<ModelId, WaitEstimate>,
    requests: RequestTable,
    router: Router,
    budgets: Map<(OrgId, ModelId), RetryBudget>,
    claims: ClaimDesk,
    claim_holder: ClaimHolder,
    servers: ServerDesk,
    orders: OrderDesk,
    demand: DemandTable,
    planner: Planner,
    recent: VecDeque<(Offset, Vec<u8>)>,
    snapshot: Assembler,
    tickets: u64,
    // When the keys in force were last known for certain.
    keys_known: Instant,
    // Whether the state has once reached the end of the log or a peer's snapshot.
    caught_up: bool,
    was_ready: bool,
    last_view: &'static str,
    member_states: Map<InstanceId, MemberState>,
    next_plan: Instant,
    next_demand: Instant,
    next_help: Instant,
    checkpointed: Offset,
    inbox: VecDeque<Envelope>,
    actions: Vec<Action>,
}

impl Node {
    /// Returns a node that knows nothing; `wall` is the time since the Unix epoch at `now`.
    pub fn new(now: Instant, wall: Duration, settings: NodeSettings) -> Self {
        let fleet = Fleet::new(now, &settings);
        Self {
            wall_start: wall,
            started: now,
            state: State::new(settings.genesis.clone()),
            fleet,
            writer: LogWriter::new(settings.id.clone(), settings.incarnation),
            tokens: TokenDesk::new(settings.token_term),
            queue: FairQueue::new(settings.max_waiting),
            waits: Map::default(),
            requests: RequestTable::default(),
            router: Router::new(settings.zone.clone()),
            budgets: Map::default(),
            claims: ClaimDesk::default(),
            claim_holder: ClaimHolder::default(),
            servers: ServerDesk::new(settings.report_period, settings.server_timeout),
            orders: OrderDesk::new(settings.load_timeout),
            demand: DemandTable::new(settings.demand_period * DEMAND_LIFETIME),
            planner: Planner::default(),
            recent: VecDeque::new(),
            snapshot: Assembler::default(),
            tickets: 0,
            keys_known: now,
            caught_up: false,
            was_ready: false,
            last_view: "",
            member_states: Map::default(),
            next_plan: now,
            next_demand: now,
            next_help: now,
            checkpointed: 0,
            inbox: VecDeque::new(),
            actions: Vec::new(),
            settings,
        }
    }

    /// Returns the settings.
    pub fn settings(&self) -> &NodeSettings {
        &self.settings
    }

    /// Returns the folded state.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the first offset of the control stream that is not applied.
    pub fn next_offset(&self) -> Offset {
        self.state.next()
    }

    /// Returns how far the view can be trusted.
    pub fn view(&self, now: Instant) -> View {
        self.fleet.view(now)
    }

    /// Returns whether callers may be sent here.
    pub fn is_ready(&self, now: Instant) -> bool {
        !self.fleet.is_leaving() && self.knows_keys(now)
    }

    /// Returns whether the keys in force are known well enough to serve callers.
    ///
    /// With the log out for everyone nothing can have been withdrawn. When only most members say
    /// so, the rest may have the log, and the answer holds for a limited time.
    pub(crate) fn knows_keys(&self, now: Instant) -> bool {
        let grace = self.settings.key_grace;
        self.caught_up
            && match self.view(now) {
                View::Fresh { .. } | View::Outage { complete: true, .. } => true,
                View::Outage { .. } => now < self.keys_known + grace,
                View::CutOff => false,
            }
    }

    /// Returns whether the instance drains.
    pub fn is_leaving(&self) -> bool {
        self.fleet.is_leaving()
    }

    /// Returns whether nothing is left to do for a draining instance.
    pub fn is_drained(&self) -> bool {
        let is_alone = self.fleet.any_peer().is_none();
        let has_duties = !is_alone && !self.fleet.own_shards().is_empty();
        self.requests.len() == 0 && self.claims.ends() == 0 && !has_duties
    }

    /// Returns whether this instance may act on a duty shard right now.
    pub fn holds_shard(&self, now: Instant, shard: Shard) -> bool {
        self.fleet.fence(now, shard).is_some()
    }

    /// Returns the number of accepted requests without an end.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Takes the queued actions.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Takes the platform's list of live entry instances.
    pub fn on_instances(&mut self, now: Instant, list: &[Contact]) {
        self.fleet.set_list(now, list);
    }

    /// Takes the platform's list of backend servers.
    pub fn on_servers(&mut self, now: Instant, list: Vec<crate::ListedServer>) {
        self.servers.set_list(list);
        self.pump(now);
    }

    /// Begins to drain: hands over duties and takes no new ones.
    pub fn leave(&mut self, now: Instant) {
        if !self.fleet.is_leaving() {
            let news = self.fleet.leave(now, self.state.next());
            for (to, envelope) in news {
                self.actions.push(Action::Send { to, envelope });
            }
            self.event(now, Event::new(EventKind::InstanceLeaving));
        }
    }

    /// Takes the outcome of a read of the control stream that began at `began`.
    ///
    /// Returns whether the records were dropped, so that a checkpoint must be read first.
    pub fn on_control_read(
        &mut self,
        now: Instant,
        began: Instant,
        result: Result<LogBatch, ReadError>,
    ) -> bool {
        let batch = match result {
            Ok(batch) => batch,
            Err(ReadError::Expired(first)) => return first > self.state.next(),
            Err(ReadError::Unreachable) => {
                self.ask_for_help(now);
                return false;
            }
        };
        let reaches_end = batch.reaches_end();
        let brings_news = !batch.records.is_empty();
        self.apply_records(now, batch.first, batch.records);
        let next = self.state.next();
        self.fleet.note_log_read(began, next, reaches_end);
        self.caught_up |= reaches_end;
        if brings_news {
            self.after_apply(now);
        }
        false
    }

    /// Takes a chunk from the checkpoint stream.
    ///
    /// Returns whether the chunk completed a checkpoint that was used. A torn or competing one is
    /// harmless.
    pub fn on_checkpoint_chunk(&mut self, now: Instant, bytes: &[u8]) -> bool {
        let Ok(chunk) = prost::Message::decode(bytes) else {
            return false;
        };
        let Ok(Some(bytes)) = self.snapshot.push(chunk) else {
            return false;
        };
        match restore(&bytes, &self.settings.genesis) {
            Ok(state) if state.next() > self.state.next() => {
                self.state = state;
                self.checkpointed = self.state.next();
                self.recent.clear();
                self.fleet.note_applied(self.state.next());
                self.after_apply(now);
                true
            }
            Ok(_) | Err(_) => false,
        }
    }

    /// Takes the outcome of an append.
    pub fn on_appended(&mut self, now: Instant, ticket: u64, result: Result<Offset, AppendError>) {
        self.claim_holder.on_appended(now, ticket, result);
        if self.writer.on_appended(now, ticket, result) {
            self.fleet.restore();
        }
        self.run_claims(now);
        self.flush(now);
    }

    /// Takes the outcome of a read of a claim stream.
    pub fn on_claims_read(
        &mut self,
        now: Instant,
        stream: &str,
        result: Result<LogBatch, ReadError>,
    ) {
        self.claim_holder.on_read(now, stream, result);
        self.run_claims(now);
        self.flush(now);
    }

    /// Lets time pass; call it every few tens of milliseconds.
    pub fn tick(&mut self, now: Instant) {
        let probes = self.fleet.tick(now, self.state.next());
        for (to, envelope) in probes {
            self.actions.push(Action::Send { to, envelope });
        }
        self.fleet.refresh(now, &self.state);
        self.note_views(now);
        self.run_duties(now);
        self.run_tokens(now);
        self.run_claims(now);
        self.expire_requests(now);
        self.tell_demand(now);
        self.pump(now);
        self.flush(now);
    }

    /// Returns the standing of this instance on a shard.
    pub(crate) fn standing(&self, now: Instant, shard: Shard) -> Standing {
        self.fleet.standing(now, shard)
    }

    /// Returns the requests waiting and running for a model, as told to its holder.
    pub(crate) fn demand_of(&self, now: Instant, model: &str) -> (u32, u32) {
        let waiting = self.demand.waiting(now, model);
        (waiting, self.demand.running(now, model))
    }

    /// Returns why a wanted model is not being loaded.
    pub(crate) fn placement_reason(&self, model: &str) -> Option<&str> {
        self.planner.reason(model)
    }

    /// Returns this instance's own part of its status.
    pub(crate) fn instance_status(&self, now: Instant) -> InstanceStatus {
        let member = |member: &Member| {
            let state = format!("{:?}", member.news.state).to_lowercase();
            (member.news.contact.id.to_string(), state)
        };
        let contact = self.fleet.contact_age(now);
        InstanceStatus {
            id: self.settings.id.to_string(),
            incarnation: self.settings.incarnation,
            zone: self.settings.zone.to_string(),
            ready: self.is_ready(now),
            leaving: self.is_leaving(),
            view: self.view(now).name().to_owned(),
            contact_ms: contact.map(|age| age.as_millis() as u64),
            next_offset: self.state.next(),
            requests: self.requests.len(),
            claims: self.claim_holder.claims(),
            members: self.fleet.membership().all().map(member).collect(),
        }
    }

    /// Returns the open instances for callers in `zone`, best first.
    ///
    /// The order is stable for one organisation and model, so that their traffic meets few
    /// instances.
    pub fn ranked_instances(&self, now: Instant, zone: &str, affinity: &str) -> Vec<InstanceId> {
        let item = u64::from(shard_of(affinity, Shard::MAX));
        let mut open = self.fleet.open_members();
        if !self.is_ready(now) {
            open.retain(|(id, _)| *id != self.settings.id);
        }
        open.sort_by_key(|(id, member_zone)| {
            let away = member_zone != zone;
            (away, std::cmp::Reverse(rendezvous_rank(item, id)))
        });
        open.into_iter().map(|(id, _)| id).collect()
    }

    fn apply_records(&mut self, now: Instant, first: Offset, records: Vec<Vec<u8>>) {
        // A gap means that records are missing; applying what follows would diverge for good.
        if first > self.state.next() {
            return;
        }
        for (offset, bytes) in (first..).zip(records) {
            if offset < self.state.next() {
                continue;
            }
            let outcome = self.state.apply_bytes(offset, &bytes);
            self.note_record(now, offset, &bytes, outcome);
            self.recent.push_back((offset, bytes));
            if self.recent.len() > MAX_RECENT {
                self.recent.pop_front();
            }
        }
    }

    fn after_apply(&mut self, now: Instant) {
        self.fleet.refresh(now, &self.state);
        self.orders.retain(now, &self.state);
        self.servers.retain(&self.state);
        self.pump(now);
        // What the records call for, such as the order that follows a decision, is done at once.
        self.next_plan = now;
        self.run_duties(now);
        self.flush(now);
    }

    // Sends the next group of records and delivers messages to this instance itself.
    fn flush(&mut self, now: Instant) {
        let next = self.state.next();
        let append = self.writer.tick(now, next, &mut self.tickets);
        self.actions.extend(append);
        while let Some(envelope) = self.inbox.pop_front() {
            self.receive_body(now, envelope);
        }
    }

    fn send(&mut self, now: Instant, to: &InstanceId, body: Message) {
        let envelope = self.fleet.envelope(now, self.state.next(), body);
        if *to == self.settings.id {
            self.inbox.push_back(envelope);
        } else if let Some(to) = self.fleet.contact(to) {
            self.actions.push(Action::Send { to, envelope });
        }
    }

    fn wall(&self, now: Instant) -> Duration {
        self.wall_start + now.saturating_duration_since(self.started)
    }

    fn event(&mut self, now: Instant, event: Event) {
        let at_us = self.wall(now).as_micros() as u64;
        let event = event.stamped(&self.settings.id, at_us);
        self.actions.push(Action::Event(event));
    }

    fn request_name(&self, request: RequestId) -> String {
        let NodeSettings {
            id, incarnation, ..
        } = &self.settings;
        format!("{id}/{incarnation}/{request}")
    }

    fn note_views(&mut self, now: Instant) {
        let view = self.view(now);
        if matches!(
            view,
            View::Fresh { .. } | View::Outage { complete: true, .. }
        ) {
            self.keys_known = now;
        }
        let view = view.name();
        if view != self.last_view {
            self.last_view = view;
            self.event(now, Event::new(EventKind::ViewChanged).with_detail(view));
        }
        let ready = self.is_ready(now);
        if ready && !self.was_ready {
            let offset = self.state.next();
            self.event(
                now,
                Event::new(EventKind::InstanceReady).with_offset(offset),
            );
        }
        self.was_ready = ready;
        let changed: Vec<(InstanceId, MemberState)> = self
            .fleet
            .membership()
            .all()
            .map(|member| (member.news.contact.id.clone(), member.news.state))
            .filter(|(id, state)| self.member_states.get(id) != Some(state))
            .collect();
        for (id, state) in changed {
            let detail = format!("{id} {state:?}");
            self.event(
                now,
                Event::new(EventKind::MemberChanged).with_detail(detail),
            );
            self.member_states.insert(id, state);
        }
    }

    fn note_record(
        &mut self,
        now: Instant,
        offset: Offset,
        bytes: &[u8],
        outcome: Result<(), Rejected>,
    ) {
        let Some(record) = Record::from_bytes(bytes) else {
            return;
        };
        if let Err(reason) = outcome {
            let detail = format!("{}: {reason}", record.writer);
            let event = Event::new(EventKind::RecordRejected).with_offset(offset);
            self.event(now, event.with_detail(detail));
            return;
        }
        let event = match record.body {
            Some(Body::Put(put)) => Event::new(EventKind::ConfigApplied).with_detail(put.path),
            Some(Body::Take(take)) => {
                let detail = format!("{} takes {:?}", take.holder, take.shards);
                Event::new(EventKind::LeaseTaken).with_detail(detail)
            }
            Some(Body::Decide(decide)) => Event::new(EventKind::ReplicaDecided)
                .with_replica(offset)
                .with_model(decide.model)
                .with_server(decide.server),
            Some(Body::Retire(retire)) => {
                Event::new(EventKind::ReplicaRetired).with_replica(retire.replica)
            }
            Some(Body::Settle(settle)) => {
                let kind = if self.state.ledger().replica(settle.replica).is_some() {
                    self.orders.note_loaded(now, settle.replica);
                    EventKind::ReplicaLoaded
                } else {
                    EventKind::ReplicaGone
                };
                Event::new(kind).with_replica(settle.replica)
            }
            Some(Body::ServerUp(up)) => {
                let detail = format!("incarnation {}", up.incarnation);
                let event = Event::new(EventKind::ServerStarted).with_server(up.server);
                event.with_detail(detail)
            }
            Some(Body::ServerGone(gone)) => {
                Event::new(EventKind::ServerEnded).with_server(gone.server)
            }
            Some(Body::Suspect(_)) => Event::new(EventKind::ServerCrashed),
            None => return,
        };
        self.event(now, event.with_offset(offset));
    }
}
