//! The task of the lease holder: plans what servers hold and orders it.

use std::rc::Rc;
use std::time::Duration;

use apricotwell_dispatch::placement::Order;
use apricotwell_dispatch::prelude::*;
use apricotwell_types::{Fence, ServerId};

use crate::adapter::{EngineClient, Platform};
use crate::events::Event;
use crate::gateway::Gateway;

/// Pause between plans when nothing changes.
const MAX_PLAN_INTERVAL: Duration = Duration::from_millis(200);
/// Least pause between plans.
const MIN_PLAN_INTERVAL: Duration = Duration::from_millis(25);

/// Plans and orders while this instance holds the lease.
pub async fn run<P>(gateway: Rc<Gateway<P>>)
where
    P: Platform,
{
    let mut announced = None;
    loop {
        announce_fence(&gateway, &mut announced);
        plan_once(&gateway);
        tokio::time::sleep(MIN_PLAN_INTERVAL).await;
        let due = gateway.dispatcher.borrow().stock.next_due(gateway.now());
        let pause = due.map_or(MAX_PLAN_INTERVAL, |due| due.min(MAX_PLAN_INTERVAL));
        // Without a change the plan is looked at again after the pause.
        let _ = tokio::time::timeout(pause, gateway.replan.notified()).await;
        // What becomes due may change what servers hold.
        gateway.inventory_changed.notify_one();
    }
}

// Lets a previous holder of the lease that lives on hear at once that it must stop.
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
        // What servers hold is asked anew when the lease opens: until then another orders them.
        dispatcher.stock.reset();
        return;
    };
    let (orders, reports) = dispatcher.plan(now);
    drop(dispatcher);
    for server in reports {
        actix::spawn(fetch_report(Rc::clone(gateway), server));
    }
    for order in orders {
        actix::spawn(send_order(Rc::clone(gateway), order, fence));
    }
}

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
    let report = match address {
        Some(address) => gateway.engines.report(address, &server).await,
        None => None,
    };
    let now = gateway.now();
    gateway
        .dispatcher
        .borrow_mut()
        .stock
        .apply_report(now, &server, report);
    gateway.replan.notify_one();
    gateway.inventory_changed.notify_one();
}

async fn send_order<P>(gateway: Rc<Gateway<P>>, order: Order, fence: Fence)
where
    P: Platform,
{
    let target = {
        let dispatcher = gateway.dispatcher.borrow();
        let now = gateway.now();
        let valid = dispatcher.lease.fence(now) == Some(fence);
        let backend = dispatcher.backends.get(&order.server);
        backend
            .filter(|_| valid)
            .map(|server| (server.entry.address, dispatcher.facts.id.clone()))
    };
    let reply = match target {
        Some((address, holder)) => gateway.engines.order(address, &order, &holder, fence).await,
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
    {
        let mut dispatcher = gateway.dispatcher.borrow_mut();
        if reply == OrderReply::Fenced {
            dispatcher.lease.note_fenced();
        }
        dispatcher.stock.apply_reply(now, &order.server, reply);
    }
    gateway.replan.notify_one();
    gateway.inventory_changed.notify_one();
}
