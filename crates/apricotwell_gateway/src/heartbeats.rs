//! Tasks that tell the other instances what this one does, and hear them.

use std::rc::Rc;
use std::time::Duration;

use apricotwell_dispatch::peers::heartbeat_pause;
use apricotwell_dispatch::prelude::*;
use apricotwell_messages::{Datagram, Heartbeat, StockTold};
use apricotwell_types::InstanceId;
use prost::Message;
use tokio::net::UdpSocket;

use crate::adapter::Platform;
use crate::gateway::Gateway;

/// Least time between heartbeats that tell of a change.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(30);
/// Part of the least time between heartbeats that each instance adds.
const MIN_INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(4);
/// Bytes of the largest datagram.
const MAX_DATAGRAM_BYTES: usize = 60 << 10;

/// Whom a heartbeat goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Recipients {
    /// All other instances.
    All,
    /// The holder of the placement lease.
    LeaseHolder,
    /// Nobody: only what servers hold is told.
    Nobody,
}

/// Tells the other instances what this one does, at intervals and on changes.
pub async fn broadcast<P>(gateway: Rc<Gateway<P>>, socket: Rc<UdpSocket>)
where
    P: Platform,
{
    let mut news = StockNews::default();
    let mut recipients = Recipients::All;
    let mut turn = 0;
    let mut due = tokio::time::Instant::now();
    loop {
        let instances = gateway.dispatcher.borrow().peers.possible() as u32;
        if recipients != Recipients::Nobody {
            send_heartbeat(&gateway, &socket, recipients).await;
        }
        if recipients == Recipients::All {
            // The larger the fleet, the rarer the heartbeats: each instance's share stays the same.
            due = tokio::time::Instant::now() + heartbeat_pause(instances);
        }
        if recipients != Recipients::LeaseHolder {
            broadcast_inventory(&gateway, &socket, &mut news, turn).await;
            turn += 1;
        }
        tokio::time::sleep(match recipients {
            Recipients::All | Recipients::Nobody => {
                MIN_HEARTBEAT_INTERVAL.max(MIN_INTERVAL_PER_INSTANCE * instances)
            }
            Recipients::LeaseHolder => MIN_HEARTBEAT_INTERVAL,
        })
        .await;
        recipients = tokio::select! {
            () = tokio::time::sleep_until(due) => Recipients::All,
            () = gateway.heartbeat_due.notified() => Recipients::All,
            () = gateway.demand_changed.notified() => Recipients::LeaseHolder,
            () = wait_inventory_change(&gateway, &news) => Recipients::Nobody,
        };
    }
}

// Waits until servers hold something else than the others were told.
async fn wait_inventory_change<P>(gateway: &Gateway<P>, news: &StockNews)
where
    P: Platform,
{
    loop {
        gateway.inventory_changed.notified().await;
        let now = gateway.now();
        let dispatcher = gateway.dispatcher.borrow();
        let (planner, list) = (&dispatcher.stock, &dispatcher.backends);
        if dispatcher.lease.fence(now).is_some() && news.has_change(now, planner, list) {
            return;
        }
    }
}

// Tells what servers hold, if this instance holds the lease.
async fn broadcast_inventory<P>(
    gateway: &Gateway<P>,
    socket: &UdpSocket,
    news: &mut StockNews,
    turn: usize,
) where
    P: Platform,
{
    let now = gateway.now();
    let (told, recipients) = {
        let mut dispatcher = gateway.dispatcher.borrow_mut();
        let Some(fence) = dispatcher.lease.fence(now) else {
            return;
        };
        let told = StockTold {
            fence,
            relay: false,
            servers: news.take(now, &dispatcher.stock, &dispatcher.backends),
        };
        dispatcher.note_stock(now, &told);
        (told, dispatcher.stock_audience(now, turn))
    };
    if told.servers.is_empty() {
        return;
    }
    gateway.servers_changed.notify_waiters();
    let relayed = StockTold {
        relay: true,
        ..told.clone()
    };
    let (told, relayed) = (encode_inventory(told), encode_inventory(relayed));
    for (target, relays) in recipients {
        let bytes = if relays { &relayed } else { &told };
        send(socket, bytes, &target).await;
    }
}

