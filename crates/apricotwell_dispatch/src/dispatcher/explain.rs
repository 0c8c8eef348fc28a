//! Explanation of where a request would go now, and why; changes nothing.
//!
//! The decision is that of `select_server`, and the facts come from the functions that it uses. Not
//! covered: quotas, the order of waiting requests, and quarantined parts, which need the body.

use std::time::{Duration, Instant};

use apricotwell_types::{OrgId, Refusal, RefusalKind, ServerId, ZoneId};

use super::selection::{LoadFit, has_room};
use super::{Admission, Dispatcher, RoutingDecision};
use crate::backends::Backend;
use crate::catalog::ServiceId;
use crate::request::RequestHead;

/// Where a request would go now, and why.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// Name of the route.
    pub route: String,
    /// Service that runs the request.
    pub service: ServiceId,
    /// Organisation that the key belongs to, if the route needs a key.
    pub organisation: Option<OrgId>,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Time until the request would time out without a first event.
    pub silence_time: Duration,
    /// What would be done with the request if no other one waited for the same servers.
    pub decision: RoutingDecision,
    /// Servers of the service: those that can run it now first, by expected delay.
    pub servers: Vec<ServerExplanation>,
    /// Version of the configuration.
    pub config_version: u64,
    /// Age of the configuration, `None` if it was never read.
    pub config_age: Option<Duration>,
    /// Instances heard, this one included.
    pub reporting_instances: usize,
    /// Instances that may be serving requests, this one included.
    pub possible_instances: usize,
}

/// What speaks for and against one server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerExplanation {
    /// Server.
    pub id: ServerId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Why the request can't be sent to it now; `None` if it can.
    pub excluded: Option<Exclusion>,
    /// Delay that the selection expects, in ms.
    pub expected_delay_ms: f64,
    /// Requests in flight from all instances.
    pub in_flight: u32,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Where it has the weights of the requested model, `None` if no model is requested.
    pub weights: Option<WeightsPlace>,
    /// Age of the lease holder's inventory of it, `None` if the list entry applies.
    pub inventory_age: Option<Duration>,
}

/// Why a server can't get a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exclusion {
    /// It is draining.
    Draining,
    /// It is not usable for another reason: it was removed from the list, or its zone is evacuated.
    Unusable,
    /// It doesn't hold the model or adapter.
    ModelNotLoaded,
    /// It rejected a request for the model shortly before.
    Rejected,
    /// As many requests are in flight as it may have.
    Full,
    /// It has a limit, and this instance holds no permit.
    NoPermit,
}

impl Exclusion {
    /// Returns the reason as text.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Draining => "draining",
            Self::Unusable => "unusable",
            Self::ModelNotLoaded => "model not loaded",
            Self::Rejected => "rejected the model",
            Self::Full => "full",
            Self::NoPermit => "no permit",
        }
    }
}

/// Where a server has the weights of a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightsPlace {
    /// Loaded.
    Loaded,
    /// Being loaded, to end after this time.
    Loading(Duration),
    /// In its memory.
    Memory,
    /// On its disk.
    Disk,
    /// Only in the weight store.
    Store,
}

