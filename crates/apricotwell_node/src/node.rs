//! The node routes events between its components and queues actions.

mod coordination;
mod crashes;
mod failures;
mod idempotency;
mod limits;
mod peers;
mod serving;

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use apricotwell_admission::{FairQueue, WaitEstimate};
use apricotwell_leases::{LeaseState, View};
use apricotwell_membership::{Contact, Member, MemberState};
use apricotwell_messages::{Envelope, Message};
use apricotwell_permits::prelude::LimitedServers;
use apricotwell_placement::{DemandTable, PlacementPlanner};
use apricotwell_quarantine::prelude::SharedQuarantine;
use apricotwell_records::{AppendError, Body, LogBatch, ReadError, Record};
use apricotwell_retry::RetryBudget;
use apricotwell_routing::Router;
use apricotwell_state::{CheckpointAssembler, RejectReason, State, restore_checkpoint};
use apricotwell_timeline::{Event, EventKind};
use apricotwell_types::{
    InstanceId, Map, ModelId, Offset, OrgId, RequestId, Shard, rendezvous_rank, shard_of,
};

use crate::claim_client::ClaimClient;
use crate::claim_coordinator::ClaimCoordinator;
use crate::fleet::Fleet;
use crate::log_writer::LogWriter;
use crate::order_manager::OrderManager;
use crate::requests::RequestTable;
use crate::server_registry::ServerRegistry;
use crate::token_manager::TokenManager;
use crate::{Action, InstanceStatus, NodeSettings};

/// Number of applied records kept for peers that can't reach the log.
const MAX_RECENT_RECORDS: usize = 4096;
/// Time between two planning rounds while no event triggers one.
const PLAN_PERIOD: Duration = Duration::from_millis(200);
/// Time for which a demand report counts, in demand periods.
const DEMAND_PERIODS: u32 = 8;

/// Decides what one entry instance does.
///
/// # Invariants
///
/// The node plans from the state only when it has applied every record that it appended itself.
pub struct Node {
    settings: NodeSettings,
    // Wall time at `started`, for the timestamps of claims and events.
    wall_start: Duration,
    started: Instant,
    state: State,
    fleet: Fleet,
    writer: LogWriter,
    tokens: TokenManager,
    queue: FairQueue,
    wait_estimates: Map<ModelId, WaitEstimate>,
    requests: RequestTable,
    router: Router,
    retry_budgets: Map<(OrgId, ModelId), RetryBudget>,
    claim_client: ClaimClient,
    claim_coordinator: ClaimCoordinator,
    servers: ServerRegistry,
    limited: LimitedServers,
    crashes: SharedQuarantine,
    next_crash_report: Instant,
    // Position of the member that was last told of crashes.
    crash_report_turn: usize,
    orders: OrderManager,
    demand: DemandTable,
    planner: PlacementPlanner,
    recent_records: VecDeque<(Offset, Vec<u8>)>,
    snapshot: CheckpointAssembler,
    last_ticket: u64,
    // When the API keys were last known to be up to date.
    keys_confirmed: Instant,
    // Whether the state has ever reached the end of the log or caught up with a peer.
    caught_up: bool,
    was_ready: bool,
    last_view: &'static str,
    member_states: Map<InstanceId, MemberState>,
    next_plan: Instant,
    next_demand: Instant,
    next_catch_up: Instant,
    last_checkpoint: Offset,
    loopback: VecDeque<Envelope>,
    actions: Vec<Action>,
}

impl Node {
    /// Returns a node with an empty state; `wall` is the time since the Unix epoch at `now`.
    pub fn new(now: Instant, wall: Duration, settings: NodeSettings) -> Self {
        let fleet = Fleet::new(now, &settings);
        Self {
            wall_start: wall,
            started: now,
            state: State::new(settings.genesis.clone()),
            fleet,
            writer: LogWriter::new(settings.id.clone(), settings.incarnation),
            tokens: TokenManager::new(settings.token_term),
            queue: FairQueue::new(settings.max_waiting),
            wait_estimates: Map::default(),
            requests: RequestTable::default(),
            router: Router::new(settings.zone.clone()),
            retry_budgets: Map::default(),
            claim_client: ClaimClient::default(),
            claim_coordinator: ClaimCoordinator::default(),
            limited: LimitedServers::new(settings.incarnation),
            crashes: SharedQuarantine::default(),
            next_crash_report: now,
            crash_report_turn: 0,
            servers: ServerRegistry::new(settings.report_period, settings.server_timeout),
            orders: OrderManager::new(settings.load_timeout),
            demand: DemandTable::new(settings.demand_period * DEMAND_PERIODS),
            planner: PlacementPlanner::default(),
            recent_records: VecDeque::new(),
            snapshot: CheckpointAssembler::default(),
            last_ticket: 0,
            keys_confirmed: now,
            caught_up: false,
            was_ready: false,
            last_view: "",
            member_states: Map::default(),
            next_plan: now,
            next_demand: now,
            next_catch_up: now,
            last_checkpoint: 0,
            loopback: VecDeque::new(),
            actions: Vec::new(),
            settings,
        }
    }

