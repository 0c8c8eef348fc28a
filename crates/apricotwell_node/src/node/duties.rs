//! Duties of held shards: leases, servers, placement, orders and checkpoints.

use std::time::Instant;

use prost::Message as _;

use apricotwell_messages::{Message, Reclaim};
use apricotwell_placement::{PlacementView, Step};
use apricotwell_records::{Body, CHECKPOINT_STREAM, Decide, Retire, Take};
use apricotwell_state::{Replica, chunk_checkpoint};
use apricotwell_timeline::{Event, EventKind};
use apricotwell_types::{ServerId, Set, shard_of};

use super::{Node, PLAN_PERIOD};
use crate::order_desk::OrderView;
use crate::{Action, OrderKind, OrderOutcome, ServerReport};

/// Part of the log's retention after which claims are written anew.
const REPUBLISH_DIVISOR: u32 = 4;
/// Shard whose holder writes checkpoints.
const CHECKPOINT_SHARD: u32 = 0;

impl Node {
    /// Takes a report of an engine, `None` when it could not be reached.
    pub fn on_report(&mut self, now: Instant, server: &ServerId, report: Option<ServerReport>) {
        if let Some(report) = &report {
            let load = apricotwell_routing::LoadReport {
                requests: report.requests,
                measured: now.checked_sub(report.load_age).unwrap_or(now),
            };
            self.router.note_report(server, load);
        }
        let crashed = self.servers.on_report(now, server, report);
        for digest in crashed {
            let digest = digest.0.to_vec();
            let suspect = apricotwell_records::Suspect { digest };
            self.writer.push(Body::Suspect(suspect));
            let event = Event::new(EventKind::ServerCrashed).with_server(server.to_string());
            self.event(now, event);
        }
        self.release_cooling(now, server);
        self.next_plan = now;
        self.pump(now);
        self.flush(now);
    }

