//! Tasks that keep an instance in touch with the others.

use std::rc::Rc;
use std::time::{Duration, Instant};

use apricotwell_dispatch::peers::heartbeat_pause;
use apricotwell_dispatch::prelude::*;
use apricotwell_messages::{Datagram, Heartbeat, StockTold};
use apricotwell_types::{InstanceId, Offset};
use prost::Message;
use tokio::net::UdpSocket;

use crate::adapter::{ClaimRecord, Platform, Store, StoreError};
use crate::events::Event;
use crate::gateway::Gateway;

/// Pause between renewals of the membership.
pub const RENEWAL_PAUSE: Duration = Duration::from_millis(500);
/// Least time between heartbeats that tell of a change.
const GOSSIP_PAUSE: Duration = Duration::from_millis(30);
/// Part of the least time between heartbeats that each instance adds.
const GOSSIP_PER_INSTANCE: Duration = Duration::from_millis(4);
/// Bytes of the largest datagram.
const MAX_DATAGRAM_BYTES: usize = 60 << 10;
/// Least pause between two lists of the members.
const LIST_PAUSE: Duration = Duration::from_millis(3000);
/// Part of that pause that each instance of the fleet adds.
const LIST_PAUSE_PER_INSTANCE: Duration = Duration::from_millis(60);
/// Attempts to claim the lease before the next renewal.
const CLAIM_ATTEMPTS: u32 = 3;

/// Renews the membership and claims the placement lease when it is free.
pub async fn renew_membership<P>(gateway: Rc<Gateway<P>>)
where
    P: Platform,
{
    let term = gateway.dispatcher.borrow().facts.lease.term;
    let mut renewer = Renewer {
        member: gateway.listeners.peers.clone(),
        term,
        generation: 0,
        listed: None,
        listed_at: None,
        checked: None,
        gateway,
    };
    while renewer.may_renew() {
        if let Err(error) = renewer.renew().await {
            renewer.gateway.metrics.note_store_call("failed");
            log::info!("membership not renewed: {error}");
        }
        tokio::time::sleep(RENEWAL_PAUSE).await;
    }
}

struct Renewer<P>
where
    P: Platform,
{
    gateway: Rc<Gateway<P>>,
    member: String,
    term: Duration,
    // Generation of the group in the last answer.
    generation: u64,
    // Generation of which the members are known.
    listed: Option<u64>,
    // When they were listed.
    listed_at: Option<Instant>,
    // Generation in which the lease was looked at.
    checked: Option<u64>,
}

