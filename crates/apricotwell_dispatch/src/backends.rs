//! Backend servers: their list entries, model inventories, load and failure rates.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use apricotwell_messages::{LeavingServer, ServerInventory, ServerUse, SlowServer};
use apricotwell_types::{Fence, InstanceId, Map, ServerId, ZoneId};

use crate::catalog::ServiceId;
use crate::engine_load::ServerLoad;
use crate::entry_order::{EntryOrder, KnownProcess};
use crate::evacuation::EvacuationTable;
use crate::leaving_servers::LeavingServers;
use crate::model::{Inventory, ModelName, RequestedModel};
use crate::prompt_lanes::lane_rank;
use crate::returned_servers::ReturnedServers;
use crate::software::SoftwareVersion;

/// Weight of a new outcome in the moving average of a server's failure rate.
const FAILURE_WEIGHT: f64 = 0.25;
/// Half-life of a failure rate without new outcomes, so that a failed server is tried again.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);
/// Time constant of the exponential decay of the tokens recently sent to a server.
const RECENT_TOKENS_DECAY: Duration = Duration::from_millis(600);
/// Age from which on an inventory from the lease holder is no longer used.
const INVENTORY_LIFETIME: Duration = Duration::from_secs(3);
/// Time for which a model is not requested from a server that rejected a request for it.
const REJECTION_LIFETIME: Duration = Duration::from_millis(150);

/// A server's entry in the platform's server list.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendEntry {
    /// Server id.
    pub id: ServerId,
    /// Service that the server runs.
    pub service: ServiceId,
    /// Address for requests and orders.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Requests that the server runs concurrently.
    pub slots: u32,
    /// Whether the server accepts no new requests.
    pub draining: bool,
    /// Time until the server shuts down, if its shutdown was announced.
    pub remaining: Option<Duration>,
    /// Start time of the server's process, in milliseconds since the Unix epoch. Another one means
    /// that the server was restarted.
    pub started_ms: u64,
    /// Number of the entry, which rises with each one that the process writes; `None` if it is unknown, as
    /// from instances of earlier builds.
    pub number: Option<u64>,
    /// Time for which the server can handle only few requests, as it states.
    pub cold_left: Duration,
    /// Version of the server's software, not of the weights; `None` if it is unknown.
    pub software: Option<SoftwareVersion>,
    /// Models that the server holds.
    pub inventory: Inventory,
}

impl BackendEntry {
    // Returns whether two entries differ in their numbers at most.
    fn says_same(&self, other: &Self) -> bool {
        let Self {
            id,
            service,
            address,
            zone,
            slots,
            draining,
            remaining,
            started_ms,
            number: _,
            cold_left,
            software,
            inventory,
        } = self;
        *id == other.id
            && *service == other.service
            && *address == other.address
            && *zone == other.zone
            && *slots == other.slots
            && *draining == other.draining
            && *remaining == other.remaining
            && *started_ms == other.started_ms
            && *cold_left == other.cold_left
            && *software == other.software
            && *inventory == other.inventory
    }
}

/// A model load in progress on a server.
#[derive(Clone, Debug, PartialEq)]
pub struct Loading {
    /// Model being loaded.
    pub model: ModelName,
    /// Expected end of the load.
    pub ends_at: Instant,
}

