//! Selection of the server for a request.
//!
//! The request goes to the server with the least expected delay among those that can run it. If all
//! of them are full, or a model must be loaded first, it waits as long as a response in time is
//! still possible, and is refused otherwise. A server that named a limit is used with a permit only.

use std::time::{Duration, Instant};

use apricotwell_types::{ServerId, Tokens};

use super::{
    Admission, DEFAULT_RETRY_AFTER, Dispatcher, RoutingDecision, hash, overloaded, unavailable,
};
use crate::backends::Backend;
use crate::catalog::{Route, Service};
use crate::engine_load::{PREFILL_TOKENS_PER_MS, expected_tokens};
use crate::model::RequestedModel;
use crate::prompt_lanes::{LaneSplit, PromptLane};
use crate::request::RequestHead;

/// Delay penalty for a server in another zone, in ms; stands for the cost of traffic between zones.
const CROSS_ZONE_PENALTY_MS: f64 = 20.0;
/// Delay penalty for a server whose recent requests all failed, in ms.
const FAILURE_PENALTY_MS: f64 = 3000.0;
/// Delay penalty for a server that is much slower than the others, in ms: it is used if they are full.
const SLOW_PENALTY_MS: f64 = 3000.0;
/// Delay in ms that each request in flight on a model engine adds to the next.
const ENGINE_REQUEST_MS: f64 = 0.6;
/// Delay in ms that each of this instance's own requests on a model engine adds beyond that where
/// servers are selected by their load, so that an instance spreads its requests evenly even while it
/// sees those of others late.
const OWN_REQUEST_MS: f64 = 15.0;
/// Delay in ms that each request in flight on a server without a model engine adds to the next.
const PLAIN_REQUEST_MS: f64 = 8.0;
/// Largest jitter per pair of instance and server, in ms, so that instances rank otherwise equal
/// servers differently.
const JITTER_MS: f64 = 6.0;
/// Maximum requests in flight on a server without a model engine, as a multiple of its slots.
const PLAIN_MAX_LOAD: f64 = 3.0;
/// Maximum requests in flight on a model engine, as a multiple of its slots.
const ENGINE_MAX_LOAD: f64 = 1.0;
/// Overhead of a model load: the time for sending the order, unloading other models and reporting
/// the result.
const LOAD_OVERHEAD: Duration = Duration::from_millis(300);
/// Time before the client's timeout that is reserved for the response.
pub(super) const RESPONSE_MARGIN: Duration = Duration::from_millis(250);

/// How the load of a request fits the servers that can run it.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadFit {
    // Lane of the prompt, and the division of the servers.
    lane: PromptLane,
    split: LaneSplit,
    // Expected tokens of the request, and the memory of a server.
    tokens: Tokens,
    kv_tokens: Tokens,
    // Speed of prefills, in tokens per ms.
    prefill_speed: f64,
}

impl LoadFit {
    // Returns the penalty in ms for a server that prompts of the other lane prefer.
    fn other_lane_penalty_ms(&self, server: &Backend, route: &Route) -> f64 {
        match self.split.lane(server.lane_rank) {
            Some(lane) if lane != self.lane => self.lane.detour_ms(route),
            _ => 0.0,
        }
    }

    fn has_memory(&self, server: &Backend) -> bool {
        server.load.fits(self.tokens, self.kv_tokens)
    }
}

impl Dispatcher {
    /// Selects the server for a request, excluding the servers in `tried`.
    pub fn select_server(
        &self,
        now: Instant,
        admission: &Admission,
        request: &RequestHead,
        tried: &[ServerId],
    ) -> RoutingDecision {
        if now + RESPONSE_MARGIN >= admission.silence_deadline {
            return RoutingDecision::Refuse(overloaded(
                "no server became available in time",
                DEFAULT_RETRY_AFTER,
            ));
        }
        let mut usable: Vec<&Backend> = self.backends.usable(now, &admission.service).collect();
        if usable.is_empty() {
            let text = if self.backends.is_evacuated(now, &admission.service) {
                "all servers of this service are in evacuated zones; retry later"
            } else {
                "no server of this service is available"
            };
            return RoutingDecision::Refuse(unavailable(text));
        }
        usable.retain(|server| admission.may_run_at(server));
        if usable.is_empty() {
            let text = "no server of the software version that began this stream is available";
            return RoutingDecision::Refuse(unavailable(text));
        }
        if admission.route.kind.is_stream() {
            usable.retain(|server| self.software.may_begin(&server.entry));
        }
        if usable.is_empty() {
            // Ends shortly, once the store's record names the version.
            return RoutingDecision::Wait;
        }
        let requested = admission.requested_model.as_ref();
        let candidates: Vec<&Backend> = usable
            .iter()
            .filter(|server| server.serves(now, requested) && !tried.contains(&server.entry.id))
            .copied()
            .collect();
        // A replica that is about to be unloaded is used only if no other one can run the request.
        let leaves = |server: &&Backend| requested.is_some_and(|it| server.is_leaving(&it.model));
        if self.is_load_aware() && candidates.iter().any(leaves) {
            let mut staying = candidates.clone();
            staying.retain(|server| !leaves(server));
            let decision = self.select_candidate(now, admission, request, &staying);
            if let Some(sent @ RoutingDecision::Send(..)) = decision {
                return sent;
            }
        }
        if let Some(decision) = self.select_candidate(now, admission, request, &candidates) {
            return decision;
        }
        let Some(requested) = requested else {
            return RoutingDecision::Refuse(overloaded(
                "all servers of this service were tried",
                DEFAULT_RETRY_AFTER,
            ));
        };
        self.await_load(now, admission, requested, &usable)
    }