    /// Returns the settings.
    pub fn settings(&self) -> &NodeSettings {
        &self.settings
    }

    /// Returns the state built from the applied records.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the first offset of the control stream that is not applied yet.
    pub fn next_offset(&self) -> Offset {
        self.state.next()
    }

    /// Returns how far this instance's view of the log can be trusted.
    pub fn view(&self, now: Instant) -> View {
        self.fleet.view(now)
    }

    /// Returns whether this instance is ready for new clients: it can check API keys and isn't
    /// draining. A draining instance still accepts requests.
    pub fn is_ready(&self, now: Instant) -> bool {
        !self.fleet.is_draining() && self.can_check_keys(now)
    }

    /// Returns whether the API keys are known well enough to authenticate clients.
    ///
    /// While every member confirms that the log is out, no member can know of a withdrawn key that
    /// this instance still accepts. When only a majority confirms it, the other members may still
    /// reach the log, so keys are accepted for [`NodeSettings::key_grace`] only.
    pub(crate) fn can_check_keys(&self, now: Instant) -> bool {
        let grace = self.settings.key_grace;
        self.caught_up
            && match self.view(now) {
                View::Fresh { .. }
                | View::Outage {
                    unanimous: true, ..
                } => true,
                View::Outage { .. } => now < self.keys_confirmed + grace,
                View::CutOff => false,
            }
    }

    /// Returns whether the instance is draining.
    pub fn is_draining(&self) -> bool {
        self.fleet.is_draining()
    }

    /// Returns whether a draining instance has finished all its work.
    pub fn is_drained(&self) -> bool {
        let is_alone = self.fleet.any_peer().is_none();
        let holds_shards = !is_alone && !self.fleet.own_shards().is_empty();
        self.requests.len() == 0 && self.claim_client.unrecorded() == 0 && !holds_shards
    }

    /// Returns whether this instance holds an effective lease on a shard.
    pub fn holds_shard(&self, now: Instant, shard: Shard) -> bool {
        self.fleet.fence(now, shard).is_some()
    }

    /// Returns the number of accepted requests that have no outcome yet.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Removes and returns the queued actions.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Handles the platform's list of live entry instances.
    pub fn on_instances(&mut self, now: Instant, list: &[Contact]) {
        self.fleet.set_list(now, list);
    }

    /// Handles the platform's list of backend servers.
    pub fn on_servers(&mut self, now: Instant, list: Vec<crate::ListedServer>) {
        self.servers.set_list(list);
        self.expire_limits(now);
        self.dispatch_queued(now);
    }

    /// Starts to drain: hands over held shards and takes no new ones.
    pub fn start_draining(&mut self, now: Instant) {
        if !self.fleet.is_draining() {
            let messages = self.fleet.leave(now, self.state.next());
            for (to, envelope) in messages {
                self.actions.push(Action::Send { to, envelope });
            }
            self.emit(now, Event::new(EventKind::InstanceLeaving));
        }
    }