/// State of a server as this instance knows it.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Latest list entry.
    pub entry: BackendEntry,
    /// Models that the server holds, by the lease holder's inventory if there is a recent one,
    /// otherwise by the list entry.
    pub inventory: Inventory,
    /// Model load in progress.
    pub loading: Option<Loading>,
    // Model that the lease holder is about to unload.
    leaving: Option<ModelName>,
    /// Requests in flight from this instance.
    pub own_requests: u32,
    /// Load of its model engine; counted only where servers are selected by their load.
    pub load: ServerLoad,
    // Rank for the division between long and short prompts.
    pub(crate) lane_rank: u64,
    // Requests in flight from other instances, by their heartbeats.
    peer_requests: Map<InstanceId, u32>,
    // Prompt tokens recently sent by this instance, as of `recent_tokens_at`.
    recent_tokens: f64,
    recent_tokens_at: Instant,
    // When the last inventory from the lease holder was received.
    inventory_at: Option<Instant>,
    // Fencing token of that inventory.
    fence: Fence,
    // Model that the server last rejected, and when.
    rejected: Option<(RequestedModel, Instant)>,
    // Failure rate as of `failure_rate_at`.
    failure_rate: f64,
    failure_rate_at: Instant,
    // When a server that was removed from the list is no longer used.
    expires_at: Option<Instant>,
    // Whether its entry has come back after a removal, and may have been written before it.
    is_held: bool,
    // Whether its process said in an answer that it leaves.
    is_going: bool,
}

impl Backend {
    fn new(now: Instant, entry: BackendEntry) -> Self {
        Self {
            inventory: entry.inventory.clone(),
            lane_rank: lane_rank(&entry.id),
            entry,
            loading: None,
            leaving: None,
            own_requests: 0,
            load: ServerLoad::default(),
            peer_requests: Map::default(),
            recent_tokens: 0.0,
            recent_tokens_at: now,
            inventory_at: None,
            fence: 0,
            rejected: None,
            failure_rate: 0.0,
            failure_rate_at: now,
            expires_at: None,
            is_held: false,
            is_going: false,
        }
    }

    /// Returns whether the server itself accepts new requests; see [`BackendTable::is_usable`].
    pub fn is_available(&self, now: Instant) -> bool {
        let is_leaving = self.entry.draining || self.is_going;
        !is_leaving && !self.is_held && self.expires_at.is_none_or(|expiry| now < expiry)
    }

    /// Returns whether the lease holder is about to unload a model.
    pub fn is_leaving(&self, model: &str) -> bool {
        self.leaving
            .as_ref()
            .is_some_and(|leaving| **leaving == *model)
    }

    /// Returns the number of requests in flight from all instances.
    pub fn in_flight(&self) -> u32 {
        self.own_requests + self.peer_requests.values().sum::<u32>()
    }

    /// Returns the age of the lease holder's inventory, `None` if the list entry applies.
    pub fn inventory_age(&self, now: Instant) -> Option<Duration> {
        let at = self.inventory_at?;
        Some(now.saturating_duration_since(at))
    }

    /// Returns the prompt tokens that this instance recently sent, decayed over time.
    pub fn recent_tokens(&self, now: Instant) -> f64 {
        if self.recent_tokens == 0.0 {
            return 0.0;
        }
        let age = now
            .saturating_duration_since(self.recent_tokens_at)
            .as_secs_f64();
        self.recent_tokens * (-age / RECENT_TOKENS_DECAY.as_secs_f64()).exp()
    }

    /// Returns the share of recent requests that failed, as a moving average.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        if self.failure_rate == 0.0 {
            return 0.0;
        }
        let age = now
            .saturating_duration_since(self.failure_rate_at)
            .as_secs_f64();
        self.failure_rate * 0.5f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64())
    }

    /// Returns whether the server can run a request for the model now; any server can if no model
    /// is requested.
    pub fn serves(&self, now: Instant, requested: Option<&RequestedModel>) -> bool {
        let Some(requested) = requested else {
            return true;
        };
        let is_rejected = self.rejected.as_ref().is_some_and(|(rejected, at)| {
            rejected == requested && now.saturating_duration_since(*at) < REJECTION_LIFETIME
        });
        !is_rejected && self.inventory.serves(requested)
    }
}

/// All servers in the list, and removed ones that are still in use.
#[derive(Debug, Default)]
pub struct BackendTable {
    servers: Map<ServerId, Backend>,
    order: EntryOrder,
    returned: ReturnedServers,
    leaving: LeavingServers,
    // Whether servers appear in the list that have run for some time.
    expects_servers: bool,
    /// Zones whose servers get no new requests.
    pub evacuations: EvacuationTable,
}