    // Selects one of the servers that can run the request, `None` if there is none.
    fn select_candidate(
        &self,
        now: Instant,
        admission: &Admission,
        request: &RequestHead,
        candidates: &[&Backend],
    ) -> Option<RoutingDecision> {
        let fit = self.load_fit(admission, request, candidates);
        let limits = &self.limited.limits;
        let (limited, open): (Vec<&Backend>, Vec<&Backend>) = candidates
            .iter()
            .partition(|server| limits.rate(&server.entry.id).is_some());
        let (permitted, other): (Vec<&Backend>, Vec<&Backend>) = limited
            .iter()
            .partition(|server| self.limited.permits.is_held(now, &server.entry.id));
        // A permit expires, so it is used first.
        for servers in [&permitted, &open] {
            if let Some(server) = self.least_delayed(now, admission, request, servers, fit) {
                let id = server.entry.id.clone();
                return Some(RoutingDecision::Send(id, server.entry.address));
            }
        }
        let Some(server) = self.least_delayed(now, admission, request, &other, fit) else {
            return (!candidates.is_empty()).then_some(RoutingDecision::Wait);
        };
        Some(self.await_permit(now, admission, server, open.is_empty()))
    }

    // Decides for a request that needs a permit for `server`; it can also wait for another one
    // unless that is the only one.
    fn await_permit(
        &self,
        now: Instant,
        admission: &Admission,
        server: &Backend,
        is_only: bool,
    ) -> RoutingDecision {
        let id = &server.entry.id;
        let turn = self.limited.permits.turn(id).unwrap_or(now);
        if is_only && turn + RESPONSE_MARGIN >= admission.silence_deadline {
            let retry_after = turn.saturating_duration_since(now);
            let text = "the server of this model is overloaded; retry later";
            return RoutingDecision::Refuse(overloaded(text, retry_after));
        }
        RoutingDecision::AwaitPermit(id.clone())
    }

    // Returns how the load of a request fits its candidates, `None` if servers are not selected by
    // their load.
    pub(super) fn load_fit(
        &self,
        admission: &Admission,
        request: &RequestHead,
        candidates: &[&Backend],
    ) -> Option<LoadFit> {
        if !self.is_load_aware() || admission.requested_model.is_none() {
            return None;
        }
        let service = self.catalog.as_ref()?.service(&admission.service)?;
        let ranks = candidates.iter().map(|server| server.lane_rank).collect();
        Some(LoadFit {
            lane: self.lane(admission, request),
            split: LaneSplit::new(self.lanes.long_share(&admission.service), ranks),
            tokens: expected_tokens(request),
            kv_tokens: service.engine.as_ref()?.kv_tokens,
            prefill_speed: self.prefill_speed(admission),
        })
    }