impl Dispatcher {
    /// Explains where a request would go now.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request whose route, key or model is unknown, or whose configuration is
    /// out of date.
    pub fn explain(&self, now: Instant, request: &RequestHead) -> Result<Explanation, Refusal> {
        let admission = self.match_request(now, request)?;
        self.check_model(&admission)?;
        let usable: Vec<&Backend> = self.backends.usable(now, &admission.service).collect();
        let requested = admission.requested_model.as_ref();
        let candidates: Vec<&Backend> = usable
            .iter()
            .filter(|server| server.serves(now, requested))
            .copied()
            .collect();
        let fit = self.load_fit(&admission, request, &candidates);
        let servers = self.backends.iter();
        let servers = servers.filter(|server| server.entry.service == admission.service);
        let mut servers: Vec<ServerExplanation> = servers
            .map(|server| {
                let is_usable = usable.iter().any(|it| it.entry.id == server.entry.id);
                ServerExplanation {
                    excluded: self.exclusion(now, &admission, server, is_usable, fit),
                    expected_delay_ms: self.expected_delay(now, server, &admission, request, fit),
                    ..explain_server(now, &admission, server)
                }
            })
            .collect();
        servers.sort_by(|one, other| {
            let by_delay = one.expected_delay_ms.total_cmp(&other.expected_delay_ms);
            let by_use = one.excluded.is_some().cmp(&other.excluded.is_some());
            by_use.then(by_delay).then_with(|| one.id.cmp(&other.id))
        });
        Ok(Explanation {
            decision: self.select_server(now, &admission, request, &[]),
            servers,
            route: admission.route.name.to_string(),
            organisation: admission.organisation.as_ref().map(|it| it.name.clone()),
            priority: admission.priority,
            silence_time: admission.silence_deadline.saturating_duration_since(now),
            service: admission.service,
            config_version: self.catalog.as_ref().map_or(0, |catalog| catalog.version),
            config_age: self.freshness.age(now),
            reporting_instances: self.peers.reporting_count(now),
            possible_instances: self.peers.possible_count(),
        })
    }

    fn check_model(&self, admission: &Admission) -> Result<(), Refusal> {
        let Some(requested) = &admission.requested_model else {
            return Ok(());
        };
        let service = self
            .catalog
            .as_ref()
            .and_then(|catalog| catalog.service(&admission.service));
        let engine = service.and_then(|service| service.engine.as_ref());
        if engine.is_some_and(|engine| engine.model(&requested.model).is_some()) {
            return Ok(());
        }
        let text = format!(
            "service {} does not have the model {}; request one of its models",
            admission.service, requested.model
        );
        Err(Refusal::not_run(RefusalKind::ModelNotFound, text))
    }

    // Returns why the selection leaves a server out, in the order in which it checks.
    fn exclusion(
        &self,
        now: Instant,
        admission: &Admission,
        server: &Backend,
        is_usable: bool,
        fit: Option<LoadFit>,
    ) -> Option<Exclusion> {
        let requested = admission.requested_model.as_ref();
        let id = &server.entry.id;
        if server.entry.draining {
            return Some(Exclusion::Draining);
        }
        if !is_usable {
            return Some(Exclusion::Unusable);
        }
        if !server.serves(now, requested) {
            let is_held = requested.is_none_or(|requested| server.inventory.serves(requested));
            return Some(if is_held {
                Exclusion::Rejected
            } else {
                Exclusion::ModelNotLoaded
            });
        }
        if !has_room(server, admission, fit) {
            return Some(Exclusion::Full);
        }
        let needs_permit = self.limited.limits.rate(id).is_some();
        let lacks_permit = needs_permit && !self.limited.permits.is_held(now, id);
        lacks_permit.then_some(Exclusion::NoPermit)
    }
}

// Returns what is known of a server without regard to the selection.
fn explain_server(now: Instant, admission: &Admission, server: &Backend) -> ServerExplanation {
    let requested = admission.requested_model.as_ref();
    ServerExplanation {
        id: server.entry.id.clone(),
        zone: server.entry.zone.clone(),
        excluded: None,
        expected_delay_ms: 0.0,
        in_flight: server.in_flight(),
        slots: server.entry.slots,
        weights: requested.map(|requested| weights_place(now, server, &requested.model)),
        inventory_age: server.inventory_age(now),
    }
}

fn weights_place(now: Instant, server: &Backend, model: &str) -> WeightsPlace {
    let inventory = &server.inventory;
    if inventory.adapters(model).is_some() {
        return WeightsPlace::Loaded;
    }
    if let Some(loading) = &server.loading
        && *loading.model == *model
    {
        return WeightsPlace::Loading(loading.ends_at.saturating_duration_since(now));
    }
    if inventory.in_memory.iter().any(|name| **name == *model) {
        WeightsPlace::Memory
    } else if inventory.is_cached(model) {
        WeightsPlace::Disk
    } else {
        WeightsPlace::Store
    }
}
