//! Backend servers as one instance sees them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use apricotwell_messages::ServerStock;
use apricotwell_types::{Fence, InstanceId, Map, ServerId, ZoneId};

use crate::catalog::ServiceId;
use crate::model::{Inventory, ModelName, RequestedModel};

/// Share of a new outcome in a server's failure rate.
const FAILURE_WEIGHT: f64 = 0.25;
/// Time in which an unused failure rate halves, so that a server gets another try.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);
/// Time over which the tokens sent to a server fade from its load.
const RECENT: Duration = Duration::from_millis(600);
/// Age beyond which the lease holder's word on what servers hold is not used.
const STOCK_LIFETIME: Duration = Duration::from_secs(3);
/// Time for which a model that a server denied is not sent to it.
const DENIAL_LIFETIME: Duration = Duration::from_millis(150);

/// Entry of the platform's list of servers.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendEntry {
    /// Server.
    pub id: ServerId,
    /// Service.
    pub service: ServiceId,
    /// Address for requests and orders.
    pub address: SocketAddr,
    /// Zone.
    pub zone: ZoneId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Time until it is gone, if it was given notice.
    pub remaining: Option<Duration>,
    /// Start of its process, in milliseconds since the epoch.
    pub started_ms: u64,
    /// What it holds.
    pub inventory: Inventory,
}

/// Load that is under way on a server.
#[derive(Clone, Debug, PartialEq)]
pub struct Loading {
    /// Model.
    pub model: ModelName,
    /// When it should end.
    pub ends_at: Instant,
}

/// Server with what this instance knows of it.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Newest entry.
    pub entry: BackendEntry,
    /// What it holds, from the newer of the entry and the lease holder's word.
    pub inventory: Inventory,
    /// Load under way.
    pub loading: Option<Loading>,
    /// Requests of this instance in flight.
    pub own_requests: u32,
    others: Map<InstanceId, u32>,
    // Tokens that this instance sent here lately, fading with `RECENT`.
    recent: f64,
    recent_at: Instant,
    // When the lease holder last told of this server.
    told: Option<Instant>,
    // Fence of that holder.
    fence: Fence,
    denied: Option<(RequestedModel, Instant)>,
    failure: f64,
    failed: Instant,
    /// Until when a removed entry is still used.
    ends: Option<Instant>,
}

impl Backend {
    fn new(now: Instant, entry: BackendEntry) -> Self {
        Self {
            inventory: entry.inventory.clone(),
            entry,
            loading: None,
            own_requests: 0,
            others: Map::default(),
            recent: 0.0,
            recent_at: now,
            told: None,
            fence: 0,
            denied: None,
            failure: 0.0,
            failed: now,
            ends: None,
        }
    }

    /// Returns whether new work may be sent.
    pub fn is_usable(&self, now: Instant) -> bool {
        !self.entry.draining && self.ends.is_none_or(|ends| now < ends)
    }

    /// Returns the requests in flight from all instances.
    pub fn in_flight(&self) -> u32 {
        self.own_requests + self.others.values().sum::<u32>()
    }

    /// Returns the tokens of prompts that this instance sent lately, fading with time.
    pub fn recent_tokens(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.recent_at).as_secs_f64();
        self.recent * (-age / RECENT.as_secs_f64()).exp()
    }

    /// Returns the share of recent requests that failed.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.failed).as_secs_f64();
        self.failure * 0.5f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64())
    }

    /// Returns whether the server can run a request for `wanted` now.
    pub fn serves(&self, now: Instant, wanted: Option<&RequestedModel>) -> bool {
        let Some(wanted) = wanted else {
            return true;
        };
        let denied = self.denied.as_ref().is_some_and(|(denied, at)| {
            denied == wanted && now.saturating_duration_since(*at) < DENIAL_LIFETIME
        });
        !denied && self.inventory.serves(wanted)
    }
}

/// All servers.
#[derive(Debug, Default)]
pub struct BackendTable {
    servers: Map<ServerId, Backend>,
}

impl BackendTable {
    /// Returns a server.
    pub fn get(&self, id: &str) -> Option<&Backend> {
        self.servers.get(id)
    }

    /// Returns all servers.
    pub fn iter(&self) -> impl Iterator<Item = &Backend> {
        self.servers.values()
    }

    /// Returns the servers of a service that take new work.
    pub fn usable(&self, now: Instant, service: &str) -> impl Iterator<Item = &Backend> {
        self.servers
            .values()
            .filter(move |server| *server.entry.service == *service && server.is_usable(now))
    }

