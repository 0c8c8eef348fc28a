//! One version of the configuration: routes, services and organisations.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use apricotwell_types::{KeyDigest, Map, OrgId, Tokens};

use crate::model::ModelName;

/// Name of a service: a group of backend servers that run the same software.
pub type ServiceId = Arc<str>;

/// Retry and streaming semantics of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run any number of times.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// The response is a stream of events; a request runs at most once.
    Stream,
    /// The response is a stream of events; a request may run again from the last event that the
    /// client received.
    ResumableStream,
}

impl RouteKind {
    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Returns whether a request that may have run can be retried.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// A route from a host and path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, for logs.
    pub name: Arc<str>,
    /// Host that selects the route, in lower case.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Retry and streaming semantics.
    pub kind: RouteKind,
    /// Longest time that a request may take.
    pub timeout: Duration,
    /// Target latency of a response, or of a stream's first event.
    pub target: Duration,
    /// Target for the longest pause between two events of a stream.
    pub gap_target: Duration,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Services with their traffic weights; never empty.
    pub services: Vec<(ServiceId, u32)>,
    /// Maximum number of backend servers that one request is sent to.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub anonymous: bool,
}

/// Shortest time without events after which a client abandons a stream.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Routes by host and prefix.
pub(crate) type RouteTable = Map<String, Map<String, Arc<Route>>>;

/// Returns the route on `host` with the longest prefix that matches `path`.
pub(crate) fn find_route<'a>(
    routes: &'a RouteTable,
    host: &str,
    path: &str,
) -> Option<&'a Arc<Route>> {
    let routes = routes.get(host)?;
    path.rmatch_indices('/')
        .find_map(|(end, _)| routes.get(&path[..=end]))
}

/// Returns the longest timeout of the routes with streams, zero without any.
pub(crate) fn longest_stream(routes: &RouteTable) -> Duration {
    let routes = routes.values().flat_map(Map::values);
    let streams = routes.filter(|route| route.kind.is_stream());
    let longest = streams.map(|route| route.timeout).max();
    longest.unwrap_or_default()
}

impl Route {
    /// Returns the service for a request, selected by weight; `draw` must be uniformly distributed.
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

    /// Returns how long a client waits for the next event of a stream, or for a whole response.
    pub fn silence_timeout(&self) -> Duration {
        if !self.kind.is_stream() {
            return self.timeout;
        }
        MIN_SILENCE_TIMEOUT
            .max(self.target * 4)
            .max(self.gap_target * 8)
            .min(self.timeout)
    }
}

/// A model that a service can run.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// Name.
    pub name: ModelName,
    /// Size of its weights, in MB.
    pub weights_mb: f64,
    /// Time of a load from the weight store.
    pub store_load: Duration,
    /// Time of a load from the server's disk.
    pub disk_load: Duration,
    /// Time of a load from the server's memory.
    pub memory_load: Duration,
    /// Size of one of its adapters, in MB.
    pub adapter_mb: f64,
    /// Number of adapters, named `a1` and so on.
    pub adapters: u32,
}

/// Capacity of the model engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests that run concurrently.
    pub slots: u32,
    /// Memory for weights and adapters of one server, in MB.
    pub memory_mb: f64,
    /// Maximum number of adapters that a server holds.
    pub adapter_slots: usize,
    /// Loads from the weight store per second, over all servers.
    pub loads_per_second: f64,
    /// Capacity of the KV cache, in tokens.
    pub kv_tokens: Tokens,
    /// Models by name.
    pub models: BTreeMap<ModelName, ModelSpec>,
}

/// Number of the largest models that a server with ample room holds.
const AMPLE_MODELS: f64 = 3.0;

impl EngineSpec {
    /// Returns whether a server has room for only one or two of the largest models. Most requests
    /// for a rarely used model then wait for a load.
    pub fn is_short_of_room(&self) -> bool {
        let sizes = self.models.values().map(|model| model.weights_mb);
        self.memory_mb < AMPLE_MODELS * sizes.fold(0.0, f64::max)
    }

    /// Returns the specification of a model.
    pub fn model(&self, name: &str) -> Option<&ModelSpec> {
        self.models.get(name)
    }
}

/// Warm-up of a service's servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Warmup {
    /// Time for which a server is cold after it starts.
    pub duration: Duration,
    /// Requests per second that a cold server can handle.
    pub per_second: f64,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: ServiceId,
    /// Capacity of its servers if they are model engines.
    pub engine: Option<EngineSpec>,
    /// Maximum number of connections that one of its servers accepts.
    pub max_connections: u32,
    /// Warm-up of its servers; `None` if they can handle all requests from the start.
    pub warmup: Option<Warmup>,
}

/// An organisation and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Name.
    pub name: OrgId,
    /// Priority of its requests, which overrides the route's.
    pub priority: Option<u8>,
    /// Tokens per second; 0 for no limit.
    pub rate: Tokens,
    /// Burst size, in tokens.
    pub burst: Tokens,
    /// Tokens charged for a request that doesn't state its size.
    pub default_tokens: Tokens,
}

/// Limits on client connections and requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
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

/// One version of the configuration, indexed for lookups.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Version number; a higher one replaces a lower one.
    pub version: u64,
    /// Limits on client connections and requests.
    pub limits: ClientLimits,
    // By host and path prefix.
    routes: RouteTable,
    services: Map<ServiceId, Service>,
    organisations: Map<OrgId, Arc<Organisation>>,
    keys: Map<KeyDigest, OrgId>,
    needs_keys: bool,
}

impl Catalog {
    /// Returns an empty catalog.
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

    /// Adds an organisation with its API keys.
    ///
    /// From then on, routes that are not anonymous need a key.
    pub fn add_organisation<K>(&mut self, organisation: Organisation, keys: K)
    where
        K: IntoIterator<Item = KeyDigest>,
    {
        let name = organisation.name.clone();
        self.needs_keys = true;
        self.keys
            .extend(keys.into_iter().map(|key| (key, name.clone())));
        self.organisations.insert(name, Arc::new(organisation));
    }

    /// Returns the route on `host` with the longest prefix that matches `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        find_route(&self.routes, host, path)
    }

    /// Returns all routes.
    pub(crate) fn routes(&self) -> &RouteTable {
        &self.routes
    }

    /// Returns the service with a name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns the organisation that an API key belongs to.
    pub fn organisation_of(&self, key: &KeyDigest) -> Option<&Arc<Organisation>> {
        self.organisations.get(self.keys.get(key)?)
    }

    /// Returns the organisation with a name.
    pub fn organisation(&self, name: &str) -> Option<&Arc<Organisation>> {
        self.organisations.get(name)
    }

    /// Returns all organisations.
    pub fn organisations(&self) -> impl Iterator<Item = &Arc<Organisation>> {
        self.organisations.values()
    }

    /// Returns whether requests on routes that are not anonymous need a key.
    pub fn needs_keys(&self) -> bool {
        self.needs_keys
    }
}
