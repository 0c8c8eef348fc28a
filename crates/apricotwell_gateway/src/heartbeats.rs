//! Exchange of datagrams with the other instances: heartbeats, inventory updates and feed queries.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use apricotwell_dispatch::peers::heartbeat_interval;
use apricotwell_dispatch::prelude::*;
use apricotwell_messages::{Datagram, Heartbeat, InventoryUpdate, Liveness};
use apricotwell_types::InstanceId;
use prost::Message;
use tokio::net::UdpSocket;

use crate::adapter::Platform;
use crate::events::Event;
use crate::gateway::Gateway;
use crate::{crash_checks, permits, stream_notices, stream_queries};

/// Minimum interval between heartbeats sent because of a change.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(30);
/// Minimum interval between heartbeats to all instances, per instance of the fleet. The longer of
/// the two minimums applies.
const MIN_INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(4);
/// Size limit of a datagram.
const MAX_DATAGRAM_BYTES: usize = 60 << 10;

/// Recipients of the next heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Recipients {
    /// All other instances.
    All,
    /// The holder of the placement lease.
    LeaseHolder,
    /// No instance; only an inventory update is sent.
    Nobody,
}

/// Sends heartbeats and inventory updates to the other instances, periodically and on changes.
pub async fn broadcast<P>(gateway: Rc<Gateway<P>>, socket: Rc<UdpSocket>)
where
    P: Platform,
{
    let mut inventory = InventoryUpdates::default();
    let mut recipients = Recipients::All;
    let mut turn = 0;
    let mut due = tokio::time::Instant::now();
    loop {
        let instances = gateway.dispatcher.borrow().peers.possible_count() as u32;
        if recipients != Recipients::Nobody {
            send_heartbeat(&gateway, &socket, recipients).await;
        }
        if recipients == Recipients::All {
            // The interval grows with the fleet, so that the load on each instance stays the same.
            due = tokio::time::Instant::now() + heartbeat_interval(instances);
        }
        if recipients != Recipients::LeaseHolder {
            broadcast_inventory(&gateway, &socket, &mut inventory, turn).await;
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
            () = wait_inventory_change(&gateway, &inventory) => Recipients::Nobody,
        };
    }
}

/// Reports new demand to the lease holder as soon as a request waits.
///
/// [`broadcast`] does so only between two broadcasts, whose interval grows with the fleet.
pub async fn report_demand<P>(gateway: Rc<Gateway<P>>, socket: Rc<UdpSocket>)
where
    P: Platform,
{
    loop {
        gateway.waits_changed.notified().await;
        send_heartbeat(&gateway, &socket, Recipients::LeaseHolder).await;
        tokio::time::sleep(MIN_HEARTBEAT_INTERVAL).await;
    }
}

// Waits until this instance holds the lease and the inventory differs from the last update sent.
async fn wait_inventory_change<P>(gateway: &Gateway<P>, inventory: &InventoryUpdates)
where
    P: Platform,
{
    loop {
        gateway.inventory_changed.notified().await;
        let now = gateway.now();
        let dispatcher = gateway.dispatcher.borrow();
        let (planner, list) = (&dispatcher.planner, &dispatcher.backends);
        if dispatcher.lease.fence(now).is_some() && inventory.has_change(now, planner, list) {
            return;
        }
    }
}

// Sends an inventory update, if this instance holds the lease.
async fn broadcast_inventory<P>(
    gateway: &Gateway<P>,
    socket: &UdpSocket,
    inventory: &mut InventoryUpdates,
    turn: usize,
) where
    P: Platform,
{
    let now = gateway.now();
    let (update, recipients) = {
        let mut dispatcher = gateway.dispatcher.borrow_mut();
        let Some(fence) = dispatcher.lease.fence(now) else {
            return;
        };
        let update = InventoryUpdate {
            fence,
            relay: false,
            servers: inventory.take_batch(now, &dispatcher.planner, &dispatcher.backends),
        };
        dispatcher.apply_inventory(now, &update);
        (update, dispatcher.inventory_recipients(now, turn))
    };
    if update.servers.is_empty() {
        return;
    }
    gateway.servers_changed.notify_waiters();
    let relayed = InventoryUpdate {
        relay: true,
        ..update.clone()
    };
    let (update, relayed) = (encode_inventory(update), encode_inventory(relayed));
    for (target, relays) in recipients {
        let bytes = if relays { &relayed } else { &update };
        send(socket, bytes, &target).await;
    }
}