    /// Applies an entry of the list.
    pub fn apply_entry(&mut self, now: Instant, entry: BackendEntry) {
        let Some(server) = self.servers.get_mut(&entry.id) else {
            self.servers
                .insert(entry.id.clone(), Backend::new(now, entry));
            return;
        };
        if entry.started_ms < server.entry.started_ms {
            return;
        }
        let restarted = entry.started_ms > server.entry.started_ms;
        if restarted {
            let own = server.own_requests;
            *server = Backend::new(now, entry);
            server.own_requests = own;
            return;
        }
        server.ends = None;
        let told = server
            .told
            .is_some_and(|told| now.saturating_duration_since(told) < STOCK_LIFETIME);
        if !told {
            server.inventory = entry.inventory.clone();
            server.loading = None;
        } else {
            server.inventory.in_memory = entry.inventory.in_memory.clone();
            server.inventory.on_disk = entry.inventory.on_disk.clone();
        }
        server.entry = entry;
    }

    /// Returns whether an entry says something new.
    pub fn is_changed(&self, entry: &BackendEntry) -> bool {
        self.servers
            .get(&entry.id)
            .is_none_or(|server| server.ends.is_some() || server.entry != *entry)
    }

    /// Notes that a server left the list; `keep` bounds how long it is still used.
    pub fn mark_removed(&mut self, now: Instant, id: &str, keep: Option<Duration>) {
        if let Some(server) = self.servers.get_mut(id) {
            server.ends = Some(now + keep.unwrap_or_default());
        }
    }

    /// Forgets servers that left and have nothing in flight.
    pub fn expire(&mut self, now: Instant) {
        self.servers.retain(|_, server| {
            server.own_requests > 0 || server.ends.is_none_or(|ends| now < ends)
        });
        let is_old = |told: Instant| now.saturating_duration_since(told) >= STOCK_LIFETIME;
        for server in self.servers.values_mut() {
            // Without the lease holder's word the list's counts.
            if server.told.is_some_and(is_old) {
                server.told = None;
                server.loading = None;
                server.inventory = server.entry.inventory.clone();
            }
        }
    }

    /// Returns the ids of all servers in the list.
    pub fn listed_ids(&self) -> Vec<ServerId> {
        let listed = self.servers.values().filter(|server| server.ends.is_none());
        listed.map(|server| server.entry.id.clone()).collect()
    }

    /// Applies the lease holder's word on what a server holds.
    pub fn apply_inventory(&mut self, now: Instant, fence: Fence, stock: &ServerStock) {
        let Some(server) = self.servers.get_mut(stock.server.as_str()) else {
            return;
        };
        if stock.born != server.entry.started_ms || fence < server.fence {
            return;
        }
        server.fence = fence;
        server.told = Some(now);
        server.inventory.orders = stock.orders;
        server.inventory.models = stock
            .models
            .iter()
            .map(|held| {
                let adapters = held.adapters.iter().map(|name| name.as_str().into());
                (held.model.as_str().into(), adapters.collect())
            })
            .collect();
        server.loading = (!stock.loading.is_empty()).then(|| Loading {
            model: stock.loading.as_str().into(),
            ends_at: now + Duration::from_millis(u64::from(stock.remaining)),
        });
    }

    /// Applies what another instance has in flight.
    pub fn set_peer_requests(&mut self, instance: &InstanceId, requests: &Map<&str, u32>) {
        for (id, server) in &mut self.servers {
            match requests.get(&**id) {
                Some(count) => server.others.insert(instance.clone(), *count),
                None => server.others.remove(instance),
            };
        }
    }

    /// Forgets what an instance that is gone had in flight.
    pub fn remove_instance(&mut self, instance: &str) {
        for server in self.servers.values_mut() {
            server.others.remove(instance);
        }
    }

    /// Notes a request given to a server, with the tokens of its prompt that have to be read.
    pub fn begin_request(&mut self, now: Instant, id: &str, tokens: f64) {
        if let Some(server) = self.servers.get_mut(id) {
            server.own_requests += 1;
            server.recent = server.recent_tokens(now) + tokens;
            server.recent_at = now;
        }
    }

    /// Notes the end of a request on a server.
    pub fn end_request(&mut self, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.own_requests = server.own_requests.saturating_sub(1);
        }
    }

    /// Notes whether a server answered as it should.
    pub fn record_outcome(&mut self, now: Instant, id: &str, failed: bool) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        let outcome = if failed { 1.0 } else { 0.0 };
        let before = server.failure_rate(now);
        server.failure = before + (outcome - before) * FAILURE_WEIGHT;
        server.failed = now;
    }

    /// Notes that a server denied to hold what was wanted.
    pub fn record_rejection(&mut self, now: Instant, id: &str, wanted: &RequestedModel) {
        if let Some(server) = self.servers.get_mut(id) {
            server.denied = Some((wanted.clone(), now));
        }
    }
}
