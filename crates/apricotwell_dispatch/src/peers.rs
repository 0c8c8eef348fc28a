//! Other instances of the fleet, as known from their heartbeats and the store's group.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use apricotwell_messages::{Heartbeat, ModelUse};
use apricotwell_types::{Fence, InstanceId, Map, ZoneId};

use crate::quota::ReportingFleet;

/// Heartbeat interval of a small fleet.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Heartbeat interval per instance of a large fleet.
const INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(12);
/// Heartbeat intervals without a heartbeat after which an instance counts as unreachable; a few
/// heartbeats may be lost.
const ALIVE_INTERVALS: u32 = 4;

/// Returns the heartbeat interval in a fleet of `instances`.
///
/// It grows with the fleet, so that the traffic of each instance stays the same.
pub fn heartbeat_interval(instances: u32) -> Duration {
    MIN_HEARTBEAT_INTERVAL.max(INTERVAL_PER_INSTANCE * instances)
}

/// Tenths of the heartbeat interval without a heartbeat after which an instance's spending counts
/// as unreported.
const REPORTING_TENTHS: u32 = 24;
/// Shortest time for which an instance that became unreachable may still be serving requests.
const MIN_PEER_LIFETIME: Duration = Duration::from_secs(5);
/// Time after a missing heartbeat for which an instance may still be serving. In a large fleet the interval
/// alone reaches the shortest lifetime, so that without this time one lost heartbeat would end an instance.
const OVERDUE_TIME: Duration = Duration::from_millis(600);
/// Time before the end of an instance's lifetime in which it is asked whether it runs: twice at least.
const QUESTION_TIME: Duration = Duration::from_millis(500);

/// Time without heartbeats after which any heartbeat of an instance is accepted: no datagram is in
/// transit for so long.
const RESTART_SILENCE: Duration = Duration::from_millis(900);

/// Time for which the fleet counts as no smaller than it was, so that instances that can't hear each other do
/// not take over each other's shares.
const SIZE_HOLD: Duration = Duration::from_secs(600);

#[derive(Debug)]
struct Peer {
    incarnation: u64,
    number: u64,
    address: String,
    ready: bool,
    // Whether it is stopping and still serves requests that are passed on to it.
    is_stopping: bool,
    zone: ZoneId,
    // Fencing token of its orders to servers, 0 if it sends none.
    fence: Fence,
    last_heartbeat: Instant,
    // When it was last asked whether it runs, and responded.
    last_response: Option<Instant>,
    models: Vec<ModelUse>,
    // Services of which it reaches no server.
    unreachable: Vec<String>,
    // Whether it left a question unanswered since its last heartbeat.
    is_silent: bool,
    // Whether its fencing tokens follow the eras of the store.
    knows_eras: bool,
}

impl Peer {
    // Returns how long nothing shows that the instance runs.
    fn silence(&self, now: Instant) -> Duration {
        let heard = self.last_response.max(Some(self.last_heartbeat));
        heard.map_or(Duration::MAX, |at| now.saturating_duration_since(at))
    }
}

/// Address of another instance that clients can connect to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadyAddress<'a> {
    /// Address.
    pub address: &'a str,
    /// Whether the instance reaches servers of all services, as far as it knows.
    pub reaches_all: bool,
}

/// The other known instances.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: Map<InstanceId, Peer>,
    // Members of the store's group, with the time at which they were last listed.
    members: Map<InstanceId, Instant>,
    size: FleetSize,
}

/// Number of instances among which the fleet's allowances are divided.
#[derive(Debug, Default)]
struct FleetSize {
    // Largest number known, and when it was last reached.
    largest: Option<(usize, Instant)>,
    // Whether the store's list of members was read, without which there may be unknown others.
    is_listed: bool,
}

impl FleetSize {
    fn raise(&mut self, now: Instant, size: usize) {
        if self.largest.is_none_or(|(largest, _)| size >= largest) {
            self.largest = Some((size, now));
        }
    }

