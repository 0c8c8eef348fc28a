//! Tasks that tell the other instances what this one does, and hear them.

use std::rc::Rc;
use std::time::Duration;

use apricotwell_dispatch::peers::heartbeat_interval;
use apricotwell_dispatch::prelude::*;
use apricotwell_messages::{Datagram, Heartbeat, StockTold};
use apricotwell_types::InstanceId;
use prost::Message;
use tokio::net::UdpSocket;

use crate::adapter::Platform;
use crate::gateway::Gateway;

/// Least time between heartbeats that tell of a change.
const GOSSIP_PAUSE: Duration = Duration::from_millis(30);
/// Part of the least time between heartbeats that each instance adds.
const GOSSIP_PER_INSTANCE: Duration = Duration::from_millis(4);
/// Bytes of the largest datagram.
const MAX_DATAGRAM_BYTES: usize = 60 << 10;

/// Whom a heartbeat goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Audience {
    /// All other instances.
    Everyone,
    /// The holder of the placement lease.
    LeaseHolder,
    /// Nobody: only what servers hold is told.
    Nobody,
}

/// Tells the other instances what this one does, at intervals and on changes.
pub async fn tell<P>(gateway: Rc<Gateway<P>>, socket: Rc<UdpSocket>)
where
    P: Platform,
{
    let mut news = InventoryUpdates::default();
    let mut audience = Audience::Everyone;
    let mut turn = 0;
    let mut due = tokio::time::Instant::now();
    loop {
        let instances = gateway.dispatcher.borrow().peers.possible_count() as u32;
        if audience != Audience::Nobody {
            send_heartbeat(&gateway, &socket, audience).await;
        }
        if audience == Audience::Everyone {
            // The larger the fleet, the rarer the heartbeats: each instance's share stays the same.
            due = tokio::time::Instant::now() + heartbeat_interval(instances);
        }
        if audience != Audience::LeaseHolder {
            tell_stock(&gateway, &socket, &mut news, turn).await;
            turn += 1;
        }
        tokio::time::sleep(match audience {
            Audience::Everyone | Audience::Nobody => {
                GOSSIP_PAUSE.max(GOSSIP_PER_INSTANCE * instances)
            }
            Audience::LeaseHolder => GOSSIP_PAUSE,
        })
        .await;
        audience = tokio::select! {
            () = tokio::time::sleep_until(due) => Audience::Everyone,
            () = gateway.gossip.notified() => Audience::Everyone,
            () = gateway.urging.notified() => Audience::LeaseHolder,
            () = next_restock(&gateway, &news) => Audience::Nobody,
        };
    }
}

// Waits until servers hold something else than the others were told.
async fn next_restock<P>(gateway: &Gateway<P>, news: &InventoryUpdates)
where
    P: Platform,
{
    loop {
        gateway.restocked.notified().await;
        let now = gateway.now();
        let dispatcher = gateway.dispatcher.borrow();
        let (planner, list) = (&dispatcher.planner, &dispatcher.backends);
        if dispatcher.lease.fence(now).is_some() && news.has_change(now, planner, list) {
            return;
        }
    }
}

// Tells what servers hold, if this instance holds the lease.
async fn tell_stock<P>(
    gateway: &Gateway<P>,
    socket: &UdpSocket,
    news: &mut InventoryUpdates,
    turn: usize,
) where
    P: Platform,
{
    let now = gateway.now();
    let (told, audience) = {
        let mut dispatcher = gateway.dispatcher.borrow_mut();
        let Some(fence) = dispatcher.lease.fence(now) else {
            return;
        };
        let told = StockTold {
            fence,
            relay: false,
            servers: news.take_batch(now, &dispatcher.planner, &dispatcher.backends),
        };
        dispatcher.apply_inventory(now, &told);
        (told, dispatcher.inventory_recipients(now, turn))
    };
    if told.servers.is_empty() {
        return;
    }
    gateway.changed.notify_waiters();
    let relayed = StockTold {
        relay: true,
        ..told.clone()
    };
    let (told, relayed) = (encode_stock(told), encode_stock(relayed));
    for (target, relays) in audience {
        let bytes = if relays { &relayed } else { &told };
        send(socket, bytes, &target).await;
    }
}

// Takes what the lease holder tells of servers, and passes it on within the zone if asked to.
async fn note_stock<P>(gateway: &Gateway<P>, socket: &UdpSocket, told: StockTold)
where
    P: Platform,
{
    let now = gateway.now();
    let targets = {
        let mut dispatcher = gateway.dispatcher.borrow_mut();
        dispatcher.apply_inventory(now, &told);
        told.relay.then(|| dispatcher.zone_peers(now))
    };
    gateway.changed.notify_waiters();
    let bytes = encode_stock(StockTold {
        relay: false,
        ..told
    });
    for target in targets.unwrap_or_default() {
        send(socket, &bytes, &target).await;
    }
}

fn encode_stock(stock: StockTold) -> Vec<u8> {
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

async fn send_heartbeat<P>(gateway: &Gateway<P>, socket: &UdpSocket, audience: Audience)
where
    P: Platform,
{
    let now = gateway.now();
    let (heartbeat, demand, holder, targets) = {
        let mut dispatcher = gateway.dispatcher.borrow_mut();
        dispatcher.expire(now);
        let heartbeat = dispatcher.heartbeat(now);
        if audience == Audience::Everyone {
            dispatcher.on_spending_reported(now);
        }
        let demand = dispatcher.demand.model_uses(now);
        let holder = dispatcher.peers.lease_holder(now);
        (
            heartbeat,
            demand,
            holder,
            dispatcher.peers.heartbeat_targets(),
        )
    };
    let with_demand = Heartbeat {
        models: demand,
        ..heartbeat.clone()
    };
    let (plain, urgent) = (encode(heartbeat), encode(with_demand));
    for target in targets {
        let is_holder = holder.as_ref().is_none_or(|holder| *holder == target);
        if audience == Audience::LeaseHolder && !is_holder {
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
pub async fn listen<P>(gateway: Rc<Gateway<P>>, socket: Rc<UdpSocket>)
where
    P: Platform,
{
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, sender)) = socket.recv_from(&mut buffer).await else {
            tokio::time::sleep(GOSSIP_PAUSE).await;
            continue;
        };
        let Ok(datagram) = Datagram::decode(&buffer[..length]) else {
            log::info!("a datagram that can't be read was dropped");
            continue;
        };
        if let Some(heartbeat) = datagram.heartbeat {
            note_heartbeat(&gateway, &heartbeat);
        }
        if let Some(stock) = datagram.stock {
            note_stock(&gateway, &socket, stock).await;
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
            gateway.questions.note_answer(answer);
        }
    }
}

fn note_heartbeat<P>(gateway: &Gateway<P>, heartbeat: &Heartbeat)
where
    P: Platform,
{
    let now = gateway.now();
    let newer = gateway
        .dispatcher
        .borrow_mut()
        .apply_heartbeat(now, heartbeat);
    if !newer {
        return;
    }
    if heartbeat.models.iter().any(|usage| usage.waiting > 0) {
        gateway.planning.notify_one();
    }
}
