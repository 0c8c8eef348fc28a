//! Other instances of the fleet.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use apricotwell_messages::{Heartbeat, ModelUse};
use apricotwell_types::{Fence, InstanceId, Map, ZoneId};

/// Pause between heartbeats of a small fleet.
const HEARTBEAT_PAUSE: Duration = Duration::from_millis(400);
/// Part of the pause between heartbeats that each instance of a large fleet adds.
const PAUSE_PER_INSTANCE: Duration = Duration::from_millis(12);
/// Heartbeats that may be lost before an instance counts as silent.
const SILENCE_HEARTBEATS: u32 = 4;

/// Returns the pause between heartbeats in a fleet of so many instances: the larger it is, the rarer
/// they are, so that each instance's share of the traffic stays the same.
pub fn heartbeat_interval(instances: u32) -> Duration {
    HEARTBEAT_PAUSE.max(PAUSE_PER_INSTANCE * instances)
}

/// Heartbeats, in tenths, after which what an instance spends counts as not told.
const TELLING_TENTHS: u32 = 24;
/// Time for which an instance that fell silent may still serve on what it knows.
const MEMORY: Duration = Duration::from_secs(5);

/// Silence after which any heartbeat of an instance counts: no datagram is on its way for so long.
const RESTART_SILENCE: Duration = Duration::from_millis(900);

#[derive(Debug)]
struct Peer {
    incarnation: u64,
    number: u64,
    address: String,
    ready: bool,
    zone: ZoneId,
    // Fence under which it orders servers, 0 if it doesn't.
    fence: Fence,
    heard: Instant,
    models: Vec<ModelUse>,
}

/// Instances that this one has heard of, without itself.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: Map<InstanceId, Peer>,
    // Members by the store's group, with the time at which they were last listed.
    members: Map<InstanceId, Instant>,
}

impl PeerTable {
    /// Applies a heartbeat; returns whether it is newer than what was known.
    pub fn apply_heartbeat(&mut self, now: Instant, heartbeat: &Heartbeat) -> bool {
        let order = (heartbeat.incarnation, heartbeat.number);
        let known = self.peers.get(heartbeat.instance.as_str());
        // After a silence the instance may have started anew with a clock that was set back.
        let is_late = |peer: &Peer| {
            (peer.incarnation, peer.number) >= order
                && now.saturating_duration_since(peer.heard) < RESTART_SILENCE
        };
        if known.is_some_and(is_late) {
            return false;
        }
        let peer = Peer {
            incarnation: heartbeat.incarnation,
            number: heartbeat.number,
            address: heartbeat.address.clone(),
            ready: heartbeat.ready,
            zone: heartbeat.zone.as_str().into(),
            fence: heartbeat.fence,
            heard: now,
            models: heartbeat.models.clone(),
        };
        self.peers.insert(heartbeat.instance.as_str().into(), peer);
        true
    }

    /// Applies the store's list of members.
    pub fn apply_members<I>(&mut self, now: Instant, members: I)
    where
        I: IntoIterator<Item = InstanceId>,
    {
        self.members
            .extend(members.into_iter().map(|member| (member, now)));
    }

    /// Keeps the members that were last listed, after a renewal that showed no change.
    pub fn refresh_members(&mut self, now: Instant) {
        let newest = self.members.values().max().copied();
        for listed in self.members.values_mut() {
            if Some(*listed) == newest {
                *listed = now;
            }
        }
    }

    /// Forgets instances that can no longer be serving; returns them.
    pub fn expire(&mut self, now: Instant) -> Vec<InstanceId> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < MEMORY;
        self.members.retain(|_, listed| is_recent(*listed));
        let gone: Vec<InstanceId> = self
            .peers
            .iter()
            .filter(|(_, peer)| !is_recent(peer.heard))
            .map(|(id, _)| id.clone())
            .collect();
        self.peers.retain(|_, peer| is_recent(peer.heard));
        gone
    }

    /// Returns whom heartbeats go to.
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

    /// Returns the instance that orders servers, if one says so.
    pub fn lease_holder(&self, now: Instant) -> Option<InstanceId> {
        let holders = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.fence > 0 && self.is_heard(now, peer));
        holders
            .max_by_key(|(_, peer)| peer.fence)
            .map(|(id, _)| id.clone())
    }

    /// Returns the addresses of other instances to which callers should be sent.
    pub fn ready_addresses(&self, now: Instant) -> impl Iterator<Item = &str> {
        self.peers
            .values()
            .filter(move |peer| peer.ready && self.is_heard(now, peer))
            .map(|peer| peer.address.as_str())
    }

    /// Returns the instances that are heard by zone, each zone's in order.
    pub fn alive_by_zone(&self, now: Instant) -> BTreeMap<ZoneId, Vec<InstanceId>> {
        let mut zones: BTreeMap<ZoneId, Vec<InstanceId>> = BTreeMap::new();
        for (id, peer) in &self.peers {
            if self.is_heard(now, peer) {
                zones.entry(peer.zone.clone()).or_default().push(id.clone());
            }
        }
        for instances in zones.values_mut() {
            instances.sort();
        }
        zones
    }

    /// Returns the ready instance of a zone with the lowest id.
    pub fn first_ready(&self, now: Instant, zone: &ZoneId) -> Option<InstanceId> {
        let ready = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.ready && peer.zone == *zone && self.is_heard(now, peer));
        ready.map(|(id, _)| id.clone()).min()
    }

    /// Returns the number of instances that tell what they do, this one included.
    pub fn reporting_count(&self, now: Instant) -> usize {
        1 + self
            .peers
            .values()
            .filter(|peer| self.is_heard_within(now, peer, TELLING_TENTHS))
            .count()
    }

    /// Returns the number of instances that may be serving, this one included.
    pub fn possible_count(&self) -> usize {
        1 + self.heartbeat_targets().len()
    }

    /// Returns the demand for models at all other instances that are heard.
    pub fn model_uses(&self, now: Instant) -> impl Iterator<Item = &ModelUse> {
        self.peers
            .values()
            .filter(move |peer| self.is_heard(now, peer))
            .flat_map(|peer| &peer.models)
    }

    // Whether callers can be sent to an instance and its word counts.
    fn is_heard(&self, now: Instant, peer: &Peer) -> bool {
        self.is_heard_within(now, peer, SILENCE_HEARTBEATS * 10)
    }

    fn is_heard_within(&self, now: Instant, peer: &Peer, tenths: u32) -> bool {
        let instances = 1 + self.peers.len() as u32;
        let silence = heartbeat_interval(instances) * tenths / 10;
        now.saturating_duration_since(peer.heard) < silence
    }
}