impl BackendTable {
    /// Returns an empty table of servers that renew their entries each `heartbeat`.
    pub fn new(heartbeat: Duration) -> Self {
        Self {
            returned: ReturnedServers::new(heartbeat),
            ..Self::default()
        }
    }

    /// Returns a server.
    pub fn get(&self, id: &str) -> Option<&Backend> {
        self.servers.get(id)
    }

    pub(crate) fn get_mut(&mut self, id: &str) -> Option<&mut Backend> {
        self.servers.get_mut(id)
    }

    /// Returns all servers.
    pub fn iter(&self) -> impl Iterator<Item = &Backend> {
        self.servers.values()
    }

    /// Returns whether new requests may be sent to a server: it accepts them, and its zone is not
    /// evacuated.
    pub fn is_usable(&self, now: Instant, server: &Backend) -> bool {
        server.is_available(now) && !self.evacuations.is_evacuated(&server.entry.zone)
    }

    /// Returns whether a service has servers that accept requests, all of them in evacuated zones.
    pub fn is_evacuated(&self, now: Instant, service: &str) -> bool {
        !self.evacuations.is_empty()
            && self.usable(now, service).next().is_none()
            && self
                .servers
                .values()
                .any(|server| *server.entry.service == *service && server.is_available(now))
    }