// Applies an inventory update from the lease holder, and relays it within the zone if requested.
async fn apply_inventory<P>(gateway: &Gateway<P>, socket: &UdpSocket, update: InventoryUpdate)
where
    P: Platform,
{
    let now = gateway.now();
    let targets = {
        let mut dispatcher = gateway.dispatcher.borrow_mut();
        dispatcher.apply_inventory(now, &update);
        update.relay.then(|| dispatcher.zone_peers(now))
    };
    gateway.servers_changed.notify_waiters();
    let bytes = encode_inventory(InventoryUpdate {
        relay: false,
        ..update
    });
    for target in targets.unwrap_or_default() {
        send(socket, &bytes, &target).await;
    }
}

pub(crate) fn encode_inventory(update: InventoryUpdate) -> Vec<u8> {
    let datagram = Datagram {
        inventory: Some(update),
        ..Datagram::default()
    };
    datagram.encode_to_vec()
}

// Failures are only logged, since the next datagram replaces a lost one.
pub(crate) async fn send(socket: &UdpSocket, bytes: &[u8], target: &InstanceId) {
    if let Err(error) = socket.send_to(bytes, &**target).await {
        log::debug!("failed to send a datagram to {target}: {error}");
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
    let (plain_bytes, demand_bytes) = (encode_heartbeat(heartbeat), encode_heartbeat(with_demand));
    for target in targets {
        let is_holder = holder.as_ref().is_none_or(|holder| *holder == target);
        if recipients == Recipients::LeaseHolder && !is_holder {
            continue;
        }
        let bytes = if is_holder {
            &demand_bytes
        } else {
            &plain_bytes
        };
        send(socket, bytes, &target).await;
    }
}

fn encode_heartbeat(heartbeat: Heartbeat) -> Vec<u8> {
    let datagram = Datagram {
        heartbeat: Some(heartbeat),
        ..Datagram::default()
    };
    datagram.encode_to_vec()
}

/// Receives and handles the datagrams of other instances.
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
            log::info!("dropped a datagram that can't be decoded");
            continue;
        };
        if let Some(heartbeat) = datagram.heartbeat {
            apply_heartbeat(&gateway, &heartbeat);
        }
        if let Some(update) = datagram.inventory {
            apply_inventory(&gateway, &socket, update).await;
        }
        if let Some(query) = datagram.query {
            let now = gateway.now();
            let response = gateway.dispatcher.borrow().feeds.answer(now, &query);
            let datagram = Datagram {
                response,
                ..Datagram::default()
            };
            // Without a response, the other instance reads the store.
            if let Err(error) = socket.send_to(&datagram.encode_to_vec(), sender).await {
                log::debug!("failed to send a response to {sender}: {error}");
            }
        }
        if let Some(response) = datagram.response {
            gateway.feed_queries.deliver(response);
        }
        if let Some(query) = datagram.liveness_query {
            respond(&socket, sender, query).await;
        }
        if let Some(response) = datagram.liveness_response {
            gateway.liveness.deliver(response.number, ());
        }
        if let Some(query) = datagram.stream_query {
            stream_queries::answer(&gateway, &socket, sender, &query).await;
        }
        if let Some(answer) = datagram.stream_answer {
            gateway.stream_queries.deliver(answer.number, answer);
        }
        if let Some(notice) = datagram.stream_notice {
            stream_notices::receive(&gateway, &socket, sender, &notice).await;
        }
        if let Some(receipt) = datagram.stream_receipt {
            gateway.stream_notices.deliver(&receipt);
        }
        if let Some(request) = datagram.permit_request {
            permits::answer(&gateway, &socket, sender, &request).await;
        }
        if let Some(response) = datagram.permit_response {
            permits::apply(&gateway, &response);
        }
    }
}

// Responds to the question whether this instance does.
async fn respond(socket: &UdpSocket, sender: SocketAddr, query: Liveness) {
    let datagram = Datagram {
        liveness_response: Some(query),
        ..Datagram::default()
    };
    if let Err(error) = socket.send_to(&datagram.encode_to_vec(), sender).await {
        log::debug!("failed to respond to {sender}: {error}");
    }
}

fn apply_heartbeat<P>(gateway: &Gateway<P>, heartbeat: &Heartbeat)
where
    P: Platform,
{
    let now = gateway.now();
    let conflict = gateway
        .dispatcher
        .borrow_mut()
        .apply_heartbeat(now, heartbeat);
    let Some(conflict) = conflict else {
        return;
    };
    if conflict == FenceConflict::Shared {
        gateway.metrics.count_shared_fence();
        Event::new("fence_shared")
            .with("instance", heartbeat.instance.as_str())
            .with("fence", heartbeat.fence)
            .log();
    }
    permits::log_limit_changes(gateway);
    crash_checks::log_quarantine(gateway);
    if heartbeat.models.iter().any(|usage| usage.waiting > 0) {
        gateway.replan.notify_one();
        gateway.notices_due.notify_one();
    }
}