    // Returns the server with the least expected delay, `None` if all are full.
    fn least_delayed<'a>(
        &self,
        now: Instant,
        admission: &Admission,
        request: &RequestHead,
        candidates: &[&'a Backend],
        fit: Option<LoadFit>,
    ) -> Option<&'a Backend> {
        let with_room = candidates
            .iter()
            .filter(|server| has_room(server, admission, fit));
        let scored = with_room.map(|server| {
            let delay = self.expected_delay(now, server, admission, request, fit);
            (delay, *server)
        });
        scored
            .min_by(|one, other| one.0.total_cmp(&other.0))
            .map(|(_, server)| server)
    }

    // Returns the expected delay of a request on a server, in ms. Only the load that
    // this instance sent itself is known without lag, so it weighs most: if each instance spreads
    // its own requests evenly, the total is even too, and instances don't all follow the same
    // outdated view.
    pub(super) fn expected_delay(
        &self,
        now: Instant,
        server: &Backend,
        admission: &Admission,
        request: &RequestHead,
        fit: Option<LoadFit>,
    ) -> f64 {
        let in_flight = f64::from(server.in_flight());
        let mut delay = FAILURE_PENALTY_MS * server.failure_rate(now);
        if server.entry.zone != self.config.zone {
            delay += CROSS_ZONE_PENALTY_MS;
        }
        delay += JITTER_MS * jitter(&self.config.id, &server.entry.id);
        let Some(requested) = &admission.requested_model else {
            return delay + PLAIN_REQUEST_MS * in_flight;
        };
        let id = &server.entry.id;
        let uncached = self.prompts.uncached_tokens(id, requested, &request.prompt);
        // Own prompts that the server has not begun to answer count in full, which is tracked only if
        // servers are selected by their load. If those sent recently are more, they count instead, so
        // that requests are spread over the servers.
        let pending = server.load.pending_prefill();
        let tokens = uncached + server.recent_tokens(now).max(pending);
        delay += ENGINE_REQUEST_MS * in_flight;
        let Some(fit) = fit else {
            return delay + tokens / PREFILL_TOKENS_PER_MS;
        };
        delay += fit.other_lane_penalty_ms(server, &admission.route);
        delay += OWN_REQUEST_MS * f64::from(server.own_requests);
        let slowness = server.load.slowness.factor(now);
        if slowness > 1.0 {
            delay += SLOW_PENALTY_MS;
        }
        delay + slowness * tokens / fit.prefill_speed
    }

    // Decides for a model that no server holds: the request waits if a load can end in time. Where
    // servers are selected by their load it always waits, and `decide_turn` may refuse it.
    fn await_load(
        &self,
        now: Instant,
        admission: &Admission,
        requested: &RequestedModel,
        usable: &[&Backend],
    ) -> RoutingDecision {
        let service = self
            .catalog
            .as_ref()
            .and_then(|catalog| catalog.service(&admission.service));
        let Some(load) =
            service.and_then(|service| expected_load_time(now, service, requested, usable))
        else {
            let text = "this service does not have the requested model; request one of its models";
            return RoutingDecision::Refuse(overloaded(text, DEFAULT_RETRY_AFTER));
        };
        let is_in_time = now + load + RESPONSE_MARGIN < admission.silence_deadline;
        if is_in_time || self.is_load_aware() {
            return RoutingDecision::Wait;
        }
        RoutingDecision::Refuse(overloaded(
            "the model can't be loaded in time for this request; retry when it is ready",
            load,
        ))
    }
}

// Returns whether a server's requests in flight leave room and memory for another one.
pub(super) fn has_room(server: &Backend, admission: &Admission, fit: Option<LoadFit>) -> bool {
    let max_load = if admission.requested_model.is_some() {
        ENGINE_MAX_LOAD
    } else {
        PLAIN_MAX_LOAD
    };
    let slots = f64::from(server.entry.slots.max(1));
    let has_memory = fit.is_none_or(|fit| fit.has_memory(server));
    f64::from(server.in_flight()) / slots < max_load && has_memory
}

// Returns the expected time until some server has loaded the model, `None` if none can.
pub(super) fn expected_load_time(
    now: Instant,
    service: &Service,
    requested: &RequestedModel,
    usable: &[&Backend],
) -> Option<Duration> {
    let spec = service.engine.as_ref()?.model(&requested.model)?;
    let held = usable
        .iter()
        .any(|server| server.inventory.adapters(&requested.model).is_some());
    if held {
        // Only the adapter is missing, or the server has just rejected the model.
        return Some(LOAD_OVERHEAD);
    }
    let loading = usable.iter().filter_map(|server| {
        let loading = server.loading.as_ref()?;
        (loading.model == requested.model).then(|| loading.ends_at.saturating_duration_since(now))
    });
    if let Some(left) = loading.min() {
        return Some(left + LOAD_OVERHEAD / 2);
    }
    let cached = usable.iter().filter_map(|server| {
        let busy_time = server.loading.as_ref().map_or(Duration::ZERO, |loading| {
            loading.ends_at.saturating_duration_since(now)
        });
        let inventory = &server.inventory;
        if inventory.in_memory.contains(&requested.model) {
            return Some(busy_time + spec.memory_load);
        }
        let on_disk = inventory.on_disk.contains(&requested.model);
        on_disk.then_some(busy_time + spec.disk_load)
    });
    Some(cached.min().unwrap_or(spec.store_load).min(spec.store_load) + LOAD_OVERHEAD)
}

// Returns a number from 0 to 1 that is fixed for a pair of instance and server.
fn jitter(instance: &str, server: &str) -> f64 {
    const STEPS: u64 = 1024;
    (hash(&[instance, server]) % STEPS) as f64 / STEPS as f64
}