    /// Handles the result of a read of the control stream that began at `began`.
    ///
    /// Returns whether the log has dropped the needed records, so that a checkpoint must be read
    /// first.
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
                self.request_catch_up(now);
                return false;
            }
        };
        let reaches_end = batch.reaches_end();
        let has_records = !batch.records.is_empty();
        self.apply_records(now, batch.first, batch.records);
        let next = self.state.next();
        self.fleet.on_log_read(began, next, reaches_end);
        self.caught_up |= reaches_end;
        if has_records {
            self.after_apply(now);
        }
        false
    }

    /// Handles a chunk from the checkpoint stream.
    ///
    /// Returns whether the chunk completed a checkpoint that replaced the state. Chunks of several
    /// checkpoints may be interleaved. A checkpoint that is incomplete, corrupt or not newer than the
    /// state has no effect.
    pub fn on_checkpoint_chunk(&mut self, now: Instant, bytes: &[u8]) -> bool {
        let Ok(chunk) = prost::Message::decode(bytes) else {
            return false;
        };
        let Ok(Some(bytes)) = self.snapshot.push(chunk) else {
            return false;
        };
        match restore_checkpoint(&bytes, &self.settings.genesis) {
            Ok(state) if state.next() > self.state.next() => {
                self.state = state;
                self.last_checkpoint = self.state.next();
                self.recent_records.clear();
                self.fleet.set_applied(self.state.next());
                self.after_apply(now);
                true
            }
            Ok(_) | Err(_) => false,
        }
    }

    /// Handles the result of an append.
    pub fn on_appended(&mut self, now: Instant, ticket: u64, result: Result<Offset, AppendError>) {
        self.claim_coordinator.on_appended(now, ticket, result);
        if self.writer.on_appended(now, ticket, result) {
            self.fleet.restore();
        }
        self.drive_claims(now);
        self.flush(now);
    }

    /// Handles the result of a read of a claim stream.
    pub fn on_claims_read(
        &mut self,
        now: Instant,
        stream: &str,
        result: Result<LogBatch, ReadError>,
    ) {
        self.claim_coordinator.on_read(now, stream, result);
        self.drive_claims(now);
        self.flush(now);
    }

    /// Handles everything that is due at `now`; must be called every few tens of milliseconds.
    pub fn tick(&mut self, now: Instant) {
        let probes = self.fleet.tick(now, self.state.next());
        for (to, envelope) in probes {
            self.actions.push(Action::Send { to, envelope });
        }
        self.fleet.refresh(now, &self.state);
        self.track_view(now);
        self.run_coordination(now);
        self.request_tokens(now);
        self.drive_claims(now);
        self.expire_requests(now);
        self.send_demand(now);
        self.dispatch_queued(now);
        self.request_permits(now);
        self.exchange_crashes(now);
        self.flush(now);
    }

    /// Returns the state of this instance's lease on a shard.
    pub(crate) fn lease_state(&self, now: Instant, shard: Shard) -> LeaseState {
        self.fleet.lease_state(now, shard)
    }

    /// Returns the numbers of waiting and running requests for a model, as reported to its lease
    /// holder.
    pub(crate) fn model_demand(&self, now: Instant, model: &str) -> (u32, u32) {
        let waiting = self.demand.waiting(now, model);
        (waiting, self.demand.running(now, model))
    }

    /// Returns why a requested model is not being loaded.
    pub(crate) fn placement_reason(&self, model: &str) -> Option<&str> {
        self.planner.reason(model)
    }

    /// Returns the status of the instance itself.
    pub(crate) fn instance_status(&self, now: Instant) -> InstanceStatus {
        let member = |member: &Member| {
            let state = format!("{:?}", member.update.state).to_lowercase();
            (member.update.contact.id.to_string(), state)
        };
        let view_age = self.fleet.view_age(now);
        InstanceStatus {
            id: self.settings.id.to_string(),
            incarnation: self.settings.incarnation,
            zone: self.settings.zone.to_string(),
            ready: self.is_ready(now),
            leaving: self.is_draining(),
            view: self.view(now).name().to_owned(),
            contact_ms: view_age.map(|age| age.as_millis() as u64),
            next_offset: self.state.next(),
            requests: self.requests.len(),
            claims: self.claim_coordinator.claims(),
            members: self.fleet.membership().all_members().map(member).collect(),
        }
    }

    /// Returns the instances that accept clients, those preferred for `zone` first.
    ///
    /// Instances of the zone come first. Within a zone the order depends only on `affinity`, so
    /// that the traffic of one organisation and model goes to few instances.
    pub fn ranked_instances(&self, now: Instant, zone: &str, affinity: &str) -> Vec<InstanceId> {
        let item = u64::from(shard_of(affinity, Shard::MAX));
        let mut ready = self.fleet.ready_members();
        if !self.is_ready(now) {
            ready.retain(|(id, _)| *id != self.settings.id);
        }
        ready.sort_by_key(|(id, member_zone)| {
            let is_remote = member_zone != zone;
            (is_remote, std::cmp::Reverse(rendezvous_rank(item, id)))
        });
        ready.into_iter().map(|(id, _)| id).collect()
    }

    fn apply_records(&mut self, now: Instant, first: Offset, records: Vec<Vec<u8>>) {
        // Records are missing before `first`: applying the batch would make this state diverge
        // from that of the other instances permanently.
        if first > self.state.next() {
            return;
        }
        for (offset, bytes) in (first..).zip(records) {
            if offset < self.state.next() {
                continue;
            }
            let outcome = self.state.apply_bytes(offset, &bytes);
            self.on_record(now, offset, &bytes, outcome);
            self.recent_records.push_back((offset, bytes));
            if self.recent_records.len() > MAX_RECENT_RECORDS {
                self.recent_records.pop_front();
            }
        }
    }

    fn after_apply(&mut self, now: Instant) {
        self.fleet.refresh(now, &self.state);
        self.orders.retain(now, &self.state);
        self.servers.retain(&self.state);
        self.dispatch_queued(now);
        // Follow-up work, such as the load order after a placement decision, starts at once.
        self.next_plan = now;
        self.run_coordination(now);
        self.flush(now);
    }

    // Appends the next group of records and delivers the messages that this instance sent to itself.
    fn flush(&mut self, now: Instant) {
        let next = self.state.next();
        let append = self.writer.tick(now, next, &mut self.last_ticket);
        self.actions.extend(append);
        while let Some(envelope) = self.loopback.pop_front() {
            self.receive_body(now, envelope);
        }
    }

    fn send(&mut self, now: Instant, to: &InstanceId, body: Message) {
        let envelope = self.fleet.envelope(now, self.state.next(), body);
        if *to == self.settings.id {
            self.loopback.push_back(envelope);
        } else if let Some(to) = self.fleet.contact(to) {
            self.actions.push(Action::Send { to, envelope });
        }
    }

    fn wall(&self, now: Instant) -> Duration {
        self.wall_start + now.saturating_duration_since(self.started)
    }

    fn emit(&mut self, now: Instant, event: Event) {
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

    fn track_view(&mut self, now: Instant) {
        let view = self.view(now);
        if matches!(
            view,
            View::Fresh { .. }
                | View::Outage {
                    unanimous: true,
                    ..
                }
        ) {
            self.keys_confirmed = now;
        }
        let view = view.name();
        if view != self.last_view {
            self.last_view = view;
            self.emit(now, Event::new(EventKind::ViewChanged).with_detail(view));
        }
        let ready = self.is_ready(now);
        if ready && !self.was_ready {
            let offset = self.state.next();
            self.emit(
                now,
                Event::new(EventKind::InstanceReady).with_offset(offset),
            );
        }
        self.was_ready = ready;
        let changed: Vec<(InstanceId, MemberState)> = self
            .fleet
            .membership()
            .all_members()
            .map(|member| (member.update.contact.id.clone(), member.update.state))
            .filter(|(id, state)| self.member_states.get(id) != Some(state))
            .collect();
        for (id, state) in changed {
            let detail = format!("{id} {state:?}");
            self.emit(
                now,
                Event::new(EventKind::MemberChanged).with_detail(detail),
            );
            if state == MemberState::Alive {
                // It may have just started.
                self.send_crashes(now, &id);
            }
            self.member_states.insert(id, state);
        }
    }

    fn on_record(
        &mut self,
        now: Instant,
        offset: Offset,
        bytes: &[u8],
        outcome: Result<(), RejectReason>,
    ) {
        let Some(record) = Record::from_bytes(bytes) else {
            return;
        };
        if let Err(reason) = outcome {
            let detail = format!("{}: {reason}", record.writer);
            let event = Event::new(EventKind::RecordRejected).with_offset(offset);
            self.emit(now, event.with_detail(detail));
            return;
        }
        let event = match record.body {
            Some(Body::PutConfig(put)) => {
                Event::new(EventKind::ConfigApplied).with_detail(put.path)
            }
            Some(Body::AcquireLeases(acquire)) => {
                let detail = format!("{} takes {:?}", acquire.holder, acquire.shards);
                Event::new(EventKind::LeaseTaken).with_detail(detail)
            }
            Some(Body::DecideLoad(decide)) => Event::new(EventKind::ReplicaDecided)
                .with_replica(offset)
                .with_model(decide.model)
                .with_server(decide.server),
            Some(Body::RetireReplica(retire)) => {
                Event::new(EventKind::ReplicaRetired).with_replica(retire.replica)
            }
            Some(Body::SettleReplica(settle)) => {
                let kind = if self.state.ledger().replica(settle.replica).is_some() {
                    self.orders.reset_first_seen(now, settle.replica);
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
            Some(Body::CrashSuspect(_)) => Event::new(EventKind::ServerCrashed),
            None => return,
        };
        self.emit(now, event.with_offset(offset));
    }
}
