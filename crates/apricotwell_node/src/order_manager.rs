//! Orders to load and unload replicas, and their outcomes.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use apricotwell_records::{Body, SettleOutcome, SettleReplica};
use apricotwell_state::{Replica, ReplicaPhase, State};
use apricotwell_types::{Fence, ReplicaId, ServerId, Set};

use crate::server_registry::ServerRegistry;
use crate::{Action, EngineOrder, OrderKind, OrderOutcome};

/// Low bits of a fencing token, which count orders; the high bits are a log offset.
const ORDER_BITS: u32 = 24;
/// Delay before an order that failed or has no known outcome is sent again.
const ORDER_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Time after a replica is first seen from which a report without it means that it is not loaded.
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

/// Term of a lease that this instance may act on.
pub(crate) struct HeldTerm {
    pub(crate) fence: Fence,
    pub(crate) until: Instant,
}

/// Inputs that orders are derived from.
pub(crate) struct OrderView<'a> {
    pub(crate) now: Instant,
    pub(crate) state: &'a State,
    pub(crate) servers: &'a ServerRegistry,
}

/// Tracks the orders of this instance.
///
/// # Invariants
///
/// An engine without fencing never gets two load orders for one replica: only the lease holder that
/// decided on the replica orders its load, and only once. Once such an engine reports a replica as
/// loaded, no other load order for it is in flight.
#[derive(Debug)]
pub(crate) struct OrderManager {
    orders: BTreeMap<(ReplicaId, OrderKind), OrderState>,
    first_seen: BTreeMap<ReplicaId, Instant>,
    load_timeout: Duration,
    order_count: u64,
}

impl OrderManager {
    pub(crate) fn new(load_timeout: Duration) -> Self {
        Self {
            orders: BTreeMap::new(),
            first_seen: BTreeMap::new(),
            load_timeout,
            order_count: 0,
        }
    }

