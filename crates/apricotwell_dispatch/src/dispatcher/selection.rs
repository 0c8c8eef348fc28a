//! Which server a request goes to, whether it waits for one, and when that is known to be in vain.

use std::time::{Duration, Instant};

use apricotwell_types::ServerId;

use super::{
    Admission, Dispatcher, NO_SERVER_PAUSE, RoutingDecision, hash, overloaded, unavailable,
};
use crate::backends::Backend;
use crate::catalog::Service;
use crate::model::RequestedModel;
use crate::request::RequestHead;

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
/// Time that a load takes besides the load itself: telling, making room, reporting.
const LOAD_OVERHEAD: Duration = Duration::from_millis(300);
/// Part of a caller's patience that a wait leaves for the answer itself.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);

impl Dispatcher {
    /// Decides where a request goes; servers in `tried` are left out.
    pub fn select_server(
        &self,
        now: Instant,
        admission: &Admission,
        call: &RequestHead,
        tried: &[ServerId],
    ) -> RoutingDecision {
        if now + ANSWER_MARGIN >= admission.silence_deadline {
            return RoutingDecision::Refuse(overloaded(
                "no server was free in time",
                NO_SERVER_PAUSE,
            ));
        }
        let usable: Vec<&Backend> = self.backends.usable(now, &admission.service).collect();
        if usable.is_empty() {
            return RoutingDecision::Refuse(unavailable("no server of this service is there"));
        }
        let wanted = admission.requested_model.as_ref();
        let holders: Vec<&Backend> = usable
            .iter()
            .filter(|server| server.serves(now, wanted) && !tried.contains(&server.entry.id))
            .copied()
            .collect();
        if let Some(server) = self.best(now, admission, call, &holders) {
            return RoutingDecision::Send(server.entry.id.clone(), server.entry.address);
        }
        if !holders.is_empty() {
            return RoutingDecision::Wait;
        }
        let Some(wanted) = wanted else {
            return RoutingDecision::Refuse(overloaded("every server was tried", NO_SERVER_PAUSE));
        };
        self.await_model(now, admission, wanted, &usable)
    }

    fn best<'a>(
        &self,
        now: Instant,
        admission: &Admission,
        call: &RequestHead,
        holders: &[&'a Backend],
    ) -> Option<&'a Backend> {
        let queue = if admission.requested_model.is_some() {
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
    fn delay(
        &self,
        now: Instant,
        server: &Backend,
        admission: &Admission,
        call: &RequestHead,
    ) -> f64 {
        let in_flight = f64::from(server.in_flight());
        let mut delay = FAILURE_COST_MS * server.failure_rate(now);
        if server.entry.zone != self.config.zone {
            delay += ZONE_COST_MS;
        }
        delay += SPREAD_MS * spread(&self.config.id, &server.entry.id);
        let Some(wanted) = &admission.requested_model else {
            return delay + PLAIN_REQUEST_MS * in_flight;
        };
        let id = &server.entry.id;
        let unread = self.prompts.uncached_tokens(id, wanted, &call.prompt);
        let tokens = unread + server.recent_tokens(now);
        delay + ENGINE_REQUEST_MS * in_flight + tokens / READ_TOKENS_PER_MS
    }

    // No server holds the model: wait for it if it can be there in time.
    fn await_model(
        &self,
        now: Instant,
        admission: &Admission,
        wanted: &RequestedModel,
        usable: &[&Backend],
    ) -> RoutingDecision {
        let service = self
            .catalog
            .as_ref()
            .and_then(|catalog| catalog.service(&admission.service));
        let Some(load) = service.and_then(|service| expected_load(now, service, wanted, usable))
        else {
            let text = "no server can run this model; ask for one of the service's models";
            return RoutingDecision::Refuse(overloaded(text, NO_SERVER_PAUSE));
        };
        if now + load + ANSWER_MARGIN < admission.silence_deadline {
            return RoutingDecision::Wait;
        }
        RoutingDecision::Refuse(overloaded(
            "the model is being loaded; come back then",
            load,
        ))
    }
}

// Time until some server should have loaded the model, `None` if none can.
fn expected_load(
    now: Instant,
    service: &Service,
    wanted: &RequestedModel,
    usable: &[&Backend],
) -> Option<Duration> {
    let spec = service.engine.as_ref()?.model(&wanted.model)?;
    let held = usable
        .iter()
        .any(|server| server.inventory.adapters(&wanted.model).is_some());
    if held {
        // Only the adapter is missing, or the server just denied the model.
        return Some(LOAD_OVERHEAD);
    }
    let loading = usable.iter().filter_map(|server| {
        let loading = server.loading.as_ref()?;
        (loading.model == wanted.model).then(|| loading.ends_at.saturating_duration_since(now))
    });
    if let Some(left) = loading.min() {
        return Some(left + LOAD_OVERHEAD / 2);
    }
    let cached = usable.iter().filter_map(|server| {
        let busy = server.loading.as_ref().map_or(Duration::ZERO, |loading| {
            loading.ends_at.saturating_duration_since(now)
        });
        let inventory = &server.inventory;
        if inventory.in_memory.contains(&wanted.model) {
            return Some(busy + spec.memory_load);
        }
        let on_disk = inventory.on_disk.contains(&wanted.model);
        on_disk.then_some(busy + spec.disk_load)
    });
    Some(cached.min().unwrap_or(spec.store_load).min(spec.store_load) + LOAD_OVERHEAD)
}

// Rank of a server for one instance, from 0 to 1.
fn spread(instance: &str, server: &str) -> f64 {
    const STEPS: u64 = 1024;
    (hash(&[instance, server]) % STEPS) as f64 / STEPS as f64
}