    /// Takes the outcome of an order.
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
                OrderOutcome::Done => self.planner.note_success(model),
                OrderOutcome::Failed => self.planner.note_failure(now, model),
                OrderOutcome::Unknown => {}
            }
        }
        let detail = format!("{kind:?} {outcome:?}");
        let event = Event::new(EventKind::OrderEnded).with_replica(replica);
        self.event(now, event.with_detail(detail));
        self.next_plan = now;
        self.run_duties(now);
        self.flush(now);
    }

    pub(super) fn run_duties(&mut self, now: Instant) {
        if now < self.next_plan {
            return;
        }
        self.next_plan = now + PLAN_PERIOD;
        let fleet = &self.fleet;
        let state = &self.state;
        let shards = self.settings.genesis.shards;
        // A bucket outlives a lapse of the view: made anew within its term it would be too full.
        let fence_of = |org: &str| fleet.recorded_fence(state, shard_of(org, shards));
        self.tokens.retain(now, fence_of);
        self.hold_claims(now);
        self.poll_servers(now);
        self.order_replicas(now);
        if self.writer.is_idle() && self.fleet.reaches_log(now) {
            self.write_records(now);
        }
    }

    // Every held claim shard is kept open, so that its claims are written anew before the log
    // drops them, whether or not anybody asks.
    fn hold_claims(&mut self, now: Instant) {
        let period = self.settings.log_retention / REPUBLISH_DIVISOR;
        for shard in self.fleet.own_shards() {
            if let Some(fence) = self.fleet.fence(now, shard) {
                self.claim_holder.hold(now, shard, fence, period);
            }
        }
    }

    // Everything here follows from the state anew each time, so nothing is lost when an append
    // fails or the lease moves.
    fn write_records(&mut self, now: Instant) {
        let plan = self.fleet.plan(now, &self.state);
        for take in plan.hand {
            self.hand_over(now, take);
        }
        if let Some(take) = plan.take {
            self.writer.push(Body::Take(take));
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

    // The bucket goes ahead of the lease: the new holder finds it there when it reads the lease.
    fn hand_over(&mut self, now: Instant, take: Take) {
        let shards = self.settings.genesis.shards;
        for shard in &take.shards {
            self.fleet.release(*shard);
            let in_shard = |org: &str| shard_of(org, shards) == *shard;
            let buckets = self.tokens.hand_over(now, in_shard);
            for bucket in buckets {
                let to = take.holder.as_str().into();
                self.send(now, &to, Message::BucketState(bucket));
            }
        }
        self.writer.push(Body::Take(take));
    }

    fn plan_replicas(&mut self, now: Instant) {
        let fleet = &self.fleet;
        let state = &self.state;
        let fence_of = |model: &str| fleet.fence(now, state.model_shard(model));
        self.demand.retain(|model| fence_of(model).is_some());
        for (_, replica) in state.ledger().replicas() {
            // A new holder does not know the model's use: it counts as used now.
            if fence_of(&replica.model).is_some() && self.demand.last_use(&replica.model).is_none()
            {
                self.demand.touch(now, &replica.model);
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
            steps.extend(fence.map(|fence| Step::Retire { replica, fence }));
        }
        for step in steps {
            self.take_step(now, step);
        }
    }

    fn take_step(&mut self, now: Instant, step: Step) {
        match step {
            Step::Decide {
                model,
                version,
                server,
                fence,
            } => {
                let Some(record) = self.state.ledger().server(&server) else {
                    return;
                };
                self.writer.push(Body::Decide(Decide {
                    model: model.to_string(),
                    version,
                    server: server.to_string(),
                    incarnation: record.incarnation,
                    fence,
                }));
            }
            Step::Retire { replica, fence } => {
                self.writer.push(Body::Retire(Retire { replica, fence }));
            }
            Step::Reclaim { replica } => self.ask_to_reclaim(now, replica),
        }
    }

    fn ask_to_reclaim(&mut self, now: Instant, replica: u64) {
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

    fn order_replicas(&mut self, now: Instant) {
        let fleet = &self.fleet;
        let state = &self.state;
        let shards = self.settings.genesis.shards;
        let term_of = |model: &str| fleet.term(now, state.model_shard(model));
        let tickets = &mut self.tickets;
        let view = OrderView {
            now,
            state,
            servers: &self.servers,
        };
        let mut orders = self.orders.orders(&view, tickets, term_of);
        let is_held = |id: &ServerId| fleet.fence(now, shard_of(id, shards)).is_some();
        for orphan in self.servers.orphans(state, is_held) {
            let term = fleet.term(now, shard_of(&orphan.0, shards));
            let report = self.servers.report(&orphan.0);
            if let (Some(term), Some((_, report))) = (term, report) {
                let incarnation = report.incarnation;
                let order =
                    self.orders
                        .unload_orphan(now, state, orphan, incarnation, &term, tickets);
                orders.extend(order);
            }
        }
        for order in orders {
            self.note_order(now, &order);
            self.actions.push(order);
        }
    }

    fn note_order(&mut self, now: Instant, action: &Action) {
        if let Action::Order { server, order, .. } = action {
            let event = Event::new(EventKind::OrderSent)
                .with_server(server.to_string())
                .with_model(order.model.to_string())
                .with_replica(order.replica)
                .with_detail(format!("{:?} number {}", order.kind, order.fencing_token));
            self.event(now, event);
        }
    }

    // A daemon watches the servers of its shards, those with its orders, and those that a model
    // which waits for a load could go to.
    fn poll_servers(&mut self, now: Instant) {
        let fleet = &self.fleet;
        let state = &self.state;
        let shards = self.settings.genesis.shards;
        let pools: Vec<&str> = self
            .demand
            .wanted(now)
            .iter()
            .filter_map(|model| state.model(model.split(':').next().unwrap_or(model)))
            .map(|model| model.pool.as_str())
            .collect();
        let orders = &self.orders;
        let wanted = |id: &ServerId| {
            let pool = state.ledger().server(id).map(|server| server.pool.as_str());
            fleet.fence(now, shard_of(id, shards)).is_some()
                || orders.watches(state, id)
                || pool.is_some_and(|pool| pools.contains(&pool))
        };
        for (server, address) in self.servers.polls(now, state, wanted) {
            self.actions.push(Action::Poll { server, address });
        }
    }

    // A torn or repeated checkpoint is harmless, so its append needs no outcome.
    fn write_checkpoint(&mut self, now: Instant) {
        let next = self.state.next();
        let due = next >= self.checkpointed + self.settings.checkpoint_records;
        if !due || self.fleet.fence(now, CHECKPOINT_SHARD).is_none() {
            return;
        }
        self.checkpointed = next;
        let chunks = chunk_checkpoint(&self.state, &self.settings.id, self.settings.incarnation);
        let records = chunks.iter().map(|chunk| chunk.encode_to_vec()).collect();
        self.actions.push(Action::Append {
            stream: CHECKPOINT_STREAM.to_owned(),
            ticket: 0,
            records,
        });
        let event = Event::new(EventKind::CheckpointWritten).with_offset(next);
        self.event(now, event);
    }
}