    // Replaces the number after its hold; to be called with the store's list at hand.
    fn confirm(&mut self, now: Instant, size: usize) {
        self.is_listed = true;
        let is_held = |at: Instant| now.saturating_duration_since(at) < SIZE_HOLD;
        if !self.largest.is_some_and(|(_, at)| is_held(at)) {
            self.largest = Some((size, now));
        }
        self.raise(now, size);
    }
}

impl PeerTable {
    /// Applies a heartbeat; returns `false` if it is outdated.
    pub fn apply_heartbeat(&mut self, now: Instant, heartbeat: &Heartbeat) -> bool {
        let order = (heartbeat.incarnation, heartbeat.number);
        let known = self.peers.get(heartbeat.instance.as_str());
        // After a time without heartbeats, the instance may have restarted with a clock that was
        // set back, so that its incarnation is lower.
        let is_outdated = |peer: &Peer| {
            (peer.incarnation, peer.number) >= order
                && now.saturating_duration_since(peer.last_heartbeat) < RESTART_SILENCE
        };
        if known.is_some_and(is_outdated) {
            return false;
        }
        let peer = Peer {
            incarnation: heartbeat.incarnation,
            number: heartbeat.number,
            address: heartbeat.address.clone(),
            ready: heartbeat.ready,
            is_stopping: heartbeat.stopping,
            zone: heartbeat.zone.as_str().into(),
            fence: heartbeat.fence,
            last_heartbeat: now,
            last_response: None,
            models: heartbeat.models.clone(),
            unreachable: heartbeat.unreachable.clone(),
            is_silent: false,
            knows_eras: heartbeat.knows_eras,
        };
        let previous = self.peers.insert(heartbeat.instance.as_str().into(), peer);
        // Counting takes time in a large fleet, and only a new instance changes the number.
        if previous.is_none() {
            self.size.raise(now, self.possible_count());
        }
        true
    }

    /// Applies the store's list of the group's members.
    pub fn apply_members<I>(&mut self, now: Instant, members: I)
    where
        I: IntoIterator<Item = InstanceId>,
    {
        self.members
            .extend(members.into_iter().map(|member| (member, now)));
        self.size.confirm(now, self.possible_count());
    }

    /// Extends the lifetime of the members that were last listed, after a renewal without a change
    /// of the group.
    pub fn refresh_members(&mut self, now: Instant) {
        let last_list = self.members.values().max().copied();
        for listed in self.members.values_mut() {
            if Some(*listed) == last_list {
                *listed = now;
            }
        }
        if self.size.is_listed {
            self.size.confirm(now, self.possible_count());
        }
    }

