//! Work of a shard's lease holder: leases, servers, placement, orders and checkpoints.

use std::time::Instant;

use prost::Message as _;

use apricotwell_messages::{Message, Reclaim};
use apricotwell_placement::{PlacementView, PlanStep};
use apricotwell_records::{AcquireLeases, Body, CHECKPOINT_STREAM, DecideLoad, RetireReplica};
use apricotwell_state::{Replica, chunk_checkpoint};
use apricotwell_timeline::{Event, EventKind};
use apricotwell_types::{ServerId, Set, shard_of};

use super::{Node, PLAN_PERIOD};
use crate::order_manager::OrderView;
use crate::{Action, OrderKind, OrderOutcome, ServerReport};

/// Claims are rewritten once per log retention divided by this number.
const REPUBLISH_DIVISOR: u32 = 4;
/// Shard whose lease holder writes checkpoints.
const CHECKPOINT_SHARD: u32 = 0;

impl Node {
    /// Handles an engine's report, or `None` when the engine could not be reached.
    pub fn on_report(&mut self, now: Instant, server: &ServerId, report: Option<ServerReport>) {
        if let Some(report) = &report {
            let load = apricotwell_routing::LoadReport {
                requests: report.requests,
                measured_at: now.checked_sub(report.load_age).unwrap_or(now),
            };
            self.router.record_report(server, load);
        }
        let crashed = self.servers.on_report(now, server, report);
        for suspect in &crashed {
            let digest = suspect.body.0.to_vec();
            let suspect = apricotwell_records::CrashSuspect { digest };
            self.writer.push(Body::CrashSuspect(suspect));
            let event = Event::new(EventKind::ServerCrashed).with_server(server.to_string());
            self.emit(now, event);
        }
        if !crashed.is_empty() {
            self.record_crash(now, server, crashed);
        }
        self.resume_checked(now, server);
        self.next_plan = now;
        self.dispatch_queued(now);
        self.flush(now);
    }

    /// Handles the outcome of an order.
    pub fn on_order_ended(&mut self, now: Instant, ticket: u64, outcome: OrderOutcome) {
        let Some((replica, kind)) = self.orders.on_ended(ticket, outcome) else {
            return;
        };
        let model = self
            .state
            .ledger()
            .replica(replica)
            .map(|replica| replica.model.clone());
        if let (OrderKind::Load, Some(model)) = (kind, &model) {
            match outcome {
                OrderOutcome::Done => self.planner.record_load_success(model),
                OrderOutcome::Failed => self.planner.record_load_failure(now, model),
                OrderOutcome::Unknown => {}
            }
        }
        let detail = format!("{kind:?} {outcome:?}");
        let event = Event::new(EventKind::OrderEnded).with_replica(replica);
        self.emit(now, event.with_detail(detail));
        self.next_plan = now;
        self.run_coordination(now);
        self.flush(now);
    }

    pub(super) fn run_coordination(&mut self, now: Instant) {
        if now < self.next_plan {
            return;
        }
        self.next_plan = now + PLAN_PERIOD;
        let fleet = &self.fleet;
        let state = &self.state;
        let shards = self.settings.genesis.shards;
        // Buckets are kept by the recorded lease, even while this instance may not act on it: a
        // bucket that is recreated within its term would hold too many tokens.
        let fence_of = |org: &str| fleet.recorded_fence(state, shard_of(org, shards));
        self.tokens.retain(now, fence_of);
        self.keep_claims_open(now);
        self.poll_servers(now);
        self.send_orders(now);
        if self.writer.is_idle() && self.fleet.reaches_log(now) {
            self.write_records(now);
        }
    }

    // Keeps every held claim shard open, so that its claims are rewritten before the log drops
    // them, even if no request needs one.
    fn keep_claims_open(&mut self, now: Instant) {
        let period = self.settings.log_retention / REPUBLISH_DIVISOR;
        for shard in self.fleet.own_shards() {
            if let Some(fence) = self.fleet.fence(now, shard) {
                self.claim_coordinator.keep_open(now, shard, fence, period);
            }
        }
    }

