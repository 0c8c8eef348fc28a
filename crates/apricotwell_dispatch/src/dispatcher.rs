//! Admission and routing of requests, over the combined state of one instance.

mod crashes;
mod detours;
mod evacuation;
pub mod explain;
mod load;
mod messaging;
mod permits;
mod selection;
mod waiting;
mod warmup;

use std::hash::{BuildHasher, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use apricotwell_messages::{FleetSpending, FleetState};
use apricotwell_permits::prelude::LimitedServers;
use apricotwell_quarantine::prelude::SharedQuarantine;
use apricotwell_types::{InstanceId, Map, Refusal, RefusalKind, ServerId, Tokens, ZoneId};

use crate::backends::{Backend, BackendTable};
use crate::catalog::{Catalog, EngineSpec, Organisation, Route, Service, ServiceId};
use crate::demand::DemandTable;
use crate::engine_speed::EngineSpeeds;
use crate::feeds::{Feed, FeedSource, FeedViews};
use crate::former_routes::FormerRoutes;
use crate::freshness::{ChangeBounds, Freshness};
use crate::lease::{Lease, LeaseConfig};
use crate::load_notices::LoadNotices;
use crate::model::RequestedModel;
use crate::peers::PeerTable;
use crate::placement::{Order, PlacementPlanner};
use crate::prompt_cache::PromptCacheTable;
use crate::prompt_lanes::PromptLanes;
use crate::quota::{QuotaBounds, QuotaTable};
use crate::reach::ReachTable;
use crate::request::{RequestHead, TokenUsage};
use crate::retries::{RetryBounds, RetryBudget, RetryUsage};
use crate::run_times::RunTimes;
use crate::saved_streams::SavedStreams;
use crate::software::{SoftwareTable, SoftwareVersion};
use crate::stream_memory::StreamMemory;
use crate::waiting::WaitTable;

pub use self::waiting::Turn;
use crate::warmup::{WarmupBounds, WarmupTable};

/// Retry delay sent to clients if it can't be estimated when a server becomes available.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Number of distinct quota phases; each instance gets one by the hash of its id.
const QUOTA_PHASES: u64 = 1024;

/// Static configuration of an instance.
#[derive(Clone, Debug)]
pub struct InstanceConfig {
    /// Id: the address that other instances send heartbeats to.
    pub id: InstanceId,
    /// Incarnation of the process; increases with each start unless the clock is set back.
    pub incarnation: u64,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address that clients connect to.
    pub address: String,
    /// Whether the fleet is being started for the first time, so that no quota was spent before.
    pub first_start: bool,
    /// Time within which a revoked key must stop working.
    pub revocation_bound: Duration,
    /// Times within which changes of the feeds must be in force.
    pub change_bounds: ChangeBounds,
    /// Interval at which servers renew their list entries.
    pub server_heartbeat: Duration,
    /// Permitted excess over the quotas.
    pub quota: QuotaBounds,
    /// Permitted number of retries.
    pub retries: RetryBounds,
    /// Permitted excess over the rate of cold servers.
    pub warmup: WarmupBounds,
    /// Configuration of the placement lease.
    pub lease: LeaseConfig,
    /// Whether requests and models are scheduled by the measured load of the servers from the start;
    /// see [`Dispatcher::is_load_aware`] and `docs/design/hard-load.md`.
    pub load_aware: bool,
}

/// An admitted request.
#[derive(Clone, Debug)]
pub struct Admission {
    /// Route that the request matched.
    pub route: Arc<Route>,
    /// Service that runs the request.
    pub service: ServiceId,
    /// Version of the configuration that the route is from.
    pub version: u64,
    /// Age of that configuration at the admission; `None` if it was never confirmed.
    pub config_age: Option<Duration>,
    /// Organisation that the request's key belongs to; `None` if the route needs no key.
    pub organisation: Option<Arc<Organisation>>,
    /// Tokens charged to the organisation's quota.
    pub tokens: Tokens,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Arrival time.
    pub arrived: Instant,
    /// When the request times out, by the client's timeout or the route's.
    pub deadline: Instant,
    /// When the client times out unless it has received part of the response by then.
    pub silence_deadline: Instant,
    /// Model that the request asks for.
    pub requested_model: Option<RequestedModel>,
    /// Only software version at which the request's stream may go on; `None` before one began it.
    pub bound: Option<SoftwareVersion>,
}

impl Admission {
    /// Returns whether a server runs the software version that the request is bound to, if any. An
    /// unknown version equals none.
    pub fn may_run_at(&self, server: &Backend) -> bool {
        let Some(bound) = &self.bound else {
            return true;
        };
        server.entry.software.as_ref() == Some(bound)
    }
}

/// What to do with an admitted request next.
#[derive(Clone, Debug, PartialEq)]
pub enum RoutingDecision {
    /// Send it to a server.
    Send(ServerId, SocketAddr),
    /// Keep it queued and decide again when the state changes.
    Wait,
    /// Keep it queued until there is a permit for this server, and decide again then.
    AwaitPermit(ServerId),
    /// Refuse it.
    Refuse(Refusal),
}

/// State and decisions of one instance.
#[derive(Debug)]
pub struct Dispatcher {
    /// Static configuration.
    pub config: InstanceConfig,
    /// Current routes, services and organisations; `None` before the first were received.
    pub catalog: Option<Arc<Catalog>>,
    /// Age of the catalog.
    pub freshness: Freshness,
    /// Positions in the store's feeds and the recent changes served to other instances.
    pub feeds: FeedViews,
    /// Backend servers.
    pub backends: BackendTable,
    /// Crashes of servers, and the parts of requests that cause them.
    pub crashes: SharedQuarantine,
    /// Servers that accept no connections from this instance.
    pub reach: ReachTable,
    /// Limits that servers named, and permits to send within them.
    pub limited: LimitedServers,
    /// Starts of servers and ended evacuations, after which servers are cold.
    pub warmups: WarmupTable,
    /// Other instances.
    pub peers: PeerTable,
    /// Demand for models at this instance.
    pub demand: DemandTable,
    /// Lease that permits this instance to send orders to servers.
    pub lease: Lease,
    /// Planner of which models the servers hold.
    pub planner: PlacementPlanner,
    /// Notices to the instances whose requests wait for a model.
    pub load_notices: LoadNotices,
    /// Software versions that the store's record names.
    pub software: SoftwareTable,
    /// Usual run times of requests.
    pub run_times: RunTimes,
    /// Routes of earlier configurations.
    pub former_routes: FormerRoutes,
    /// Versions of the streams that this instance began.
    pub streams: StreamMemory,
    /// Streams that all instances saved in the store's log.
    pub saved_streams: SavedStreams,
    /// Prompt segments that servers have likely cached.
    pub prompts: PromptCacheTable,
    lanes: PromptLanes,
    /// Requests that wait at this instance, if it schedules them by load.
    pub waits: WaitTable,
    speeds: EngineSpeeds,
    quotas: QuotaTable,
    retries: Map<ServiceId, RetryBudget>,
    load_aware: bool,
    expects_waits: bool,
    draining: bool,
    heartbeats: u64,
    // When the first heartbeat was sent, from which on others know this instance.
    started: Option<Instant>,
}

impl Dispatcher {
    /// Returns a dispatcher without a catalog, servers or peers.
    pub fn new(config: InstanceConfig) -> Self {
        Self {
            catalog: None,
            freshness: Freshness::new(config.revocation_bound),
            feeds: FeedViews::new(config.change_bounds),
            backends: BackendTable::new(config.server_heartbeat),
            crashes: SharedQuarantine::default(),
            reach: ReachTable::default(),
            limited: LimitedServers::new(config.incarnation),
            warmups: WarmupTable::new(config.incarnation),
            peers: PeerTable::default(),
            demand: DemandTable::new(config.load_aware),
            lease: Lease::new(config.lease),
            planner: PlacementPlanner::new(config.load_aware),
            load_notices: LoadNotices::default(),
            software: SoftwareTable::default(),
            run_times: RunTimes::default(),
            former_routes: FormerRoutes::default(),
            streams: StreamMemory::default(),
            saved_streams: SavedStreams::default(),
            prompts: PromptCacheTable::default(),
            lanes: PromptLanes::default(),
            waits: WaitTable::default(),
            speeds: EngineSpeeds::default(),
            quotas: QuotaTable::new(config.quota, config.first_start)
                .with_incarnation(config.incarnation)
                .with_phase((hash(&[&config.id]) % QUOTA_PHASES) as f64 / QUOTA_PHASES as f64),
            retries: Map::default(),
            load_aware: config.load_aware,
            expects_waits: config.load_aware,
            draining: false,
            heartbeats: 0,
            started: None,
            config,
        }
    }

    /// Replaces the catalog if the new one has a higher version; returns whether it did.
    pub fn apply_catalog(&mut self, catalog: Catalog) -> bool {
        let current = self.catalog.as_ref().map(|current| current.version);
        let newer = current.is_none_or(|current| catalog.version > current);
        if newer {
            let is_short_of_room = |service: &Service| {
                let engine = service.engine.as_ref();
                engine.is_some_and(EngineSpec::is_short_of_room)
            };
            self.expects_waits = self.config.load_aware || catalog.services().any(is_short_of_room);
            self.catalog = Some(Arc::new(catalog));
        }
        newer
    }

    /// Returns whether requests and models are scheduled by the measured load of the servers: as
    /// [`InstanceConfig::load_aware`] states, or as set since with [`Self::set_load_aware`].
    pub fn is_load_aware(&self) -> bool {
        self.load_aware
    }

    /// Returns whether requests often wait for a load or a full server: where
    /// [`InstanceConfig::load_aware`] is set, or where servers are short of room for models.
    ///
    /// Instances with waiting requests are then told at once which server can run them, and an attempt
    /// goes on while it can't be retried anywhere.
    pub fn expects_waits(&self) -> bool {
        self.expects_waits
    }

    /// Sets whether requests and models are scheduled by the measured load of the servers, for this
    /// instance's own decisions; [`Self::expects_waits`] stays as it is.
    pub fn set_load_aware(&mut self, load_aware: bool) {
        self.load_aware = load_aware;
        self.planner.set_load_aware(load_aware);
        self.demand.set_counts_runs(load_aware);
    }

    /// Starts draining: clients are no longer directed to this instance.
    pub fn start_draining(&mut self) {
        self.draining = true;
    }

    /// Returns whether the instance is draining.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Returns whether clients should connect to this instance.
    pub fn is_ready(&self, now: Instant) -> bool {
        !self.draining && self.can_serve(now)
    }

    // Returns whether this instance has what it needs to serve requests, also while it is draining.
    fn can_serve(&self, now: Instant) -> bool {
        let is_overdue = self.feeds.is_overdue(now, Feed::Configuration);
        self.catalog.is_some() && self.freshness.is_ready(now) && !is_overdue
    }

    /// Returns where to read the store's feeds from: the store itself or the zone's reader.
    ///
    /// That is the ready instance with the lowest id. While the store answers none of them, none is
    /// ready, and the first one that is reachable tries for all.
    pub fn feed_source(&self, now: Instant) -> FeedSource {
        let zone = &self.config.zone;
        let reader = self.peers.first_ready(now, zone);
        if let Some(reader) = reader {
            return if reader < self.config.id || !self.is_ready(now) {
                FeedSource::Peer(reader)
            } else {
                FeedSource::Store
            };
        }
        let is_ready = self.is_ready(now);
        match self.zone_peers(now).into_iter().next() {
            Some(first) if first < self.config.id && !is_ready => FeedSource::Peer(first),
            _ => FeedSource::Store,
        }
    }

    /// Returns the instances that may know a feed while the store does not answer this one: the ready ones of
    /// its zone, or else of all zones.
    pub fn feed_helpers(&self, now: Instant) -> Vec<InstanceId> {
        let zone = &self.config.zone;
        let near = self.peers.ready_where(now, |other| other == zone);
        if near.is_empty() {
            self.peers.ready_where(now, |_| true)
        } else {
            near
        }
    }

    /// Returns the addresses that clients should connect to, sorted.
    pub fn client_addresses(&self, now: Instant) -> Vec<String> {
        let (reaching, cut): (Vec<_>, Vec<_>) = self
            .peers
            .ready_addresses(now)
            .partition(|peer| peer.reaches_all);
        let is_cut = !self.unreachable_services(now).is_empty();
        let mut addresses: Vec<String> = reaching
            .iter()
            .map(|peer| peer.address.to_owned())
            .collect();
        // An instance that reaches no server of some service is named only if all are like it.
        let names_cut = addresses.is_empty();
        if names_cut {
            addresses.extend(cut.iter().map(|peer| peer.address.to_owned()));
        }
        let is_named = self.is_ready(now) && (!is_cut || names_cut);
        if is_named || (addresses.is_empty() && !self.draining) {
            addresses.push(self.config.address.clone());
        }
        addresses.sort();
        addresses
    }

    /// Admits or refuses a request and charges its tokens.
    ///
    /// # Errors
    ///
    /// Returns the refusal to send to the client; the request has not run.
    pub fn admit(&mut self, now: Instant, request: &RequestHead) -> Result<Admission, Refusal> {
        let admission = self.admit_forwarded(now, request)?;
        self.retry_budget(&admission.service).record_request(now);
        Ok(admission)
    }

    /// Admits or refuses a request that another instance passes on, as [`Self::admit`] does; that
    /// instance counts it for the retry budget.
    ///
    /// # Errors
    ///
    /// As [`Self::admit`].
    pub fn admit_forwarded(
        &mut self,
        now: Instant,
        request: &RequestHead,
    ) -> Result<Admission, Refusal> {
        let mut admission = self.match_request(now, request)?;
        admission.tokens = charged_tokens(request, admission.organisation.as_deref());
        if let Some(organisation) = admission.organisation.clone() {
            self.spend(now, &organisation, admission.tokens)?;
        }
        if let Some(requested) = &admission.requested_model {
            self.demand
                .record_request(now, &admission.service, requested);
        }
        Ok(admission)
    }

    // Finds the route, the organisation and the service of a request without charging its tokens.
    fn match_request(&self, now: Instant, request: &RequestHead) -> Result<Admission, Refusal> {
        let Some(catalog) = self.catalog.clone() else {
            return Err(unavailable(
                "no configuration received yet; try another instance",
            ));
        };
        if self.feeds.is_overdue(now, Feed::Configuration) {
            return Err(unavailable(
                "the configuration may have been replaced; try another instance",
            ));
        }
        let current = self.freshness.is_current(now);
        let Some(route) = catalog.route(&request.host, &request.path) else {
            return Err(if current {
                Refusal::not_run(
                    RefusalKind::RouteNotFound,
                    "no route matches this host and path",
                )
            } else {
                unavailable("the configuration may be out of date; try another instance")
            });
        };
        let organisation = self.authenticate(now, &catalog, route, request)?;
        let service = route.service(service_draw(&request.attempt)).clone();
        let timeout = request.timeout.unwrap_or(route.timeout).min(route.timeout);
        Ok(Admission {
            priority: organisation
                .as_ref()
                .and_then(|organisation| organisation.priority)
                .unwrap_or(route.priority),
            route: route.clone(),
            version: catalog.version,
            config_age: self.freshness.age(now),
            organisation,
            tokens: 0,
            arrived: now,
            deadline: now + timeout,
            silence_deadline: now + timeout.min(route.silence_timeout()),
            requested_model: catalog
                .service(&service)
                .is_some_and(|service| service.engine.is_some())
                .then(|| request.requested_model.clone())
                .flatten(),
            bound: None,
            service,
        })
    }

    /// Binds a request whose stream is resumed to the service and the software version that began it.
    pub fn bind(
        &self,
        admission: &mut Admission,
        request: &RequestHead,
        service: ServiceId,
        version: SoftwareVersion,
    ) {
        let catalog = self.catalog.as_ref();
        let service_spec = catalog.and_then(|catalog| catalog.service(&service));
        let has_engine = service_spec.is_some_and(|service| service.engine.is_some());
        let requested = request.requested_model.clone();
        admission.requested_model = requested.filter(|_| has_engine);
        admission.service = service;
        admission.bound = Some(version);
    }

    fn authenticate(
        &self,
        now: Instant,
        catalog: &Catalog,
        route: &Route,
        request: &RequestHead,
    ) -> Result<Option<Arc<Organisation>>, Refusal> {
        if route.anonymous || !catalog.needs_keys() {
            return Ok(None);
        }
        if !self.freshness.is_usable(now) {
            return Err(unavailable(
                "revoked API keys can't be distinguished from valid ones without the store; try another instance",
            ));
        }
        let organisation = request.key.and_then(|key| catalog.organisation_of(&key));
        if let Some(organisation) = organisation {
            return Ok(Some(organisation.clone()));
        }
        Err(if self.freshness.is_current(now) {
            Refusal::not_run(
                RefusalKind::InvalidApiKey,
                "the API key is unknown or revoked; ask your operator for a new one",
            )
        } else {
            unavailable("the configuration may be out of date; try another instance")
        })
    }

    fn spend(
        &mut self,
        now: Instant,
        organisation: &Organisation,
        tokens: Tokens,
    ) -> Result<(), Refusal> {
        self.quotas.set_share(now, self.peers.reporting_fleet(now));
        self.quotas
            .spend(now, organisation, tokens)
            .map_err(|exceeded| {
                let text = format!(
                    "organisation {} requested {tokens} tokens but has {:.0} left of its quota \
                     (burst {}, {} tokens per second, of which a share of {:.2} is usable here); \
                     retry later",
                    organisation.name,
                    exceeded.level,
                    organisation.burst,
                    organisation.rate,
                    exceeded.share,
                );
                Refusal::not_run(RefusalKind::RateLimited, text)
                    .with_retry_after(exceeded.retry_after)
            })
    }

    /// Refunds the tokens of a request that no server ran.
    pub fn refund(&mut self, now: Instant, admission: &Admission) {
        if let Some(organisation) = &admission.organisation {
            self.quotas
                .refund(now, organisation, admission.arrived, admission.tokens);
        }
    }

    /// Returns the tokens that an organisation has spent at all instances in the last window, as far as this
    /// instance knows.
    pub fn fleet_spending(&self, organisation: &str) -> Tokens {
        self.quotas.fleet_tokens(organisation)
    }

    /// Returns whether the request's organisation is so close to its limit that other instances
    /// need its spending at once.
    pub fn is_near_limit(&mut self, now: Instant, admission: &Admission) -> bool {
        admission
            .organisation
            .as_ref()
            .is_some_and(|organisation| self.quotas.is_near_limit(now, organisation))
    }

    /// Returns what is to be saved in the store: the fleet's spending and the quarantined parts.
    pub fn fleet_state(&mut self, now: Instant) -> FleetState {
        FleetState {
            organisations: self.quotas.snapshot(now).organisations,
            blocked: self.crashes.blocked_parts(now),
        }
    }

    /// Restores what was saved in the store.
    pub fn restore_fleet_state(&mut self, now: Instant, state: FleetState) {
        let organisations = state.organisations;
        self.quotas.restore(now, &FleetSpending { organisations });
        self.crashes.adopt(now, &state.blocked);
    }

    /// Returns whether spending must be saved in the store.
    pub fn needs_save(&self) -> bool {
        self.quotas.needs_save()
    }

    /// Returns whether some organisation is close to its limit.
    pub fn is_any_near_limit(&self) -> bool {
        self.quotas.is_any_near_limit()
    }

    /// Takes one retry from the budget of the request's service; returns `false` if none is left.
    pub fn take_retry(&mut self, now: Instant, admission: &Admission) -> bool {
        let instances = self.retry_sharers(now);
        self.retry_budget(&admission.service)
            .try_take(now, instances)
    }

    /// Returns whether the budget of the request's service has a retry left.
    pub fn has_retry(&mut self, now: Instant, admission: &Admission) -> bool {
        let instances = self.retry_sharers(now);
        self.retry_budget(&admission.service)
            .has_retry(now, instances)
    }

    /// Returns how much of this instance's share of the retry budget of the request's service is used.
    pub fn retry_usage(&mut self, now: Instant, admission: &Admission) -> RetryUsage {
        let instances = self.retry_sharers(now);
        self.retry_budget(&admission.service).usage(now, instances)
    }

    // Returns the number of instances that share the slack of the retry budget; 0 if this instance has
    // none. One whose view is so old that clients are sent away may no longer be counted by the others.
    fn retry_sharers(&self, now: Instant) -> usize {
        if !self.freshness.is_ready(now) {
            return 0;
        }
        self.peers.sharing_count()
    }

    fn retry_budget(&mut self, service: &ServiceId) -> &mut RetryBudget {
        let (bounds, started) = (self.config.retries, self.started);
        self.retries
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(bounds).with_start(started))
    }

    /// Removes unreachable instances, servers that left the list and outdated inventories.
    pub fn expire(&mut self, now: Instant) {
        for instance in self.peers.expire(now) {
            self.backends.remove_instance(&instance);
            self.lanes.remove_instance(&instance);
        }
        self.backends.expire(now);
        self.reach.expire(now);
        self.expire_limits(now);
        let backends = &self.backends;
        let is_listed = |server: &str| backends.get(server).is_some();
        self.warmups.expire(now, is_listed);
        self.update_warmups(now);
        self.crashes.quarantine.expire(now);
    }

    /// Plans the model placement of every service; returns the orders to send and the servers to
    /// request a status report from.
    pub fn plan(&mut self, now: Instant) -> (Vec<Order>, Vec<ServerId>) {
        let Some(catalog) = self.catalog.clone() else {
            return Default::default();
        };
        let own = self.demand.model_uses(now);
        let mut orders = Vec::new();
        let engines = catalog
            .services()
            .filter(|service| service.engine.is_some());
        for service in engines {
            self.planner.sync_servers(now, &self.backends, service);
            let uses = own.iter().chain(self.peers.model_uses(now));
            orders.extend(self.planner.plan(now, service, &self.backends, uses));
        }
        (orders, self.planner.take_due_reports(now))
    }
}

fn charged_tokens(request: &RequestHead, organisation: Option<&Organisation>) -> Tokens {
    let default = organisation.map_or(0, |organisation| organisation.default_tokens);
    request.usage.map_or(default, TokenUsage::total)
}

fn unavailable(text: &str) -> Refusal {
    Refusal::not_run(RefusalKind::Unavailable, text).with_retry_after(DEFAULT_RETRY_AFTER)
}

fn overloaded(text: &str, retry_after: Duration) -> Refusal {
    Refusal::not_run(RefusalKind::Overloaded, text).with_retry_after(retry_after)
}

// Returns a uniformly distributed number that selects one of a route's weighted services.
fn service_draw(attempt: &str) -> u64 {
    hash(&[attempt])
}

fn hash(texts: &[&str]) -> u64 {
    let mut hash = Map::<u8, u8>::default().hasher().build_hasher();
    for text in texts {
        hash.write(text.as_bytes());
    }
    // The low bits of this fast hash are poorly mixed.
    hash.finish() >> 11
}
