//! Tasks that keep an instance in touch with the others.

use std::rc::Rc;
use std::time::Duration;

use apricotwell_dispatch::prelude::*;
use apricotwell_messages::Heartbeat;
use apricotwell_types::InstanceId;
use prost::Message;
use tokio::net::UdpSocket;

use crate::adapter::{Callers, ClaimRecord, Engines, Store, StoreError};
use crate::events::Event;
use crate::gateway::Gateway;

/// Pause between renewals of the membership.
pub const RENEWAL_PAUSE: Duration = Duration::from_millis(500);
/// Pause between heartbeats.
const HEARTBEAT_PAUSE: Duration = Duration::from_millis(400);
/// Least time between heartbeats that tell of a change.
const GOSSIP_PAUSE: Duration = Duration::from_millis(30);
/// Part of the pause between heartbeats that each instance of the fleet adds.
const PAUSE_PER_INSTANCE: Duration = Duration::from_millis(12);
/// Part of the least time between heartbeats that each instance adds.
const GOSSIP_PER_INSTANCE: Duration = Duration::from_millis(4);
/// Bytes of the largest heartbeat.
const MAX_HEARTBEAT_BYTES: usize = 60 << 10;
/// Attempts to claim the lease before the next renewal.
const CLAIM_ATTEMPTS: u32 = 3;

/// Renews the membership and claims the placement lease when it falls to this instance.
pub async fn renew_membership<C, S, E>(gateway: Rc<Gateway<C, S, E>>)
where
    C: Callers,
    S: Store,
    E: Engines,
{
    let member = gateway.listeners.peers.clone();
    let term = gateway.dispatcher.borrow().facts.lease.term;
    let mut generation = 0;
    let mut listed = 0;
    loop {
        if gateway.stopped.get().is_some() {
            return;
        }
        let start = gateway.now();
        gateway.dispatcher.borrow_mut().lease.note_try(start);
        match gateway.store.join(&member, generation, term).await {
            Ok(membership) => {
                gateway.metrics.note_store_call("join");
                generation = membership.generation;
                let now = gateway.now();
                let step = {
                    let mut dispatcher = gateway.dispatcher.borrow_mut();
                    dispatcher.peers.note_unchanged(now);
                    dispatcher.lease.note_renewal(now, start, membership.leads)
                };
                follow_lease(&gateway, step).await;
                if listed != generation && list_members(&gateway).await {
                    listed = generation;
                }
            }
            Err(error) => {
                gateway.metrics.note_store_call("failed");
                log::info!("membership not renewed: {error}");
            }
        }
        tokio::time::sleep(RENEWAL_PAUSE).await;
    }
}

async fn list_members<C, S, E>(gateway: &Gateway<C, S, E>) -> bool
where
    C: Callers,
    S: Store,
    E: Engines,
{
    let members = match gateway.store.members().await {
        Ok(members) => members,
        Err(error) => {
            log::info!("members not listed: {error}");
            return false;
        }
    };
    gateway.metrics.note_store_call("members");
    Event::new("members").with("members", members.clone()).log();
    let now = gateway.now();
    let own = gateway.listeners.peers.as_str();
    let others = members
        .iter()
        .filter(|member| *member != own)
        .map(|member| InstanceId::from(member.as_str()));
    let mut dispatcher = gateway.dispatcher.borrow_mut();
    dispatcher.peers.note_members(now, others);
    true
}

async fn follow_lease<C, S, E>(gateway: &Gateway<C, S, E>, step: LeaseStep)
where
    C: Callers,
    S: Store,
    E: Engines,
{
    match step {
        LeaseStep::Keep => {}
        LeaseStep::Stop => {
            gateway.dispatcher.borrow_mut().stock.reset();
            Event::new("lease_lost").log();
        }
        LeaseStep::Claim => {
            gateway.dispatcher.borrow_mut().stock.reset();
            for _ in 0..CLAIM_ATTEMPTS {
                match claim(gateway).await {
                    Ok(()) => return,
                    Err(StoreError::Moved) => {}
                    Err(error) => {
                        log::info!("lease not claimed: {error}");
                        return;
                    }
                }
            }
        }
    }
}

fn holder_name<C, S, E>(gateway: &Gateway<C, S, E>) -> String {
    let dispatcher = gateway.dispatcher.borrow();
    format!("{}#{}", dispatcher.facts.id, dispatcher.facts.incarnation)
}

async fn claim<C, S, E>(gateway: &Gateway<C, S, E>) -> Result<(), StoreError>
where
    C: Callers,
    S: Store,
    E: Engines,
{
    let holder = holder_name(gateway);
    let last = gateway.store.last_claim().await?;
    let previous = match &last.claim {
        None if last.end == 0 => Previous::Nobody,
        Some(record) if record.holder == holder => Previous::Nobody,
        Some(record) if record.released => Previous::Released,
        _ => Previous::Unknown,
    };
    let record = ClaimRecord {
        holder,
        released: false,
    };
    let fence = gateway.store.append_claim(last.end, &record).await?;
    let now = gateway.now();
    let mut dispatcher = gateway.dispatcher.borrow_mut();
    dispatcher.lease.note_claim(now, fence, previous);
    Event::new("lease_claimed")
        .with("fence", fence)
        .with("previous", format!("{previous:?}"))
        .log();
    Ok(())
}