    // All of these records are derived from the state in each round, so nothing is lost when an
    // append fails or the lease moves.
    fn write_records(&mut self, now: Instant) {
        let plan = self.fleet.plan(now, &self.state);
        for acquire in plan.handovers {
            self.hand_over(now, acquire);
        }
        if let Some(acquire) = plan.takeover {
            self.writer.push(Body::AcquireLeases(acquire));
        }
        let fleet = &self.fleet;
        let shards = self.settings.genesis.shards;
        let is_held = |id: &ServerId| fleet.fence(now, shard_of(id, shards)).is_some();
        let records = self.servers.records(now, &self.state, is_held);
        for record in records {
            self.writer.push(record);
        }
        let state = &self.state;
        let fence_of = |model: &str| fleet.fence(now, state.model_shard(model));
        let settlements = self.orders.settlements(state, &self.servers, fence_of);
        for record in settlements {
            self.writer.push(record);
        }
        self.plan_replicas(now);
        self.write_checkpoint(now);
    }

    // Sends the buckets before the lease record, so that the new holder has them when it reads the
    // lease.
    fn hand_over(&mut self, now: Instant, acquire: AcquireLeases) {
        let shards = self.settings.genesis.shards;
        for shard in &acquire.shards {
            self.fleet.release(*shard);
            let in_shard = |org: &str| shard_of(org, shards) == *shard;
            let buckets = self.tokens.hand_over(now, in_shard);
            for bucket in buckets {
                let to = acquire.holder.as_str().into();
                self.send(now, &to, Message::BucketState(bucket));
            }
        }
        self.writer.push(Body::AcquireLeases(acquire));
    }

    fn plan_replicas(&mut self, now: Instant) {
        let fleet = &self.fleet;
        let state = &self.state;
        let fence_of = |model: &str| fleet.fence(now, state.model_shard(model));
        self.demand.retain(|model| fence_of(model).is_some());
        for (_, replica) in state.ledger().replicas() {
            // A new lease holder does not know when the model was last used, so it assumes now.
            if fence_of(&replica.model).is_some() && self.demand.last_use(&replica.model).is_none()
            {
                self.demand.assume_used(now, &replica.model);
            }
        }
        let servers = self.servers.views(now, state);
        let orders = OrderView {
            now,
            state,
            servers: &self.servers,
        };
        let stuck = self.orders.stuck(&orders, fence_of);
        let view = PlacementView {
            state,
            demand: &self.demand,
            servers: &servers,
            stuck: &stuck,
        };
        let mut steps = self.planner.plan(now, &view, fence_of);
        for replica in self.orders.lost(&orders) {
            let record = state.ledger().replica(replica);
            let fence = record.and_then(|record| fence_of(&record.model));
            steps.extend(fence.map(|fence| PlanStep::Retire { replica, fence }));
        }
        for step in steps {
            self.apply_step(now, step);
        }
    }

    fn apply_step(&mut self, now: Instant, step: PlanStep) {
        match step {
            PlanStep::Load {
                model,
                version,
                server,
                fence,
            } => {
                let Some(record) = self.state.ledger().server(&server) else {
                    return;
                };
                self.writer.push(Body::DecideLoad(DecideLoad {
                    model: model.to_string(),
                    version,
                    server: server.to_string(),
                    incarnation: record.incarnation,
                    fence,
                }));
            }
            PlanStep::Retire { replica, fence } => {
                self.writer
                    .push(Body::RetireReplica(RetireReplica { replica, fence }));
            }
            PlanStep::Reclaim { replica } => self.request_reclaim(now, replica),
        }
    }

