//! The decisions about one request: whether it is taken, where it is sent and when it is refused.

use std::hash::{BuildHasher, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use apricotwell_messages::{FleetSpending, Heartbeat, ServerUse, Spending};
use apricotwell_types::{InstanceId, Map, OrgId, Refusal, RefusalKind, ServerId, Tokens, ZoneId};

use crate::backends::{Backend, BackendTable};
use crate::call::Call;
use crate::catalog::{Catalog, Organisation, Route, Service, ServiceId};
use crate::demand::DemandTable;
use crate::freshness::Freshness;
use crate::lease::{Lease, LeaseTerms};
use crate::model::Wanted;
use crate::peers::PeerTable;
use crate::prompts::PromptTable;
use crate::quota::{QuotaBounds, QuotaTable};
use crate::retries::{RetryBounds, RetryWindow};
use crate::stock::{Order, StockPlanner};

/// Delay that a request in another zone is taken to add, in ms: bytes between zones cost as much.
const ZONE_COST_MS: f64 = 20.0;
/// Delay that a server is taken to add all of whose recent requests failed, in ms.
const FAILURE_COST_MS: f64 = 3000.0;
/// Delay that each request in flight adds to the next one on a model engine, in ms.
const ENGINE_REQUEST_MS: f64 = 0.6;
/// Delay that each request in flight adds to the next one on a plain server, in ms.
const PLAIN_REQUEST_MS: f64 = 8.0;
/// Tokens of a prompt that an engine reads in a ms; while it reads, its streams pause.
const READ_TOKENS_PER_MS: f64 = 20.0;
/// Spread by which instances rank equal servers differently, in ms.
const SPREAD_MS: f64 = 6.0;
/// Requests on a full plain server, as a multiple of those that it runs at once.
const PLAIN_QUEUE: f64 = 3.0;
/// Requests on a full model engine, as a multiple of those that it runs at once.
const ENGINE_QUEUE: f64 = 1.0;
/// Time for which callers are asked to stay away when no server is known.
const NO_SERVER_PAUSE: Duration = Duration::from_millis(500);
/// Time that a load takes besides the load itself: telling, making room, reporting.
const LOAD_OVERHEAD: Duration = Duration::from_millis(300);
/// Part of a caller's patience that a wait leaves for the answer itself.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);

/// Fixed facts of an instance.
#[derive(Clone, Debug)]
pub struct InstanceFacts {
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
    pub revocation: Duration,
    /// Excess over rates that the users allow.
    pub quota: QuotaBounds,
    /// Second attempts that the users allow.
    pub retries: RetryBounds,
    /// Times of the placement lease.
    pub lease: LeaseTerms,
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
    pub silence: Instant,
    /// Model wanted.
    pub wanted: Option<Wanted>,
}

/// Where a request goes next.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
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
    pub facts: InstanceFacts,
    /// Configuration in force.
    pub catalog: Option<Arc<Catalog>>,
    /// Age of the view.
    pub freshness: Freshness,
    /// Backend servers.
    pub backends: BackendTable,
    /// Other instances.
    pub peers: PeerTable,
    /// Demand at this instance.
    pub demand: DemandTable,
    /// Placement lease.
    pub lease: Lease,
    /// Placement.
    pub stock: StockPlanner,
    /// Where prompts are cached.
    pub prompts: PromptTable,
    quotas: QuotaTable,
    retries: Map<ServiceId, RetryWindow>,
    leaving: bool,
    heartbeats: u64,
}