/// Gives the lease up and leaves the group, before the process ends.
pub async fn leave<C, S, E>(gateway: &Gateway<C, S, E>)
where
    C: Callers,
    S: Store,
    E: Engines,
{
    let now = gateway.now();
    let held = gateway.dispatcher.borrow().lease.is_held(now);
    gateway.dispatcher.borrow_mut().lease.note_fenced();
    if held && let Err(error) = release(gateway).await {
        log::info!("lease not released: {error}");
    }
    if let Err(error) = gateway.store.leave(&gateway.listeners.peers).await {
        log::info!("group not left: {error}");
    }
}

async fn release<C, S, E>(gateway: &Gateway<C, S, E>) -> Result<(), StoreError>
where
    C: Callers,
    S: Store,
    E: Engines,
{
    let holder = holder_name(gateway);
    let last = gateway.store.last_claim().await?;
    let own = last.claim.is_some_and(|claim| claim.holder == holder);
    if !own {
        return Ok(());
    }
    let record = ClaimRecord {
        holder,
        released: true,
    };
    gateway
        .store
        .append_claim(last.end, &record)
        .await
        .map(|_| ())
}

/// Whom a heartbeat goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Audience {
    /// All other instances.
    Everyone,
    /// The holder of the placement lease.
    LeaseHolder,
}

/// Tells the other instances what this one does, at intervals and on changes.
pub async fn tell<C, S, E>(gateway: Rc<Gateway<C, S, E>>, socket: Rc<UdpSocket>)
where
    C: Callers,
    S: Store,
    E: Engines,
{
    let mut news = StockNews::default();
    let mut audience = Audience::Everyone;
    loop {
        let instances = gateway.dispatcher.borrow().peers.possible() as u32;
        send(&gateway, &socket, &mut news, audience).await;
        // The larger the fleet, the rarer the heartbeats: each instance's share stays the same.
        let pause = HEARTBEAT_PAUSE.max(PAUSE_PER_INSTANCE * instances);
        tokio::time::sleep(match audience {
            Audience::Everyone => GOSSIP_PAUSE.max(GOSSIP_PER_INSTANCE * instances),
            Audience::LeaseHolder => GOSSIP_PAUSE,
        })
        .await;
        audience = tokio::select! {
            () = tokio::time::sleep(pause) => Audience::Everyone,
            () = gateway.gossip.notified() => Audience::Everyone,
            () = gateway.urging.notified() => Audience::LeaseHolder,
            () = next_restock(&gateway, &news) => Audience::Everyone,
        };
    }
}

// Waits until servers hold something else than the others were told.
async fn next_restock<C, S, E>(gateway: &Gateway<C, S, E>, news: &StockNews)
where
    C: Callers,
    S: Store,
    E: Engines,
{
    loop {
        gateway.restocked.notified().await;
        let now = gateway.now();
        let dispatcher = gateway.dispatcher.borrow();
        if dispatcher.lease.fence(now).is_some() && news.has_change(now, &dispatcher.stock) {
            return;
        }
    }
}

async fn send<C, S, E>(
    gateway: &Gateway<C, S, E>,
    socket: &UdpSocket,
    news: &mut StockNews,
    audience: Audience,
) where
    C: Callers,
    S: Store,
    E: Engines,
{
    let now = gateway.now();
    let (heartbeat, demand, holder, targets) = {
        let mut dispatcher = gateway.dispatcher.borrow_mut();
        dispatcher.expire(now);
        let mut heartbeat = dispatcher.heartbeat(now);
        if heartbeat.fence > 0 && audience == Audience::Everyone {
            heartbeat.stock = news.take(now, &dispatcher.stock);
            for stock in &heartbeat.stock {
                let fence = heartbeat.fence;
                dispatcher.backends.note_stock(now, fence, stock);
            }
        }
        let demand = dispatcher.demand.uses(now);
        let holder = dispatcher.peers.lease_holder(now);
        (heartbeat, demand, holder, dispatcher.peers.targets())
    };
    if !heartbeat.stock.is_empty() {
        gateway.changed.notify_waiters();
    }
    let with_demand = Heartbeat {
        models: demand,
        ..heartbeat.clone()
    };
    let (plain, urgent) = (heartbeat.encode_to_vec(), with_demand.encode_to_vec());
    for target in targets {
        let is_holder = holder.as_ref().is_none_or(|holder| *holder == target);
        if audience == Audience::LeaseHolder && !is_holder {
            continue;
        }
        let bytes = if is_holder { &urgent } else { &plain };
        // A lost heartbeat is made good by the next one.
        if let Err(error) = socket.send_to(bytes, &*target).await {
            log::debug!("no heartbeat to {target}: {error}");
        }
    }
}

/// Takes the heartbeats of other instances.
pub async fn listen<C, S, E>(gateway: Rc<Gateway<C, S, E>>, socket: Rc<UdpSocket>)
where
    C: Callers,
    S: Store,
    E: Engines,
{
    let mut buffer = vec![0; MAX_HEARTBEAT_BYTES];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            tokio::time::sleep(GOSSIP_PAUSE).await;
            continue;
        };
        let Ok(heartbeat) = Heartbeat::decode(&buffer[..length]) else {
            log::info!("a heartbeat that can't be read was dropped");
            continue;
        };
        let now = gateway.now();
        let newer = gateway
            .dispatcher
            .borrow_mut()
            .note_heartbeat(now, &heartbeat);
        if !newer {
            continue;
        }
        if !heartbeat.stock.is_empty() {
            gateway.changed.notify_waiters();
        }
        if heartbeat.models.iter().any(|usage| usage.waiting > 0) {
            gateway.planning.notify_one();
        }
    }
}