    /// Returns the state of a server for log records: `ready`, `draining`, `kept` for a removed server
    /// that is still used, `held` for one that came back and is not used yet, `leaving` for one that said so in
    /// an answer, `removed` or `unknown`.
    pub fn state_name(&self, now: Instant, id: &str) -> &'static str {
        match self.servers.get(id) {
            None => "unknown",
            Some(server) if server.entry.draining => "draining",
            Some(server) if server.is_held && server.expires_at.is_none() => "held",
            Some(server) if server.is_going && server.expires_at.is_none() => "leaving",
            Some(server) if !server.is_available(now) => "removed",
            Some(server) if server.expires_at.is_some() => "kept",
            Some(_) => "ready",
        }
    }

    /// Returns the number of servers in a zone.
    pub fn count_in_zone(&self, zone: &str) -> usize {
        let in_zone = self.servers.values();
        in_zone.filter(|server| *server.entry.zone == *zone).count()
    }

    /// Returns the servers of a service that accept new requests and are not in an evacuated zone.
    pub fn usable(&self, now: Instant, service: &str) -> impl Iterator<Item = &Backend> {
        self.servers
            .values()
            .filter(move |server| *server.entry.service == *service && self.is_usable(now, server))
    }

    /// Returns the server's latest process if an entry was written before what is known of it.
    ///
    /// Such an entry changes nothing, though it comes later in the list.
    pub fn outdated_by(&self, now: Instant, entry: &BackendEntry) -> Option<KnownProcess> {
        self.order.outdated_by(now, entry)
    }

    /// Applies an entry of the server list unless it is outdated; to be called in the order of the list.
    ///
    /// Start times don't order entries: a wall clock may be set back between two starts of a server.
    pub fn apply_entry(&mut self, now: Instant, entry: BackendEntry) {
        if self.outdated_by(now, &entry).is_some() {
            return;
        }
        self.order.record(now, &entry);
        let known = self.servers.get(&entry.id);
        let is_listed = known.is_some_and(|server| server.expires_at.is_none());
        let is_expected = self.expects_servers;
        let is_held = self
            .returned
            .record_entry(now, &entry, is_listed, is_expected);
        let is_going = self.leaving.contains(&entry.id, entry.started_ms);
        let Some(server) = self.servers.get_mut(&entry.id) else {
            let mut server = Backend::new(now, entry);
            server.is_held = is_held;
            server.is_going = is_going;
            self.servers.insert(server.entry.id.clone(), server);
            return;
        };
        let restarted = entry.started_ms != server.entry.started_ms;
        if restarted {
            let own = server.own_requests;
            let load = server.load.after_restart();
            *server = Backend::new(now, entry);
            server.own_requests = own;
            server.load = load;
            server.is_held = is_held;
            server.is_going = is_going;
            return;
        }
        server.expires_at = None;
        server.is_held = is_held;
        let has_inventory = server
            .inventory_at
            .is_some_and(|at| now.saturating_duration_since(at) < INVENTORY_LIFETIME);
        if !has_inventory {
            server.inventory = entry.inventory.clone();
            server.loading = None;
            server.leaving = None;
        } else {
            server.inventory.in_memory = entry.inventory.in_memory.clone();
            server.inventory.on_disk = entry.inventory.on_disk.clone();
        }
        server.entry = entry;
    }

    /// Returns whether an entry differs from the known one in more than its number.
    pub fn is_changed(&self, entry: &BackendEntry) -> bool {
        self.servers
            .get(&entry.id)
            .is_none_or(|server| server.expires_at.is_some() || !server.entry.says_same(entry))
    }

    /// Marks a server as removed from the list.
    ///
    /// It is still used for the time `keep`, if given, as its entry may come back after an outage.
    pub fn mark_removed(&mut self, now: Instant, id: &str, keep: Option<Duration>) {
        self.order.record_removal(now, id);
        if let Some(server) = self.servers.get_mut(id) {
            self.returned
                .record_removal(now, &server.entry, keep.is_some());
            server.expires_at = Some(now + keep.unwrap_or_default());
        }
    }

    /// Sets whether servers may appear in the list that have run for some time, since it is read anew or the
    /// store was away.
    pub fn expect_servers(&mut self, is_expected: bool) {
        self.expects_servers = is_expected;
    }

    /// Records that the list was complete up to `at`; returns the servers that came back and are used from now on.
    pub fn confirm_list(&mut self, at: Instant) -> Vec<ServerId> {
        let released = self.returned.confirm(at);
        for id in &released {
            if let Some(server) = self.servers.get_mut(id) {
                server.is_held = false;
            }
        }
        released
    }

    /// Records that a server's process said that it leaves: to this instance, or to another one if `is_heard`.
    /// Returns whether that is the known process, and was unknown.
    pub fn record_leaving(
        &mut self,
        now: Instant,
        id: &str,
        started_ms: u64,
        is_heard: bool,
    ) -> bool {
        let Some(server) = self.servers.get_mut(id) else {
            return false;
        };
        // A late answer of a former process says nothing of its successor.
        if server.entry.started_ms != started_ms {
            return false;
        }
        server.is_going = true;
        self.leaving
            .record(now, &server.entry.id, started_ms, is_heard)
    }

    /// Returns the servers that said to this instance within `time` that they leave.
    pub fn recently_leaving(&self, now: Instant, time: Duration) -> Vec<LeavingServer> {
        self.leaving.recent(now, time)
    }

    /// Records that the store has come back from an outage.
    pub fn record_store_return(&mut self, now: Instant) {
        self.returned.record_return(now);
    }

    /// Drops removed servers without requests in flight, and outdated inventories.
    pub fn expire(&mut self, now: Instant) {
        self.order.expire(now);
        self.returned.expire(now);
        self.servers.retain(|_, server| {
            server.own_requests > 0 || server.expires_at.is_none_or(|expiry| now < expiry)
        });
        let servers = &self.servers;
        self.leaving
            .expire(now, |server| servers.contains_key(server));
        let is_old = |at: Instant| now.saturating_duration_since(at) >= INVENTORY_LIFETIME;
        for server in self.servers.values_mut() {
            // Without a recent inventory the list entry applies.
            if server.inventory_at.is_some_and(is_old) {
                server.inventory_at = None;
                server.loading = None;
                server.leaving = None;
                server.inventory = server.entry.inventory.clone();
            }
        }
    }

    /// Returns the ids of all servers in the list.
    pub fn listed_ids(&self) -> Vec<ServerId> {
        let listed = self
            .servers
            .values()
            .filter(|server| server.expires_at.is_none());
        listed.map(|server| server.entry.id.clone()).collect()
    }

    /// Applies a server's inventory from the lease holder, unless a higher fencing token was seen.
    pub fn apply_inventory(&mut self, now: Instant, fence: Fence, inventory: &ServerInventory) {
        let Some(server) = self.servers.get_mut(inventory.server.as_str()) else {
            return;
        };
        if inventory.started_ms != server.entry.started_ms || fence < server.fence {
            return;
        }
        server.fence = fence;
        server.inventory_at = Some(now);
        server.inventory.orders = inventory.orders;
        server.inventory.models = inventory
            .models
            .iter()
            .map(|held| {
                let adapters = held.adapters.iter().map(|name| name.as_str().into());
                (held.model.as_str().into(), adapters.collect())
            })
            .collect();
        server.leaving = (!inventory.leaving.is_empty()).then(|| inventory.leaving.as_str().into());
        server.loading = (!inventory.loading.is_empty()).then(|| Loading {
            model: inventory.loading.as_str().into(),
            ends_at: now + Duration::from_millis(u64::from(inventory.remaining_ms)),
        });
    }

    /// Sets the requests that another instance has in flight, by server.
    pub fn set_peer_requests(&mut self, instance: &InstanceId, requests: &Map<&str, &ServerUse>) {
        for (id, server) in &mut self.servers {
            let usage = requests.get(&**id);
            server.load.set_peer_use(instance, usage.copied());
            match usage {
                Some(usage) => server
                    .peer_requests
                    .insert(instance.clone(), usage.requests),
                None => server.peer_requests.remove(instance),
            };
        }
    }

    /// Sets the servers that another instance observes to be slow.
    pub fn set_peer_slowness(&mut self, instance: &InstanceId, slow: &[SlowServer]) {
        for (id, server) in &mut self.servers {
            let report = slow.iter().find(|report| {
                *report.server == **id && report.started_ms == server.entry.started_ms
            });
            let factor = report.map(|report| f64::from(report.hundredths) / 100.0);
            server.load.slowness.set_peer(instance, factor);
        }
    }

    /// Removes the requests in flight of an instance that timed out.
    pub fn remove_instance(&mut self, instance: &str) {
        for server in self.servers.values_mut() {
            server.peer_requests.remove(instance);
            server.load.remove_instance(instance);
        }
    }

    /// Counts a request that is sent to a server; `tokens` are its uncached prompt tokens.
    pub fn begin_request(&mut self, now: Instant, id: &str, tokens: f64) {
        if let Some(server) = self.servers.get_mut(id) {
            server.own_requests += 1;
            server.recent_tokens = server.recent_tokens(now) + tokens;
            server.recent_tokens_at = now;
        }
    }

    /// Counts the end of a request on a server.
    pub fn end_request(&mut self, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.own_requests = server.own_requests.saturating_sub(1);
        }
    }

    /// Updates a server's failure rate with the outcome of a request.
    pub fn record_outcome(&mut self, now: Instant, id: &str, failed: bool) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        let outcome = if failed { 1.0 } else { 0.0 };
        let previous = server.failure_rate(now);
        server.failure_rate = previous + (outcome - previous) * FAILURE_WEIGHT;
        server.failure_rate_at = now;
    }

    /// Records that a server rejected a request for a model, usually because it doesn't hold it.
    pub fn record_rejection(&mut self, now: Instant, id: &str, requested: &RequestedModel) {
        if let Some(server) = self.servers.get_mut(id) {
            server.rejected = Some((requested.clone(), now));
        }
    }
}