// Takes what the lease holder tells of servers, and passes it on within the zone if asked to.
async fn apply_inventory<P>(gateway: &Gateway<P>, socket: &UdpSocket, told: StockTold)
where
    P: Platform,
{
    let now = gateway.now();
    let targets = {
        let mut dispatcher = gateway.dispatcher.borrow_mut();
        dispatcher.note_stock(now, &told);
        told.relay.then(|| dispatcher.zone_peers(now))
    };
    gateway.servers_changed.notify_waiters();
    let bytes = encode_inventory(StockTold {
        relay: false,
        ..told
    });
    for target in targets.unwrap_or_default() {
        send(socket, &bytes, &target).await;
    }
}

fn encode_inventory(stock: StockTold) -> Vec<u8> {
    let datagram = Datagram {
        stock: Some(stock),
        ..Datagram::default()
    };
    datagram.encode_to_vec()
}

// A lost datagram is made good by the next one.
async fn send(socket: &UdpSocket, bytes: &[u8], target: &InstanceId) {
    if let Err(error) = socket.send_to(bytes, &**target).await {
        log::debug!("no datagram to {target}: {error}");
    }
}

async fn send_heartbeat<P>(gateway: &Gateway<P>, socket: &UdpSocket, recipients: Recipients)
where
    P: Platform,
{
    let now = gateway.now();
    let (heartbeat, demand, holder, targets) = {
        let mut dispatcher = gateway.dispatcher.borrow_mut();
        dispatcher.expire(now);
        let heartbeat = dispatcher.heartbeat(now);
        if recipients == Recipients::All {
            dispatcher.note_told(now);
        }
        let demand = dispatcher.demand.model_uses(now);
        let holder = dispatcher.peers.lease_holder(now);
        (heartbeat, demand, holder, dispatcher.peers.targets())
    };
    let with_demand = Heartbeat {
        models: demand,
        ..heartbeat.clone()
    };
    let (plain, urgent) = (encode(heartbeat), encode(with_demand));
    for target in targets {
        let is_holder = holder.as_ref().is_none_or(|holder| *holder == target);
        if recipients == Recipients::LeaseHolder && !is_holder {
            continue;
        }
        let bytes = if is_holder { &urgent } else { &plain };
        send(socket, bytes, &target).await;
    }
}

fn encode(heartbeat: Heartbeat) -> Vec<u8> {
    let datagram = Datagram {
        heartbeat: Some(heartbeat),
        ..Datagram::default()
    };
    datagram.encode_to_vec()
}

/// Takes the heartbeats, questions and answers of other instances.
pub async fn receive<P>(gateway: Rc<Gateway<P>>, socket: Rc<UdpSocket>)
where
    P: Platform,
{
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, sender)) = socket.recv_from(&mut buffer).await else {
            tokio::time::sleep(MIN_HEARTBEAT_INTERVAL).await;
            continue;
        };
        let Ok(datagram) = Datagram::decode(&buffer[..length]) else {
            log::info!("a datagram that can't be read was dropped");
            continue;
        };
        if let Some(heartbeat) = datagram.heartbeat {
            apply_heartbeat(&gateway, &heartbeat);
        }
        if let Some(stock) = datagram.stock {
            apply_inventory(&gateway, &socket, stock).await;
        }
        if let Some(query) = datagram.query {
            let now = gateway.now();
            let answer = gateway.dispatcher.borrow().feeds.answer(now, &query);
            let datagram = Datagram {
                answer,
                ..Datagram::default()
            };
            // Without an answer the other instance reads the store.
            if let Err(error) = socket.send_to(&datagram.encode_to_vec(), sender).await {
                log::debug!("no answer to {sender}: {error}");
            }
        }
        if let Some(answer) = datagram.answer {
            gateway.feed_queries.deliver(answer);
        }
    }
}

fn apply_heartbeat<P>(gateway: &Gateway<P>, heartbeat: &Heartbeat)
where
    P: Platform,
{
    let now = gateway.now();
    let newer = gateway
        .dispatcher
        .borrow_mut()
        .note_heartbeat(now, heartbeat);
    if !newer {
        return;
    }
    if heartbeat.models.iter().any(|usage| usage.waiting > 0) {
        gateway.replan.notify_one();
    }
}