    /// Returns the orders that are due for the replicas of held shards.
    pub(crate) fn due_orders<F>(
        &mut self,
        view: &OrderView<'_>,
        last_ticket: &mut u64,
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
                actions.extend(self.send(view, id, replica, kind, &term, last_ticket));
            }
        }
        actions
    }

    /// Returns an order that unloads a replica which is not in the ledger.
    pub(crate) fn unload_unknown(
        &mut self,
        now: Instant,
        state: &State,
        unknown: (ServerId, String, ReplicaId),
        incarnation: u64,
        term: &HeldTerm,
        last_ticket: &mut u64,
    ) -> Option<Action> {
        let (server, address, replica) = unknown;
        let key = (replica, OrderKind::Unload);
        let known = self.orders.get(&key);
        if known.is_some_and(|order| now < order.sent + ORDER_RETRY_DELAY) {
            return None;
        }
        let order = EngineOrder {
            kind: OrderKind::Unload,
            replica,
            model: "".into(),
            version: String::new(),
            memory_mib: 0,
            fencing_token: self.next_fencing_token(state),
            incarnation,
        };
        let ticket = self.record_sent(now, key, term.fence, last_ticket);
        Some(Action::Order {
            ticket,
            server,
            address,
            order,
            valid_until: term.until,
        })
    }

    /// Records the outcome of an order and returns its replica and kind.
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

    /// Returns the outcomes to record for the replicas of held shards.
    pub(crate) fn settlements<F>(
        &self,
        state: &State,
        servers: &ServerRegistry,
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
                records.push(Body::SettleReplica(SettleReplica {
                    replica: id,
                    fence,
                    outcome: outcome as i32,
                }));
            }
        }
        records
    }

    /// Returns the replicas whose load is abandoned because it has had no known outcome for too
    /// long.
    ///
    /// An engine without fencing can't get a second load order. There, a load that an earlier
    /// holder may have ordered is abandoned as soon as a later report does not show it.
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
            let is_abandoned = inherited && !has_fencing(view.state, replica) && unseen;
            is_abandoned || view.now >= *since + self.load_timeout
        };
        let replicas = view.state.ledger().replicas();
        replicas
            .filter(|(_, replica)| replica.phase == ReplicaPhase::Decided)
            .filter(|(id, replica)| is_stuck(*id, replica))
            .map(|(id, _)| id)
            .collect()
    }

    /// Returns the replicas recorded as loaded that their server no longer reports.
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

    /// Returns whether an order of this instance is pending on a server.
    pub(crate) fn has_pending(&self, state: &State, server: &str) -> bool {
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

    /// Sets the time when a replica was first seen to `now`, so that it counts as new.
    pub(crate) fn reset_first_seen(&mut self, now: Instant, replica: ReplicaId) {
        self.first_seen.insert(replica, now);
    }

    /// Drops the data of replicas that are no longer in the ledger.
    pub(crate) fn retain(&mut self, now: Instant, state: &State) {
        self.first_seen
            .retain(|id, _| state.ledger().replica(*id).is_some());
        self.orders.retain(|(id, _), order| {
            state.ledger().replica(*id).is_some() || now < order.sent + ORDER_RETRY_DELAY
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
                failed && view.now >= order.sent + ORDER_RETRY_DELAY
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
        last_ticket: &mut u64,
    ) -> Option<Action> {
        let server = view.state.ledger().server(&replica.server)?;
        let order = EngineOrder {
            kind,
            replica: id,
            model: replica.model.clone(),
            version: replica.version.clone(),
            memory_mib: replica.memory,
            fencing_token: self.next_fencing_token(view.state),
            incarnation: server.incarnation,
        };
        let ticket = self.record_sent(view.now, (id, kind), term.fence, last_ticket);
        Some(Action::Order {
            ticket,
            server: replica.server.clone(),
            address: server.address.clone(),
            order,
            valid_until: term.until,
        })
    }

    fn record_sent(
        &mut self,
        now: Instant,
        key: (ReplicaId, OrderKind),
        fence: Fence,
        last_ticket: &mut u64,
    ) -> u64 {
        *last_ticket += 1;
        let order = OrderState {
            ticket: *last_ticket,
            fence,
            sent: now,
            progress: Progress::Sent,
        };
        self.orders.insert(key, order);
        *last_ticket
    }

    // A holder that has not seen the takeover of its lease has applied fewer records than its
    // successor. The successor's tokens are therefore higher, whichever shard they are used for.
    fn next_fencing_token(&mut self, state: &State) -> u64 {
        self.order_count += 1;
        (state.next() << ORDER_BITS) | (self.order_count & ((1 << ORDER_BITS) - 1))
    }

    fn settlement(
        &self,
        state: &State,
        servers: &ServerRegistry,
        id: ReplicaId,
        replica: &Replica,
        fence: Fence,
    ) -> Option<SettleOutcome> {
        let progress_of = |kind| {
            let order = self.orders.get(&(id, kind));
            order
                .filter(|order| order.fence == fence)
                .map(|order| order.progress)
        };
        match replica.phase {
            ReplicaPhase::Loaded => None,
            ReplicaPhase::Decided => {
                let done = progress_of(OrderKind::Load) == Some(Progress::Done);
                if done || reported_loaded(state, servers, id, replica) == Some(true) {
                    return Some(SettleOutcome::Loaded);
                }
                let failed = progress_of(OrderKind::Load) == Some(Progress::Failed);
                (failed && replica.fence == fence).then_some(SettleOutcome::Absent)
            }
            ReplicaPhase::Retiring => {
                let done = progress_of(OrderKind::Unload) == Some(Progress::Done);
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

// Returns what the server's current incarnation reports about a replica: `Some(true)` when it is
// loaded, `Some(false)` while it is being loaded, `None` when it is not reported.
fn reported_loaded(
    state: &State,
    servers: &ServerRegistry,
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
