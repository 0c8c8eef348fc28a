//! Orders to load and unload replicas, and what becomes of them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use apricotwell_records::{Body, Settle, SettleOutcome};
use apricotwell_state::{Replica, ReplicaPhase, State};
use apricotwell_types::{Fence, ReplicaId, ServerId, Set};

use crate::server_desk::ServerDesk;
use crate::{Action, EngineOrder, OrderKind, OrderOutcome};

/// Bits of a fencing number that count the orders given at one offset.
const ORDER_BITS: u32 = 24;
/// Pause before an order whose outcome is unknown is given again.
const ORDER_PAUSE: Duration = Duration::from_secs(1);

/// Age of a decision from which on a report must show its load.
const REPORT_GRACE: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Sent,
    Done,
    Failed,
    Unknown,
}

#[derive(Debug)]
struct OrderState {
    ticket: u64,
    fence: Fence,
    sent: Instant,
    progress: Progress,
}

/// What the desk needs to know of a model's shard.
pub(crate) struct HeldTerm {
    pub(crate) fence: Fence,
    pub(crate) until: Instant,
}

/// What orders are decided from.
pub(crate) struct OrderView<'a> {
    pub(crate) now: Instant,
    pub(crate) state: &'a State,
    pub(crate) servers: &'a ServerDesk,
}

/// Orders of this instance.
///
/// # Invariants
///
/// An engine that ignores fencing numbers is never given two load orders for one replica: only the
/// holder that decided the replica orders it, and only once. So a replica that such an engine
/// reports as loaded has no further order under way.
#[derive(Debug)]
pub(crate) struct OrderDesk {
    orders: BTreeMap<(ReplicaId, OrderKind), OrderState>,
    first_seen: BTreeMap<ReplicaId, Instant>,
    load_timeout: Duration,
    last_order: u64,
}

impl OrderDesk {
    pub(crate) fn new(load_timeout: Duration) -> Self {
        Self {
            orders: BTreeMap::new(),
            first_seen: BTreeMap::new(),
            load_timeout,
            last_order: 0,
        }
    }

    /// Returns the orders that are due for held replicas.
    pub(crate) fn orders<F>(
        &mut self,
        view: &OrderView<'_>,
        tickets: &mut u64,
        term_of: F,
    ) -> Vec<Action>
    where
        F: Fn(&str) -> Option<HeldTerm>,
    {
        let mut actions = Vec::new();
        for (id, replica) in view.state.ledger().replicas() {
            self.first_seen.entry(id).or_insert(view.now);
            let Some(term) = term_of(&replica.model) else {
                continue;
            };
            let kind = match replica.phase {
                ReplicaPhase::Decided => OrderKind::Load,
                ReplicaPhase::Retiring => OrderKind::Unload,
                ReplicaPhase::Loaded => continue,
            };
            if self.is_due(view, id, replica, kind, &term) {
                actions.extend(self.send(view, id, replica, kind, &term, tickets));
            }
        }
        actions
    }

    /// Returns an order that unloads a replica unknown to the ledger.
    pub(crate) fn unload_orphan(
        &mut self,
        now: Instant,
        state: &State,
        orphan: (ServerId, String, ReplicaId),
        incarnation: u64,
        term: &HeldTerm,
        tickets: &mut u64,
    ) -> Option<Action> {
        let (server, address, replica) = orphan;
        let key = (replica, OrderKind::Unload);
        let known = self.orders.get(&key);
        if known.is_some_and(|order| now < order.sent + ORDER_PAUSE) {
            return None;
        }
        let order = EngineOrder {
            kind: OrderKind::Unload,
            replica,
            model: "".into(),
            version: String::new(),
            memory_mib: 0,
            fencing_token: self.next_number(state),
            incarnation,
        };
        let ticket = self.note_sent(now, key, term.fence, tickets);
        Some(Action::Order {
            ticket,
            server,
            address,
            order,
            valid_until: term.until,
        })
    }

    /// Takes the outcome of an order; returns the replica and kind that it was for.
    pub(crate) fn on_ended(
        &mut self,
        ticket: u64,
        outcome: OrderOutcome,
    ) -> Option<(ReplicaId, OrderKind)> {
        let found = self
            .orders
            .iter_mut()
            .find(|(_, order)| order.ticket == ticket);
        let (key, order) = found?;
        order.progress = match outcome {
            OrderOutcome::Done => Progress::Done,
            OrderOutcome::Failed => Progress::Failed,
            OrderOutcome::Unknown => Progress::Unknown,
        };
        Some(*key)
    }