    fn request_reclaim(&mut self, now: Instant, replica: u64) {
        let Some(record) = self.state.ledger().replica(replica) else {
            return;
        };
        let shard = self.state.model_shard(&record.model);
        let holder = self.state.lease(shard).map(|lease| lease.holder.clone());
        if let Some(holder) = holder {
            self.send(now, &holder, Message::Reclaim(Reclaim { replica }));
        }
    }

    pub(super) fn may_reclaim(&self, now: Instant, replica: &Replica) -> bool {
        let servers = self.servers.views(now, &self.state);
        let stuck = Set::default();
        let view = PlacementView {
            state: &self.state,
            demand: &self.demand,
            servers: &servers,
            stuck: &stuck,
        };
        self.planner.may_reclaim(now, &view, replica)
    }

    fn send_orders(&mut self, now: Instant) {
        let fleet = &self.fleet;
        let state = &self.state;
        let shards = self.settings.genesis.shards;
        let term_of = |model: &str| fleet.term(now, state.model_shard(model));
        let last_ticket = &mut self.last_ticket;
        let view = OrderView {
            now,
            state,
            servers: &self.servers,
        };
        let mut orders = self.orders.due_orders(&view, last_ticket, term_of);
        let is_held = |id: &ServerId| fleet.fence(now, shard_of(id, shards)).is_some();
        for unknown in self.servers.unknown_replicas(state, is_held) {
            let term = fleet.term(now, shard_of(&unknown.0, shards));
            let report = self.servers.report(&unknown.0);
            if let (Some(term), Some((_, report))) = (term, report) {
                let incarnation = report.incarnation;
                let order = self.orders.unload_unknown(
                    now,
                    state,
                    unknown,
                    incarnation,
                    &term,
                    last_ticket,
                );
                orders.extend(order);
            }
        }
        for order in orders {
            self.emit_order_event(now, &order);
            self.actions.push(order);
        }
    }

    fn emit_order_event(&mut self, now: Instant, action: &Action) {
        if let Action::Order { server, order, .. } = action {
            let event = Event::new(EventKind::OrderSent)
                .with_server(server.to_string())
                .with_model(order.model.to_string())
                .with_replica(order.replica)
                .with_detail(format!("{:?} number {}", order.kind, order.fencing_token));
            self.emit(now, event);
        }
    }

    // Polls the servers of held shards, those with pending orders of this instance, and those of
    // the pools that requested models could be loaded in.
    fn poll_servers(&mut self, now: Instant) {
        let fleet = &self.fleet;
        let state = &self.state;
        let shards = self.settings.genesis.shards;
        let pools: Vec<&str> = self
            .demand
            .requested_models(now)
            .iter()
            .filter_map(|model| state.model(model.split(':').next().unwrap_or(model)))
            .map(|model| model.pool.as_str())
            .collect();
        let orders = &self.orders;
        let is_watched = |id: &ServerId| {
            let pool = state.ledger().server(id).map(|server| server.pool.as_str());
            fleet.fence(now, shard_of(id, shards)).is_some()
                || orders.has_pending(state, id)
                || pool.is_some_and(|pool| pools.contains(&pool))
        };
        for (server, address) in self.servers.polls(now, state, is_watched) {
            self.actions.push(Action::Poll { server, address });
        }
    }

    // Readers ignore incomplete and repeated checkpoints, so the append needs no result.
    fn write_checkpoint(&mut self, now: Instant) {
        let next = self.state.next();
        let due = next >= self.last_checkpoint + self.settings.checkpoint_records;
        if !due || self.fleet.fence(now, CHECKPOINT_SHARD).is_none() {
            return;
        }
        self.last_checkpoint = next;
        let chunks = chunk_checkpoint(&self.state, &self.settings.id, self.settings.incarnation);
        let records = chunks.iter().map(|chunk| chunk.encode_to_vec()).collect();
        self.actions.push(Action::Append {
            stream: CHECKPOINT_STREAM.to_owned(),
            ticket: 0,
            records,
        });
        let event = Event::new(EventKind::CheckpointWritten).with_offset(next);
        self.emit(now, event);
    }
}
