//! The decisions about one request: whether it is taken, where it is sent and when it is refused.

mod messaging;
mod selection;

use std::hash::{BuildHasher, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use apricotwell_messages::FleetSpending;
use apricotwell_types::{InstanceId, Map, Refusal, RefusalKind, ServerId, Tokens, ZoneId};

use crate::backends::BackendTable;
use crate::catalog::{Catalog, Organisation, Route, ServiceId};
use crate::demand::DemandTable;
use crate::feeds::{FeedSource, FeedViews};
use crate::freshness::Freshness;
use crate::lease::{Lease, LeaseConfig};
use crate::model::RequestedModel;
use crate::peers::PeerTable;
use crate::placement::{Order, PlacementPlanner};
use crate::prompt_cache::PromptCacheTable;
use crate::quota::{QuotaBounds, QuotaTable};
use crate::request::RequestHead;
use crate::retries::{RetryBounds, RetryBudget};

/// Time for which callers are asked to stay away when no server is known.
const NO_SERVER_PAUSE: Duration = Duration::from_millis(500);

/// Places at which instances stand among each other.
const PHASES: u64 = 1024;

/// Fixed facts of an instance.
#[derive(Clone, Debug)]
pub struct InstanceConfig {
    /// Name.
    pub id: InstanceId,
    /// Start number of the process.
    pub incarnation: u64,
    /// Zone.
    pub zone: ZoneId,
    /// Address for callers.
    pub address: String,
    /// Whether the whole fleet starts for the first time.
    pub first_start: bool,
    /// Time within which a withdrawn key must stop working.
    pub revocation_bound: Duration,
    /// Excess over rates that the users allow.
    pub quota: QuotaBounds,
    /// Second attempts that the users allow.
    pub retries: RetryBounds,
    /// Times of the placement lease.
    pub lease: LeaseConfig,
}

/// Request that was taken.
#[derive(Clone, Debug)]
pub struct Admission {
    /// Route.
    pub route: Arc<Route>,
    /// Service that runs it.
    pub service: ServiceId,
    /// Organisation whose key came with it; none on open routes.
    pub organisation: Option<Arc<Organisation>>,
    /// Tokens that it was charged.
    pub tokens: Tokens,
    /// Rank, 0 first.
    pub priority: u8,
    /// When the request came.
    pub arrived: Instant,
    /// When the caller or the route gives it up.
    pub deadline: Instant,
    /// When the caller gives it up unless something of the answer has come.
    pub silence_deadline: Instant,
    /// Model wanted.
    pub requested_model: Option<RequestedModel>,
}

/// Where a request goes next.
#[derive(Clone, Debug, PartialEq)]
pub enum RoutingDecision {
    /// To a server.
    Send(ServerId, SocketAddr),
    /// Nowhere yet; look again when something changes.
    Wait,
    /// Nowhere at all.
    Refuse(Refusal),
}

/// Everything that one instance knows and decides.
#[derive(Debug)]
pub struct Dispatcher {
    /// Fixed facts.
    pub config: InstanceConfig,
    /// Configuration in force.
    pub catalog: Option<Arc<Catalog>>,
    /// Age of the view.
    pub freshness: Freshness,
    /// Views of the store's feeds.
    pub feeds: FeedViews,
    /// Backend servers.
    pub backends: BackendTable,
    /// Other instances.
    pub peers: PeerTable,
    /// Demand at this instance.
    pub demand: DemandTable,
    /// Placement lease.
    pub lease: Lease,
    /// Placement.
    pub planner: PlacementPlanner,
    /// Where prompts are cached.
    pub prompts: PromptCacheTable,
    quotas: QuotaTable,
    retries: Map<ServiceId, RetryBudget>,
    draining: bool,
    heartbeats: u64,
}

impl Dispatcher {
    /// Returns a dispatcher that knows nothing yet.
    pub fn new(config: InstanceConfig) -> Self {
        Self {
            catalog: None,
            freshness: Freshness::new(config.revocation_bound),
            feeds: FeedViews::default(),
            backends: BackendTable::default(),
            peers: PeerTable::default(),
            demand: DemandTable::default(),
            lease: Lease::new(config.lease),
            planner: PlacementPlanner::default(),
            prompts: PromptCacheTable::default(),
            quotas: QuotaTable::new(config.quota, config.first_start)
                .with_phase((hash(&[&config.id]) % PHASES) as f64 / PHASES as f64),
            retries: Map::default(),
            draining: false,
            heartbeats: 0,
            config,
        }
    }

    /// Puts a configuration into force, unless it is older than the one in force.
    pub fn apply_catalog(&mut self, catalog: Catalog) -> bool {
        let known = self.catalog.as_ref().map(|known| known.version);
        let newer = known.is_none_or(|known| catalog.version > known);
        if newer {
            self.catalog = Some(Arc::new(catalog));
        }
        newer
    }

    /// Stops attracting callers.
    pub fn start_draining(&mut self) {
        self.draining = true;
    }

    /// Returns whether the instance is on its way out.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Returns whether callers should be sent here.
    pub fn is_ready(&self, now: Instant) -> bool {
        !self.draining && self.catalog.is_some() && self.freshness.is_ready(now)
    }

    /// Returns where to learn what is new in the store's feeds.
    pub fn feed_source(&self, now: Instant) -> FeedSource {
        let reader = self.peers.first_ready(now, &self.config.zone);
        match reader {
            Some(reader) if reader < self.config.id || !self.is_ready(now) => {
                FeedSource::Peer(reader)
            }
            _ => FeedSource::Store,
        }
    }

    /// Returns the addresses to which callers should connect.
    pub fn client_addresses(&self, now: Instant) -> Vec<String> {
        let mut addresses: Vec<String> =
            self.peers.ready_addresses(now).map(str::to_owned).collect();
        if self.is_ready(now) || (addresses.is_empty() && !self.draining) {
            addresses.push(self.config.address.clone());
        }
        addresses.sort();
        addresses
    }

    /// Decides whether a request is taken and charges its tokens.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller; the request has not run.
    pub fn admit(&mut self, now: Instant, call: &RequestHead) -> Result<Admission, Refusal> {
        let Some(catalog) = self.catalog.clone() else {
            return Err(unavailable("no configuration yet; try another instance"));
        };
        let current = self.freshness.is_current(now);
        let Some(route) = catalog.route(&call.host, &call.path) else {
            return Err(if current {
                Refusal::not_run(
                    RefusalKind::RouteNotFound,
                    "no route has this host and path",
                )
            } else {
                unavailable("the configuration can't be confirmed; try another instance")
            });
        };
        let organisation = self.authenticate(now, &catalog, route, call)?;
        let tokens = charge(call, organisation.as_deref());
        if let Some(organisation) = &organisation {
            self.spend(now, organisation, tokens)?;
        }
        let service = route.service(draw(&call.attempt)).clone();
        self.retry_budget(&service).record_request(now);
        let allowed = call.timeout.unwrap_or(route.timeout).min(route.timeout);
        let admission = Admission {
            priority: organisation
                .as_ref()
                .and_then(|organisation| organisation.priority)
                .unwrap_or(route.priority),
            route: route.clone(),
            organisation,
            tokens,
            arrived: now,
            deadline: now + allowed,
            silence_deadline: now + allowed.min(route.silence_timeout()),
            requested_model: catalog
                .service(&service)
                .is_some_and(|service| service.engine.is_some())
                .then(|| call.requested_model.clone())
                .flatten(),
            service,
        };
        if let Some(wanted) = &admission.requested_model {
            self.demand.record_request(now, &admission.service, wanted);
        }
        Ok(admission)
    }

    fn authenticate(
        &self,
        now: Instant,
        catalog: &Catalog,
        route: &Route,
        call: &RequestHead,
    ) -> Result<Option<Arc<Organisation>>, Refusal> {
        if route.anonymous || !catalog.needs_keys() {
            return Ok(None);
        }
        if !self.freshness.is_usable(now) {
            return Err(unavailable(
                "withdrawn keys can't be told from valid ones without the store; try another instance",
            ));
        }
        let known = call.key.and_then(|key| catalog.organisation_of(&key));
        if let Some(organisation) = known {
            return Ok(Some(organisation.clone()));
        }
        Err(if self.freshness.is_current(now) {
            Refusal::not_run(
                RefusalKind::InvalidKey,
                "this key is unknown or was withdrawn; ask your operator for a new one",
            )
        } else {
            unavailable("the configuration can't be confirmed; try another instance")
        })
    }

    fn spend(
        &mut self,
        now: Instant,
        organisation: &Organisation,
        tokens: Tokens,
    ) -> Result<(), Refusal> {
        let (heard, possible) = (self.peers.reporting_count(now), self.peers.possible_count());
        self.quotas.set_share(heard, possible);
        self.quotas
            .spend(now, organisation, tokens)
            .map_err(|shortage| {
                let text = format!(
                    "{} asks for {tokens} tokens and has {:.0} left at a burst of {} and {} a second, \
                     of which {:.2} count here; \
                     come back later",
                    organisation.name,
                    shortage.level,
                    organisation.burst,
                    organisation.rate,
                    shortage.share,
                );
                Refusal::not_run(RefusalKind::OverRate, text).with_retry_after(shortage.retry_after)
            })
    }

    /// Gives back the tokens of a request that no server ran.
    pub fn refund(&mut self, now: Instant, admission: &Admission) {
        if let Some(organisation) = &admission.organisation {
            self.quotas.refund(now, organisation, admission.tokens);
        }
    }

    /// Returns whether other instances should hear of this organisation's spending at once.
    pub fn is_near_limit(&mut self, now: Instant, admission: &Admission) -> bool {
        admission
            .organisation
            .as_ref()
            .is_some_and(|organisation| self.quotas.is_near_limit(now, organisation))
    }

    /// Returns what the fleet spent in the last window, to be kept in the store.
    pub fn fleet_spending(&mut self, now: Instant) -> FleetSpending {
        self.quotas.snapshot(now)
    }

    /// Takes over what the store kept of the fleet's spending.
    pub fn restore_spending(&mut self, now: Instant, spending: &FleetSpending) {
        self.quotas.restore(now, spending);
    }

    /// Returns whether some organisation is close to its limit.
    pub fn is_any_near_limit(&self) -> bool {
        self.quotas.is_any_near_limit()
    }

    /// Takes a second attempt from the budget of the request's service.
    pub fn take_retry(&mut self, now: Instant, admission: &Admission) -> bool {
        let instances = self.peers.possible_count();
        self.retry_budget(&admission.service)
            .try_take(now, instances)
    }

    fn retry_budget(&mut self, service: &ServiceId) -> &mut RetryBudget {
        let bounds = self.config.retries;
        self.retries
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(bounds))
    }

    /// Forgets what can no longer be true.
    pub fn expire(&mut self, now: Instant) {
        for gone in self.peers.expire(now) {
            self.backends.remove_instance(&gone);
        }
        self.backends.expire(now);
    }

    /// Plans what the servers of every service hold, and returns the orders and the servers to be
    /// asked for a report.
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

fn charge(call: &RequestHead, organisation: Option<&Organisation>) -> Tokens {
    let plain = organisation.map_or(0, |organisation| organisation.default_tokens);
    call.max_tokens.unwrap_or(plain)
}

fn unavailable(text: &str) -> Refusal {
    Refusal::not_run(RefusalKind::Unavailable, text).with_retry_after(NO_SERVER_PAUSE)
}

fn overloaded(text: &str, after: Duration) -> Refusal {
    Refusal::not_run(RefusalKind::Overloaded, text).with_retry_after(after)
}

// Spreads attempts evenly over the weights of a route.
fn draw(attempt: &str) -> u64 {
    hash(&[attempt])
}

fn hash(texts: &[&str]) -> u64 {
    let mut hash = Map::<u8, u8>::default().hasher().build_hasher();
    for text in texts {
        hash.write(text.as_bytes());
    }
    // The low bits of the fast hash are the least mixed.
    hash.finish() >> 11
}