impl<P> Renewer<P>
where
    P: Platform,
{
    // An instance that stops stays in the group only for the lease: it orders to its end, and the
    // process that follows it on this machine takes the lease back without a pause.
    fn may_renew(&self) -> bool {
        let now = self.gateway.now();
        self.gateway.stopped.get().is_none() || self.gateway.dispatcher.borrow().lease.is_held(now)
    }

    async fn renew(&mut self) -> Result<(), StoreError> {
        let gateway = Rc::clone(&self.gateway);
        let start = gateway.now();
        gateway.dispatcher.borrow_mut().lease.note_try(start);
        let joined = gateway
            .store
            .join(&self.member, self.generation, self.term)
            .await?;
        gateway.metrics.note_store_call("join");
        self.generation = joined.generation;
        let now = gateway.now();
        // A free lease falls to one member only: the others need not look.
        let changed =
            self.checked.is_none() || (joined.leads && self.checked != Some(joined.generation));
        let step = {
            let mut dispatcher = gateway.dispatcher.borrow_mut();
            dispatcher.peers.note_unchanged(now);
            dispatcher.lease.note_renewal(start, changed)
        };
        if self.listed != Some(joined.generation) && self.may_list(now) {
            list_members(&gateway).await?;
            self.listed = Some(joined.generation);
            self.listed_at = Some(now);
        }
        if step == LeaseStep::Check {
            self.check(joined.leads).await?;
            self.checked = Some(joined.generation);
        }
        Ok(())
    }

    // Members announce themselves by heartbeats; the list only makes good what was lost.
    fn may_list(&self, now: Instant) -> bool {
        let members = self.gateway.dispatcher.borrow().peers.possible() as u32;
        let pause = LIST_PAUSE.max(LIST_PAUSE_PER_INSTANCE * members);
        self.listed_at
            .is_none_or(|at| now.saturating_duration_since(at) >= pause)
    }

    async fn check(&self, candidate: bool) -> Result<(), StoreError> {
        for _ in 0..CLAIM_ATTEMPTS {
            let last = self.gateway.store.last_claim().await?;
            let standing = match &last.claim {
                Some(claim) if claim.holder != self.member => {
                    let members = self.gateway.store.members().await?;
                    if members.contains(&claim.holder) {
                        Standing::Taken
                    } else {
                        Standing::Dropped
                    }
                }
                Some(_) => Standing::Own,
                None if last.end == 0 => Standing::Unclaimed,
                // The record has expired: its writer may be any member.
                None => Standing::Dropped,
            };
            let step = {
                let mut dispatcher = self.gateway.dispatcher.borrow_mut();
                dispatcher.lease.note_standing(standing, candidate)
            };
            match step {
                LeaseStep::Claim => match self.claim(last.end, standing).await {
                    Err(StoreError::Moved) => {}
                    done => return done,
                },
                LeaseStep::Stop => {
                    Event::new("lease_lost").log();
                    return Ok(());
                }
                LeaseStep::Keep | LeaseStep::Check => return Ok(()),
            }
        }
        Err(StoreError::Moved)
    }

    async fn claim(&self, at: Offset, standing: Standing) -> Result<(), StoreError> {
        let gateway = &self.gateway;
        let record = ClaimRecord {
            holder: self.member.clone(),
        };
        let fence = gateway.store.append_claim(at, &record).await?;
        let now = gateway.now();
        let mut dispatcher = gateway.dispatcher.borrow_mut();
        dispatcher.lease.note_claim(now, fence, standing);
        Event::new("lease_claimed")
            .with("fence", fence)
            .with("standing", format!("{standing:?}"))
            .log();
        Ok(())
    }
}

async fn list_members<P>(gateway: &Gateway<P>) -> Result<(), StoreError>
where
    P: Platform,
{
    let members = gateway.store.members().await?;
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
    Ok(())
}

/// Leaves the group, unless this instance holds the placement lease.
pub async fn leave<P>(gateway: &Gateway<P>)
where
    P: Platform,
{
    let now = gateway.now();
    if gateway.dispatcher.borrow().lease.is_held(now) {
        return;
    }
    if let Err(error) = gateway.store.leave(&gateway.listeners.peers).await {
        log::info!("group not left: {error}");
    }
}

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
    let mut news = StockNews::default();
    let mut audience = Audience::Everyone;
    let mut turn = 0;
    let mut due = tokio::time::Instant::now();
    loop {
        let instances = gateway.dispatcher.borrow().peers.possible() as u32;
        if audience != Audience::Nobody {
            send_heartbeat(&gateway, &socket, audience).await;
        }
        if audience == Audience::Everyone {
            // The larger the fleet, the rarer the heartbeats: each instance's share stays the same.
            due = tokio::time::Instant::now() + heartbeat_pause(instances);
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
async fn next_restock<P>(gateway: &Gateway<P>, news: &StockNews)
where
    P: Platform,
{
    loop {
        gateway.restocked.notified().await;
        let now = gateway.now();
        let dispatcher = gateway.dispatcher.borrow();
        let (planner, list) = (&dispatcher.stock, &dispatcher.backends);
        if dispatcher.lease.fence(now).is_some() && news.has_change(now, planner, list) {
            return;
        }
    }
}

// Tells what servers hold, if this instance holds the lease.
async fn tell_stock<P>(gateway: &Gateway<P>, socket: &UdpSocket, news: &mut StockNews, turn: usize)
where
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
            servers: news.take(now, &dispatcher.stock, &dispatcher.backends),
        };
        dispatcher.note_stock(now, &told);
        (told, dispatcher.stock_audience(now, turn))
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
        dispatcher.note_stock(now, &told);
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
            dispatcher.note_told(now);
        }
        let demand = dispatcher.demand.uses(now);
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
        .note_heartbeat(now, heartbeat);
    if !newer {
        return;
    }
    if heartbeat.models.iter().any(|usage| usage.waiting > 0) {
        gateway.planning.notify_one();
    }
}
