//! Placement task of the lease holder: plans which models servers load, and sends the orders.

use std::rc::Rc;
use std::time::Duration;

use apricotwell_dispatch::placement::Order;
use apricotwell_dispatch::prelude::*;
use apricotwell_types::{Fence, ServerId};

use crate::adapter::{EngineAnswer, EngineClient, Platform};
use crate::events::Event;
use crate::gateway::Gateway;
use crate::leaving::{self, ServerProcess};

/// Maximum interval between plans, applied when nothing changes.
const MAX_PLAN_INTERVAL: Duration = Duration::from_millis(200);
/// Minimum interval between plans.
const MIN_PLAN_INTERVAL: Duration = Duration::from_millis(25);

/// Plans and sends orders while this instance holds the lease.
pub async fn run<P>(gateway: Rc<Gateway<P>>)
where
    P: Platform,
{
    let mut announced = None;
    loop {
        announce_fence(&gateway, &mut announced);
        plan_once(&gateway);
        tokio::time::sleep(MIN_PLAN_INTERVAL).await;
        let due = gateway.dispatcher.borrow().planner.next_due(gateway.now());
        let pause = due.map_or(MAX_PLAN_INTERVAL, |due| due.min(MAX_PLAN_INTERVAL));
        // Plans again after a change, or after the pause if there is none.
        let _ = tokio::time::timeout(pause, gateway.replan.notified()).await;
        // Timers of the planner that expired may have changed the inventory.
        notify_inventory(&gateway);
    }
}

// Signals that the models that servers hold may have changed.
fn notify_inventory<P>(gateway: &Gateway<P>)
where
    P: Platform,
{
    gateway.inventory_changed.notify_one();
    gateway.notices_due.notify_one();
}

// Broadcasts a new fencing token at once, so that a previous lease holder that is still running
// stops.
fn announce_fence<P>(gateway: &Gateway<P>, announced: &mut Option<Fence>)
where
    P: Platform,
{
    let fence = gateway
        .dispatcher
        .borrow()
        .lease
        .announced_fence(gateway.now());
    if fence.is_some() && fence != *announced {
        gateway.heartbeat_due.notify_one();
    }
    *announced = fence;
}

fn plan_once<P>(gateway: &Rc<Gateway<P>>)
where
    P: Platform,
{
    let now = gateway.now();
    let mut dispatcher = gateway.dispatcher.borrow_mut();
    let Some(fence) = dispatcher.lease.fence(now) else {
        // Another instance may be sending orders, so the known inventory is discarded. Servers
        // report it again once this instance holds the lease.
        dispatcher.planner.reset();
        gateway.metrics.set_replicas_leaving(0);
        return;
    };
    let (orders, reports) = dispatcher.plan(now);
    let servers = dispatcher.planner.servers();
    let leaving = servers.filter(|(_, server)| server.leaving(now).is_some());
    gateway.metrics.set_replicas_leaving(leaving.count());
    drop(dispatcher);
    let time = gateway.now().saturating_duration_since(now);
    gateway.metrics.observe_plan(time);
    for server in reports {
        actix::spawn(fetch_report(Rc::clone(gateway), server));
    }
    for order in orders {
        actix::spawn(send_order(Rc::clone(gateway), order, fence));
    }
}

// Fetches a server's report and applies it to the planner.
async fn fetch_report<P>(gateway: Rc<Gateway<P>>, server: ServerId)
where
    P: Platform,
{
    let address = {
        let dispatcher = gateway.dispatcher.borrow();
        dispatcher
            .backends
            .get(&server)
            .map(|server| server.entry.address)
    };
    let process = ServerProcess::of(&gateway, &server);
    let report = match address {
        Some(address) => {
            let answer = gateway.engines.report(address, &server).await;
            take_answer(&gateway, process.as_ref(), answer)
        }
        None => None,
    };
    let now = gateway.now();
    gateway
        .dispatcher
        .borrow_mut()
        .planner
        .apply_report(now, &server, report);
    gateway.replan.notify_one();
    notify_inventory(&gateway);
}

// Returns the value of an answer, and records whether its server leaves.
fn take_answer<P, T>(
    gateway: &Gateway<P>,
    process: Option<&ServerProcess>,
    answer: EngineAnswer<T>,
) -> T
where
    P: Platform,
{
    if let (true, Some(process)) = (answer.is_leaving, process) {
        leaving::record(gateway, process);
    }
    answer.value
}

// Sends an order, unless the lease was lost since it was planned, and applies the reply.
async fn send_order<P>(gateway: Rc<Gateway<P>>, order: Order, fence: Fence)
where
    P: Platform,
{
    let target = {
        let dispatcher = gateway.dispatcher.borrow();
        let now = gateway.now();
        let is_current = dispatcher.lease.fence(now) == Some(fence);
        let backend = dispatcher.backends.get(&order.server);
        backend
            .filter(|_| is_current)
            .map(|server| (server.entry.address, dispatcher.config.id.clone()))
    };
    let process = ServerProcess::of(&gateway, &order.server);
    let reply = match target {
        Some((address, holder)) => {
            let answer = gateway.engines.order(address, &order, &holder, fence).await;
            take_answer(&gateway, process.as_ref(), answer)
        }
        None => OrderReply::Refused,
    };
    let now = gateway.now();
    let adapter = order.operation.adapter();
    Event::new("order")
        .with("server", &*order.server)
        .with("operation", order.operation.name())
        .with("model", &**order.operation.model())
        .with("adapter", adapter.map_or("", |adapter| &**adapter))
        .with("expected", order.expected)
        .with("fence", fence)
        .with("reason", order.reason)
        .with("reply", format!("{reply:?}"))
        .log();
    gateway.metrics.count_order(order.operation.name());
    gateway.metrics.count_order_reply(reply.name());
    {
        let mut dispatcher = gateway.dispatcher.borrow_mut();
        if reply == OrderReply::Fenced {
            dispatcher.lease.on_fenced();
        }
        dispatcher.planner.apply_reply(now, &order.server, reply);
    }
    gateway.replan.notify_one();
    notify_inventory(&gateway);
}