impl Dispatcher {
    /// Returns a dispatcher that knows nothing yet.
    pub fn new(facts: InstanceFacts) -> Self {
        Self {
            catalog: None,
            freshness: Freshness::new(facts.revocation),
            backends: BackendTable::default(),
            peers: PeerTable::default(),
            demand: DemandTable::default(),
            lease: Lease::new(facts.lease),
            stock: StockPlanner::default(),
            prompts: PromptTable::default(),
            quotas: QuotaTable::new(facts.quota, facts.first_start),
            retries: Map::default(),
            leaving: false,
            heartbeats: 0,
            facts,
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
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Returns whether the instance is on its way out.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns whether callers should be sent here.
    pub fn is_ready(&self, now: Instant) -> bool {
        !self.leaving && self.catalog.is_some() && self.freshness.is_ready(now)
    }

    /// Returns the addresses to which callers should connect.
    pub fn look_up(&self, now: Instant) -> Vec<String> {
        let mut addresses: Vec<String> =
            self.peers.ready_addresses(now).map(str::to_owned).collect();
        if self.is_ready(now) || (addresses.is_empty() && !self.leaving) {
            addresses.push(self.facts.address.clone());
        }
        addresses.sort();
        addresses
    }

    /// Decides whether a request is taken and charges its tokens.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller; the request has not run.
    pub fn admit(&mut self, now: Instant, call: &Call) -> Result<Admission, Refusal> {
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
        self.retry_window(&service).note_request(now);
        let allowed = call.deadline.unwrap_or(route.timeout).min(route.timeout);
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
            silence: now + allowed.min(route.patience()),
            wanted: catalog
                .service(&service)
                .is_some_and(|service| service.engine.is_some())
                .then(|| call.wanted.clone())
                .flatten(),
            service,
        };
        if let Some(wanted) = &admission.wanted {
            self.demand.note_request(now, &admission.service, wanted);
        }
        Ok(admission)
    }

    fn authenticate(
        &self,
        now: Instant,
        catalog: &Catalog,
        route: &Route,
        call: &Call,
    ) -> Result<Option<Arc<Organisation>>, Refusal> {
        if route.open || !catalog.needs_keys() {
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
        let (heard, possible) = (self.peers.heard(now), self.peers.possible());
        self.quotas.set_part(heard, possible);
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
                    shortage.part,
                );
                Refusal::not_run(RefusalKind::OverRate, text).with_retry_after(shortage.wait)
            })
    }

    /// Gives back the tokens of a request that no server ran.
    pub fn refund(&mut self, now: Instant, admission: &Admission) {
        if let Some(organisation) = &admission.organisation {
            self.quotas.refund(now, organisation, admission.tokens);
        }
    }

    /// Returns whether other instances should hear of this organisation's spending at once.
    pub fn is_tight(&mut self, now: Instant, admission: &Admission) -> bool {
        admission
            .organisation
            .as_ref()
            .is_some_and(|organisation| self.quotas.is_tight(now, organisation))
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
    pub fn is_any_tight(&self) -> bool {
        self.quotas.is_any_tight()
    }

    /// Takes a second attempt from the budget of the request's service.
    pub fn take_retry(&mut self, now: Instant, admission: &Admission) -> bool {
        let instances = self.peers.possible();
        self.retry_window(&admission.service).take(now, instances)
    }

    fn retry_window(&mut self, service: &ServiceId) -> &mut RetryWindow {
        let bounds = self.facts.retries;
        self.retries
            .entry(service.clone())
            .or_insert_with(|| RetryWindow::new(bounds))
    }

    /// Decides where a request goes; servers in `tried` are left out.
    pub fn choose(
        &self,
        now: Instant,
        admission: &Admission,
        call: &Call,
        tried: &[ServerId],
    ) -> Choice {
        if now + ANSWER_MARGIN >= admission.silence {
            return Choice::Refuse(overloaded("no server was free in time", NO_SERVER_PAUSE));
        }
        let usable: Vec<&Backend> = self.backends.usable(now, &admission.service).collect();
        if usable.is_empty() {
            return Choice::Refuse(unavailable("no server of this service is there"));
        }
        let wanted = admission.wanted.as_ref();
        let holders: Vec<&Backend> = usable
            .iter()
            .filter(|server| server.serves(now, wanted) && !tried.contains(&server.entry.id))
            .copied()
            .collect();
        if let Some(server) = self.best(now, admission, call, &holders) {
            return Choice::Send(server.entry.id.clone(), server.entry.address);
        }
        if !holders.is_empty() {
            return Choice::Wait;
        }
        let Some(wanted) = wanted else {
            return Choice::Refuse(overloaded("every server was tried", NO_SERVER_PAUSE));
        };
        self.await_model(now, admission, wanted, &usable)
    }

    fn best<'a>(
        &self,
        now: Instant,
        admission: &Admission,
        call: &Call,
        holders: &[&'a Backend],
    ) -> Option<&'a Backend> {
        let queue = if admission.wanted.is_some() {
            ENGINE_QUEUE
        } else {
            PLAIN_QUEUE
        };
        let scored = holders.iter().filter_map(|server| {
            let slots = f64::from(server.entry.slots.max(1));
            let load = f64::from(server.in_flight()) / slots;
            (load < queue).then(|| (self.delay(now, server, admission, call), *server))
        });
        scored
            .min_by(|one, other| one.0.total_cmp(&other.0))
            .map(|(_, server)| server)
    }

    // Delay in ms that a request is taken to meet at a server. Of the load only what this instance
    // sent itself is known to the moment, so that weighs most: if each instance spreads its own
    // requests evenly, all of them together are spread evenly, and none follow the same old view.
    fn delay(&self, now: Instant, server: &Backend, admission: &Admission, call: &Call) -> f64 {
        let in_flight = f64::from(server.in_flight());
        let mut delay = FAILURE_COST_MS * server.failure_rate(now);
        if server.entry.zone != self.facts.zone {
            delay += ZONE_COST_MS;
        }
        delay += SPREAD_MS * spread(&self.facts.id, &server.entry.id);
        let Some(wanted) = &admission.wanted else {
            return delay + PLAIN_REQUEST_MS * in_flight;
        };
        let id = &server.entry.id;
        let unread = self.prompts.tokens_to_read(id, wanted, &call.prompt);
        let tokens = unread + server.recent_tokens(now);
        delay + ENGINE_REQUEST_MS * in_flight + tokens / READ_TOKENS_PER_MS
    }

    // No server holds the model: wait for it if it can be there in time.
    fn await_model(
        &self,
        now: Instant,
        admission: &Admission,
        wanted: &Wanted,
        usable: &[&Backend],
    ) -> Choice {
        let service = self
            .catalog
            .as_ref()
            .and_then(|catalog| catalog.service(&admission.service));
        let Some(load) = service.and_then(|service| expected_load(now, service, wanted, usable))
        else {
            let text = "no server can run this model; ask for one of the service's models";
            return Choice::Refuse(overloaded(text, NO_SERVER_PAUSE));
        };
        if now + load + ANSWER_MARGIN < admission.silence {
            return Choice::Wait;
        }
        Choice::Refuse(overloaded(
            "the model is being loaded; come back then",
            load,
        ))
    }

    /// Returns this instance's heartbeat, without demand and stock.
    pub fn heartbeat(&mut self, now: Instant) -> Heartbeat {
        self.heartbeats += 1;
        let servers = self.backends.iter().filter(|server| server.own > 0);
        let fence = self.lease.fence(now);
        Heartbeat {
            instance: self.facts.id.to_string(),
            incarnation: self.facts.incarnation,
            number: self.heartbeats,
            address: self.facts.address.clone(),
            ready: self.is_ready(now),
            servers: servers
                .map(|server| ServerUse {
                    server: server.entry.id.to_string(),
                    requests: server.own,
                })
                .collect(),
            spending: self
                .quotas
                .spending()
                .map(|(organisation, tokens, fleet)| Spending {
                    organisation: organisation.to_string(),
                    tokens,
                    fleet,
                })
                .collect(),
            models: Vec::new(),
            fence: fence.unwrap_or_default(),
            stock: Vec::new(),
        }
    }

    /// Applies another instance's heartbeat.
    pub fn note_heartbeat(&mut self, now: Instant, heartbeat: &Heartbeat) -> bool {
        if heartbeat.instance == *self.facts.id || !self.peers.note_heartbeat(now, heartbeat) {
            return false;
        }
        let instance: InstanceId = heartbeat.instance.as_str().into();
        let requests: Map<&str, u32> = heartbeat
            .servers
            .iter()
            .map(|usage| (usage.server.as_str(), usage.requests))
            .collect();
        self.backends.note_use(&instance, &requests);
        if let Some(catalog) = self.catalog.clone() {
            self.note_spending(now, &catalog, &instance, heartbeat);
        }
        self.lease.note_other(heartbeat.fence);
        if heartbeat.fence > 0 {
            for stock in &heartbeat.stock {
                self.backends.note_stock(now, heartbeat.fence, stock);
            }
        }
        true
    }

    fn note_spending(
        &mut self,
        now: Instant,
        catalog: &Catalog,
        instance: &InstanceId,
        heartbeat: &Heartbeat,
    ) {
        let spending: Map<&str, (Tokens, Tokens)> = heartbeat
            .spending
            .iter()
            .map(|told| (told.organisation.as_str(), (told.tokens, told.fleet)))
            .collect();
        for organisation in catalog.organisations() {
            let name: &OrgId = &organisation.name;
            let (spent, fleet) = spending.get(&**name).copied().unwrap_or_default();
            let incarnation = heartbeat.incarnation;
            self.quotas
                .note_spending(now, instance, incarnation, organisation, spent, fleet);
        }
    }

    /// Forgets what can no longer be true.
    pub fn expire(&mut self, now: Instant) {
        for gone in self.peers.expire(now) {
            self.backends.forget_instance(&gone);
        }
        self.backends.expire(now);
    }

    /// Plans what the servers of every service hold, and returns the orders and the servers to be
    /// asked for a report.
    pub fn plan(&mut self, now: Instant) -> (Vec<Order>, Vec<ServerId>) {
        let Some(catalog) = self.catalog.clone() else {
            return Default::default();
        };
        let own = self.demand.uses(now);
        let mut orders = Vec::new();
        let engines = catalog
            .services()
            .filter(|service| service.engine.is_some());
        for service in engines {
            self.stock.follow(now, &self.backends, service);
            let uses = own.iter().chain(self.peers.model_uses(now));
            orders.extend(self.stock.plan(now, service, &self.backends, uses));
        }
        (orders, self.stock.take_due_reports(now))
    }
}

