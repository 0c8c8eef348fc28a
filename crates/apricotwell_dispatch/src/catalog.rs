//! Routes, services and organisations in force.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use apricotwell_types::{KeyDigest, Map, OrgId, Tokens};

use crate::model::ModelName;

/// Name of a service, that is of a group of backend servers that run the same software.
pub type ServiceId = Arc<str>;

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Streams events and runs at most once.
    Stream,
    /// Streams events; may run again from the last event that the caller has.
    ResumableStream,
}

impl RouteKind {
    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Returns whether a request that may have run can be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// Route from a host and path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, for logs.
    pub name: Arc<str>,
    /// Host that selects the route, in lower case.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer, or a stream's first event, is on time.
    pub target: Duration,
    /// Longest pause between events that is on time.
    pub gap_target: Duration,
    /// Rank among routes; 0 goes first.
    pub priority: u8,
    /// Services with their weights; never empty.
    pub services: Vec<(ServiceId, u32)>,
    /// Backend servers to which one request may be sent.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub anonymous: bool,
}

/// Least time after which callers abandon a silent stream.
const LEAST_PATIENCE: Duration = Duration::from_secs(2);

impl Route {
    /// Returns the service for a request, drawn by weight; `draw` is any evenly spread number.
    pub fn service(&self, draw: u64) -> &ServiceId {
        let total: u64 = self
            .services
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        let mut rest = draw % total.max(1);
        for (service, weight) in &self.services {
            let Some(left) = rest.checked_sub(u64::from(*weight)) else {
                return service;
            };
            rest = left;
        }
        &self.services[0].0
    }

    /// Returns how long a caller waits for the next event, or for the whole of a plain answer.
    pub fn silence_timeout(&self) -> Duration {
        if !self.kind.is_stream() {
            return self.timeout;
        }
        LEAST_PATIENCE
            .max(self.target * 4)
            .max(self.gap_target * 8)
            .min(self.timeout)
    }
}

/// Model that a service can run.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// Name.
    pub name: ModelName,
    /// Memory of its weights, in MB.
    pub weights_mb: f64,
    /// Load from the weight store.
    pub store_load: Duration,
    /// Load from the server's own disk.
    pub disk_load: Duration,
    /// Load from the server's own memory.
    pub memory_load: Duration,
    /// Memory of one of its adapters, in MB.
    pub adapter_mb: f64,
    /// Adapters, named `a1` and so on.
    pub adapters: u32,
}

/// What the model engines of a service can hold and load.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests that run at once.
    pub slots: u32,
    /// Memory for weights and adapters, in MB.
    pub memory_mb: f64,
    /// Adapters held at once.
    pub adapter_slots: usize,
    /// Loads from the weight store a second, over all servers.
    pub loads_per_second: f64,
    /// Tokens that fit into its KV memory.
    pub kv_tokens: Tokens,
    /// Models by name.
    pub models: BTreeMap<ModelName, ModelSpec>,
}

impl EngineSpec {
    /// Returns a model's description.
    pub fn model(&self, name: &str) -> Option<&ModelSpec> {
        self.models.get(name)
    }
}

/// Service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: ServiceId,
    /// Model engine, if its servers are model engines.
    pub engine: Option<EngineSpec>,
    /// Connections that one of its servers takes.
    pub max_connections: u32,
}

/// Organisation.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Name.
    pub name: OrgId,
    /// Rank of its requests, in place of the route's.
    pub priority: Option<u8>,
    /// Tokens a second, 0 for no limit.
    pub rate: Tokens,
    /// Tokens at once.
    pub burst: Tokens,
    /// Tokens of a request that names none.
    pub default_tokens: Tokens,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Bytes of a head.
    pub header_bytes: usize,
    /// Bytes of a body.
    pub body_bytes: usize,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    /// Bounds on what callers may send.
    pub limits: ClientLimits,
    routes: Map<String, Map<String, Arc<Route>>>,
    services: Map<ServiceId, Service>,
    organisations: Map<OrgId, Arc<Organisation>>,
    keys: Map<KeyDigest, OrgId>,
    keyed: bool,
}

impl Catalog {
    /// Returns an empty catalog of a version.
    pub fn new(version: u64, limits: ClientLimits) -> Self {
        Self {
            version,
            limits,
            ..Self::default()
        }
    }

    /// Adds a route.
    pub fn add_route(&mut self, route: Route) {
        self.routes
            .entry(route.host.clone())
            .or_default()
            .insert(route.prefix.clone(), Arc::new(route));
    }

    /// Adds a service.
    pub fn add_service(&mut self, service: Service) {
        self.services.insert(service.name.clone(), service);
    }

    /// Adds an organisation with its keys. From then on routes that are not open need a key.
    pub fn add_organisation<K>(&mut self, organisation: Organisation, keys: K)
    where
        K: IntoIterator<Item = KeyDigest>,
    {
        let name = organisation.name.clone();
        self.keyed = true;
        self.keys
            .extend(keys.into_iter().map(|key| (key, name.clone())));
        self.organisations.insert(name, Arc::new(organisation));
    }

    /// Returns the route with the longest prefix of `path` on `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        path.rmatch_indices('/')
            .find_map(|(end, _)| routes.get(&path[..=end]))
    }

    /// Returns a service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns every service.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns the organisation that holds a key.
    pub fn organisation_of(&self, key: &KeyDigest) -> Option<&Arc<Organisation>> {
        self.organisations.get(self.keys.get(key)?)
    }

    /// Returns every organisation.
    pub fn organisations(&self) -> impl Iterator<Item = &Arc<Organisation>> {
        self.organisations.values()
    }

    /// Returns whether requests on routes that are not open need a key.
    pub fn needs_keys(&self) -> bool {
        self.keyed
    }
}