    /// Returns the outcomes to record for held replicas.
    pub(crate) fn settlements<F>(
        &self,
        state: &State,
        servers: &ServerDesk,
        fence_of: F,
    ) -> Vec<Body>
    where
        F: Fn(&str) -> Option<Fence>,
    {
        let mut records = Vec::new();
        for (id, replica) in state.ledger().replicas() {
            let Some(fence) = fence_of(&replica.model) else {
                continue;
            };
            if let Some(outcome) = self.settlement(state, servers, id, replica, fence) {
                records.push(Body::Settle(Settle {
                    replica: id,
                    fence,
                    outcome: outcome as i32,
                }));
            }
        }
        records
    }

    /// Returns replicas whose load has been undetermined for too long to be counted on.
    ///
    /// A load that an earlier holder may have ordered, on an engine where it can't be ordered
    /// anew, is given up as soon as a later report does not show it.
    pub(crate) fn stuck<F>(&self, view: &OrderView<'_>, fence_of: F) -> Set<ReplicaId>
    where
        F: Fn(&str) -> Option<Fence>,
    {
        let is_stuck = |id: ReplicaId, replica: &Replica| {
            let Some(since) = self.first_seen.get(&id) else {
                return false;
            };
            let inherited = fence_of(&replica.model).is_some_and(|fence| fence > replica.fence);
            let report = view.servers.report(&replica.server);
            let unseen = report.is_some_and(|(at, _)| at >= *since + REPORT_GRACE)
                && reported_loaded(view.state, view.servers, id, replica).is_none();
            let given_up = inherited && !has_fencing(view.state, replica) && unseen;
            given_up || view.now >= *since + self.load_timeout
        };
        let replicas = view.state.ledger().replicas();
        replicas
            .filter(|(_, replica)| replica.phase == ReplicaPhase::Decided)
            .filter(|(id, replica)| is_stuck(*id, replica))
            .map(|(id, _)| id)
            .collect()
    }

    /// Returns replicas recorded as loaded that their server no longer reports.
    pub(crate) fn lost(&self, view: &OrderView<'_>) -> Vec<ReplicaId> {
        let is_lost = |id: ReplicaId, replica: &Replica| {
            let since = self.first_seen.get(&id);
            let report = view.servers.report(&replica.server);
            let server = view.state.ledger().server(&replica.server);
            let (Some(since), Some((at, report)), Some(server)) = (since, report, server) else {
                return false;
            };
            report.incarnation == server.incarnation
                && at >= *since + REPORT_GRACE
                && !report
                    .replicas
                    .iter()
                    .any(|reported| reported.replica == id)
        };
        let replicas = view.state.ledger().replicas();
        replicas
            .filter(|(_, replica)| replica.phase == ReplicaPhase::Loaded)
            .filter(|(id, replica)| is_lost(*id, replica))
            .map(|(id, _)| id)
            .collect()
    }

    /// Returns whether any order waits for its outcome on a server.
    pub(crate) fn watches(&self, state: &State, server: &str) -> bool {
        self.orders.keys().any(|(id, _)| {
            let replica = state.ledger().replica(*id);
            replica.is_some_and(|replica| {
                *replica.server == *server && replica.phase != ReplicaPhase::Loaded
            })
        })
    }

    /// Returns when this instance first saw a replica.
    pub(crate) fn first_seen(&self, replica: ReplicaId) -> Option<Instant> {
        self.first_seen.get(&replica).copied()
    }

    /// Restarts the clock of a replica, which then counts as new.
    pub(crate) fn note_loaded(&mut self, now: Instant, replica: ReplicaId) {
        self.first_seen.insert(replica, now);
    }

    /// Forgets replicas that are gone.
    pub(crate) fn retain(&mut self, now: Instant, state: &State) {
        self.first_seen
            .retain(|id, _| state.ledger().replica(*id).is_some());
        self.orders.retain(|(id, _), order| {
            state.ledger().replica(*id).is_some() || now < order.sent + ORDER_PAUSE
        });
    }

    fn is_due(
        &self,
        view: &OrderView<'_>,
        id: ReplicaId,
        replica: &Replica,
        kind: OrderKind,
        term: &HeldTerm,
    ) -> bool {
        let fencing = has_fencing(view.state, replica);
        let known = self.orders.get(&(id, kind));
        let known = known.filter(|order| order.fence == term.fence);
        if kind == OrderKind::Load && !fencing {
            return replica.fence == term.fence && known.is_none();
        }
        let reported = reported_loaded(view.state, view.servers, id, replica);
        if kind == OrderKind::Load && reported.is_some() {
            return false;
        }
        match known {
            None => true,
            Some(order) => {
                let failed = matches!(order.progress, Progress::Unknown | Progress::Failed);
                failed && view.now >= order.sent + ORDER_PAUSE
            }
        }
    }

    fn send(
        &mut self,
        view: &OrderView<'_>,
        id: ReplicaId,
        replica: &Replica,
        kind: OrderKind,
        term: &HeldTerm,
        tickets: &mut u64,
    ) -> Option<Action> {
        let server = view.state.ledger().server(&replica.server)?;
        let order = EngineOrder {
            kind,
            replica: id,
            model: replica.model.clone(),
            version: replica.version.clone(),
            memory_mib: replica.memory,
            fencing_token: self.next_number(view.state),
            incarnation: server.incarnation,
        };
        let ticket = self.note_sent(view.now, (id, kind), term.fence, tickets);
        Some(Action::Order {
            ticket,
            server: replica.server.clone(),
            address: server.address.clone(),
            order,
            valid_until: term.until,
        })
    }

    fn note_sent(
        &mut self,
        now: Instant,
        key: (ReplicaId, OrderKind),
        fence: Fence,
        tickets: &mut u64,
    ) -> u64 {
        *tickets += 1;
        let order = OrderState {
            ticket: *tickets,
            fence,
            sent: now,
            progress: Progress::Sent,
        };
        self.orders.insert(key, order);
        *tickets
    }

    // A holder that has not seen its lease taken over has applied less than its successor, whose
    // numbers are therefore higher, on whatever shard they were given.
    fn next_number(&mut self, state: &State) -> u64 {
        self.last_order += 1;
        (state.next() << ORDER_BITS) | (self.last_order & ((1 << ORDER_BITS) - 1))
    }

    fn settlement(
        &self,
        state: &State,
        servers: &ServerDesk,
        id: ReplicaId,
        replica: &Replica,
        fence: Fence,
    ) -> Option<SettleOutcome> {
        let ended = |kind| {
            let order = self.orders.get(&(id, kind));
            order
                .filter(|order| order.fence == fence)
                .map(|order| order.progress)
        };
        match replica.phase {
            ReplicaPhase::Loaded => None,
            ReplicaPhase::Decided => {
                let done = ended(OrderKind::Load) == Some(Progress::Done);
                if done || reported_loaded(state, servers, id, replica) == Some(true) {
                    return Some(SettleOutcome::Loaded);
                }
                let failed = ended(OrderKind::Load) == Some(Progress::Failed);
                (failed && replica.fence == fence).then_some(SettleOutcome::Absent)
            }
            ReplicaPhase::Retiring => {
                let done = ended(OrderKind::Unload) == Some(Progress::Done);
                done.then_some(SettleOutcome::Absent)
            }
        }
    }
}

fn has_fencing(state: &State, replica: &Replica) -> bool {
    let server = state.ledger().server(&replica.server);
    let pool = server.and_then(|server| state.pool(&server.pool));
    pool.is_some_and(|pool| pool.fencing)
}

// What the server's present incarnation reports of a replica: `Some(true)` when it is loaded,
// `Some(false)` while it is being loaded.
fn reported_loaded(
    state: &State,
    servers: &ServerDesk,
    id: ReplicaId,
    replica: &Replica,
) -> Option<bool> {
    let server = state.ledger().server(&replica.server)?;
    let (_, report) = servers.report(&replica.server)?;
    if report.incarnation != server.incarnation {
        return None;
    }
    let found = report
        .replicas
        .iter()
        .find(|reported| reported.replica == id);
    found.map(|reported| reported.loaded)
}