// Time until some server should have loaded the model, `None` if none can.
fn expected_load(
    now: Instant,
    service: &Service,
    wanted: &Wanted,
    usable: &[&Backend],
) -> Option<Duration> {
    let spec = service.engine.as_ref()?.model(&wanted.model)?;
    let held = usable
        .iter()
        .any(|server| server.holdings.adapters(&wanted.model).is_some());
    if held {
        // Only the adapter is missing, or the server just denied the model.
        return Some(LOAD_OVERHEAD);
    }
    let loading = usable.iter().filter_map(|server| {
        let loading = server.loading.as_ref()?;
        (loading.model == wanted.model).then(|| loading.ends.saturating_duration_since(now))
    });
    if let Some(left) = loading.min() {
        return Some(left + LOAD_OVERHEAD / 2);
    }
    let cached = usable.iter().filter_map(|server| {
        let busy = server.loading.as_ref().map_or(Duration::ZERO, |loading| {
            loading.ends.saturating_duration_since(now)
        });
        let holdings = &server.holdings;
        if holdings.in_memory.contains(&wanted.model) {
            return Some(busy + spec.memory_load);
        }
        let on_disk = holdings.on_disk.contains(&wanted.model);
        on_disk.then_some(busy + spec.disk_load)
    });
    Some(cached.min().unwrap_or(spec.store_load).min(spec.store_load) + LOAD_OVERHEAD)
}

fn charge(call: &Call, organisation: Option<&Organisation>) -> Tokens {
    let plain = organisation.map_or(0, |organisation| organisation.plain_tokens);
    call.tokens.unwrap_or(plain)
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

// Rank of a server for one instance, from 0 to 1.
fn spread(instance: &str, server: &str) -> f64 {
    const STEPS: u64 = 1024;
    (hash(&[instance, server]) % STEPS) as f64 / STEPS as f64
}

fn hash(texts: &[&str]) -> u64 {
    let mut hash = Map::<u8, u8>::default().hasher().build_hasher();
    for text in texts {
        hash.write(text.as_bytes());
    }
    // The low bits of the fast hash are the least mixed.
    hash.finish() >> 11
}