    /// Removes instances that can no longer be serving; returns those that had sent heartbeats.
    pub fn expire(&mut self, now: Instant) -> Vec<InstanceId> {
        let lifetime = self.lifetime();
        self.members
            .retain(|_, listed| now.saturating_duration_since(*listed) < lifetime);
        let expired: Vec<InstanceId> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.silence(now) >= lifetime)
            .map(|(id, _)| id.clone())
            .collect();
        self.peers.retain(|_, peer| peer.silence(now) < lifetime);
        expired
    }

    /// Returns the instances to ask whether they run, as they soon count as ended: a heartbeat may be lost
    /// or late.
    pub fn overdue(&self, now: Instant) -> impl Iterator<Item = &InstanceId> {
        let from = self.lifetime().saturating_sub(QUESTION_TIME);
        let overdue = self.peers.iter();
        let overdue = overdue.filter(move |(_, peer)| peer.silence(now) >= from);
        overdue.map(|(id, _)| id)
    }

    /// Records that an instance responded to a question that was sent at `asked`.
    pub fn record_response(&mut self, asked: Instant, instance: &str) {
        if let Some(peer) = self.peers.get_mut(instance) {
            peer.last_response = peer.last_response.max(Some(asked));
        }
    }

    /// Returns the instances to send heartbeats to: the group's members and the senders of
    /// heartbeats.
    pub fn heartbeat_targets(&self) -> Vec<InstanceId> {
        let mut targets: Vec<InstanceId> = self
            .members
            .keys()
            .chain(self.peers.keys())
            .cloned()
            .collect();
        targets.sort();
        targets.dedup();
        targets
    }

    /// Returns whether the fencing tokens of all instances follow the eras of the store; those that were not
    /// heard may be earlier builds.
    pub fn know_eras(&self) -> bool {
        let knows = |id: &InstanceId| self.peers.get(id).is_some_and(|peer| peer.knows_eras);
        self.members.keys().chain(self.peers.keys()).all(knows)
    }

    /// Returns the reachable instance that announces the highest fencing token, if any does.
    pub fn lease_holder(&self, now: Instant) -> Option<InstanceId> {
        let holders = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.fence > 0 && self.is_alive(now, peer));
        holders
            .max_by_key(|(_, peer)| peer.fence)
            .map(|(id, _)| id.clone())
    }

    /// Returns the addresses of other instances that clients should connect to.
    pub fn ready_addresses(&self, now: Instant) -> impl Iterator<Item = ReadyAddress<'_>> {
        let lifetime = self.lifetime();
        self.peers
            .values()
            .filter(move |peer| {
                // In a large fleet, `is_alive` holds longer than clients may be directed to an
                // instance that has ended, and such instances are removed with a delay.
                peer.ready && self.is_alive(now, peer) && peer.silence(now) < lifetime
            })
            .map(|peer| ReadyAddress {
                address: &peer.address,
                reaches_all: peer.unreachable.is_empty(),
            })
    }

    /// Records that an instance left a question unanswered; its next heartbeat ends that.
    pub fn mark_silent(&mut self, instance: &str) {
        if let Some(peer) = self.peers.get_mut(instance) {
            peer.is_silent = true;
        }
    }

    /// Returns the reachable and ready instances that may reach servers of a service, with their zones.
    ///
    /// Those that left a question unanswered are named only if there are no others.
    pub fn reaching(&self, now: Instant, service: &str) -> Vec<(&InstanceId, &ZoneId)> {
        self.reaching_if(now, service, |peer| peer.ready)
    }

    /// The same for instances that are stopping and still serve requests that are passed on to them.
    pub fn reaching_until_stopped(
        &self,
        now: Instant,
        service: &str,
    ) -> Vec<(&InstanceId, &ZoneId)> {
        self.reaching_if(now, service, |peer| peer.is_stopping)
    }

    fn reaching_if<F>(&self, now: Instant, service: &str, serves: F) -> Vec<(&InstanceId, &ZoneId)>
    where
        F: Fn(&Peer) -> bool,
    {
        let reaching = self.peers.iter().filter(|(_, peer)| {
            serves(peer)
                && self.is_alive(now, peer)
                && peer.unreachable.iter().all(|it| it != service)
        });
        let (silent, responding): (Vec<_>, Vec<_>) = reaching.partition(|(_, peer)| peer.is_silent);
        let named = if responding.is_empty() {
            silent
        } else {
            responding
        };
        let named = named.into_iter();
        named.map(|(id, peer)| (id, &peer.zone)).collect()
    }

    /// Returns the reachable instances by zone, sorted within each zone.
    pub fn alive_by_zone(&self, now: Instant) -> BTreeMap<ZoneId, Vec<InstanceId>> {
        let mut zones: BTreeMap<ZoneId, Vec<InstanceId>> = BTreeMap::new();
        for (id, peer) in &self.peers {
            if self.is_alive(now, peer) {
                zones.entry(peer.zone.clone()).or_default().push(id.clone());
            }
        }
        for instances in zones.values_mut() {
            instances.sort();
        }
        zones
    }

    /// Returns the reachable and ready instance of a zone with the lowest id.
    pub fn first_ready(&self, now: Instant, zone: &ZoneId) -> Option<InstanceId> {
        let ready = self.ready_where(now, |other| other == zone);
        ready.into_iter().next()
    }

    /// Returns the reachable and ready instances of the zones that are chosen, sorted.
    pub fn ready_where<F>(&self, now: Instant, is_chosen: F) -> Vec<InstanceId>
    where
        F: Fn(&ZoneId) -> bool,
    {
        let ready = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.ready && is_chosen(&peer.zone) && self.is_alive(now, peer));
        let mut ready: Vec<InstanceId> = ready.map(|(id, _)| id.clone()).collect();
        ready.sort();
        ready
    }

    /// Returns whether heartbeats of an instance are received.
    pub fn is_heard(&self, now: Instant, instance: &str) -> bool {
        let peer = self.peers.get(instance);
        peer.is_some_and(|peer| self.is_alive(now, peer))
    }

    /// Returns the number of instances that report their spending in time, including this one.
    pub fn reporting_count(&self, now: Instant) -> usize {
        1 + self
            .peers
            .values()
            .filter(|peer| self.is_alive_within(now, peer, REPORTING_TENTHS))
            .count()
    }

    /// Returns which instances report their spending.
    pub fn reporting_fleet(&self, now: Instant) -> ReportingFleet {
        ReportingFleet {
            reporting: self.reporting_count(now),
            possible: self.possible_count(),
            timeout: self.timeout(REPORTING_TENTHS),
        }
    }

    /// Returns the number of instances that may be serving requests, including this one.
    pub fn possible_count(&self) -> usize {
        1 + self.heartbeat_targets().len()
    }

    /// Returns the number of instances among which the fleet's allowances are divided, including this
    /// one; 0 until the store's list of members was read.
    ///
    /// It is no smaller than it was in the last ten minutes, and does not fall while the store is out of
    /// reach: instances that are not heard may still be serving.
    pub fn sharing_count(&self) -> usize {
        let largest = self.size.largest.filter(|_| self.size.is_listed);
        largest.map_or(0, |(largest, _)| largest)
    }

    /// Returns the demand for models at all other reachable instances.
    pub fn model_uses(&self, now: Instant) -> impl Iterator<Item = &ModelUse> {
        self.peers
            .values()
            .filter(move |peer| self.is_alive(now, peer))
            .flat_map(|peer| &peer.models)
    }

    /// Returns the models that requests wait for at other reachable instances.
    pub fn waiting_uses(&self, now: Instant) -> impl Iterator<Item = (&InstanceId, &ModelUse)> {
        self.peers
            .iter()
            .filter(move |(_, peer)| self.is_alive(now, peer))
            .flat_map(|(id, peer)| peer.models.iter().map(move |usage| (id, usage)))
            .filter(|(_, usage)| usage.waiting > 0)
    }

    // Whether an instance is reachable, so that clients are sent to it and its reports are used.
    fn is_alive(&self, now: Instant, peer: &Peer) -> bool {
        self.is_alive_within(now, peer, ALIVE_INTERVALS * 10)
    }

    fn is_alive_within(&self, now: Instant, peer: &Peer, tenths: u32) -> bool {
        now.saturating_duration_since(peer.last_heartbeat) < self.timeout(tenths)
    }

    // Returns the time of so many tenths of the heartbeat interval.
    fn timeout(&self, tenths: u32) -> Duration {
        self.interval() * tenths / 10
    }

    fn interval(&self) -> Duration {
        heartbeat_interval(1 + self.peers.len() as u32)
    }

    // Returns how long an instance of which nothing is heard may still be serving requests.
    fn lifetime(&self) -> Duration {
        MIN_PEER_LIFETIME.max(self.interval() + OVERDUE_TIME)
    }
}
