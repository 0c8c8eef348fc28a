//! Order of the requests that wait at this instance, and refusal of those whose turn comes too late.
//!
//! See `docs/design/waiting.md`.

use std::time::{Duration, Instant};

use apricotwell_admission::WaitingRequest;
use apricotwell_types::{Refusal, RefusalKind, ServerId};

use super::selection::{RESPONSE_MARGIN, expected_load_time};
use super::{Admission, Dispatcher, RoutingDecision, overloaded};
use crate::backends::Backend;
use crate::engine_load::PREFILL_TOKENS_PER_MS;
use crate::request::{RequestHead, TokenUsage};
use crate::waiting::{PlaceTimes, QueueKey, TicketId, TurnEstimate};

/// Number of server priorities of each priority of requests, for short to long prompts.
const PROMPT_CLASSES: u8 = 3;
/// Lowest priority on the wire, where 0 is the highest.
const MAX_SERVER_PRIORITY: u8 = 9;
/// Shares of the target for pauses that the prefill of a prompt of each class but the last may take:
/// a prefill makes the other streams of its server pause.
const PREFILL_SHARES: [f64; 2] = [0.1, 1.0 / 3.0];

/// What a waiting request does next.
#[derive(Clone, Debug, PartialEq)]
pub struct Turn {
    /// What to do with the request.
    pub decision: RoutingDecision,
    /// Waiting request that should decide again now.
    pub wake: Option<TicketId>,
    /// Estimate on which a refusal is based.
    pub refused_by: Option<TurnEstimate>,
}

impl Dispatcher {
    /// Returns whether a request must have a ticket to use `choice`.
    ///
    /// One that can be sent needs none if no other one waits for the same service and model.
    pub fn needs_ticket(&self, admission: &Admission, choice: &RoutingDecision) -> bool {
        let is_ordered = match choice {
            RoutingDecision::Wait | RoutingDecision::AwaitPermit(_) => true,
            RoutingDecision::Send(..) => self.waits.is_queued(&queue_key(admission)),
            RoutingDecision::Refuse(_) => false,
        };
        self.is_load_aware() && is_ordered
    }

    /// Queues a request; returns its ticket, to be returned with [`Self::end_turn`].
    ///
    /// `since` is the time from which on its target counts: its arrival, or for a stream that is
    /// resumed the time of its interruption.
    pub fn begin_turn(
        &mut self,
        now: Instant,
        admission: &Admission,
        request: &RequestHead,
        since: Instant,
    ) -> TicketId {
        let route = &admission.route;
        let target = if since > admission.arrived {
            route.gap_target
        } else {
            route.target
        };
        let prefill = Duration::from_secs_f64(prefill_ms(request) / 1000.0);
        let time_left = admission.silence_deadline.saturating_duration_since(since);
        let organisation = admission.organisation.as_ref();
        let entry = WaitingRequest {
            request: 0,
            org: organisation.map_or_else(|| "".into(), |organisation| organisation.name.clone()),
            weight: self.weight(admission),
            cost: admission.tokens,
            priority: admission.priority,
            due: since + target.saturating_sub(prefill),
            raise_at: since + time_left / 2,
            deadline: admission.silence_deadline,
        };
        let requested = admission.requested_model.clone();
        self.waits.push(now, queue_key(admission), requested, entry)
    }

    // Returns `tried` and the servers whose software version excludes the request, so that it is not
    // taken for one that waits for them.
    fn with_other_versions(&self, admission: &Admission, tried: &[ServerId]) -> Vec<ServerId> {
        let mut excluded = tried.to_vec();
        if admission.bound.is_some() {
            let servers = self.backends.iter();
            let other = servers.filter(|server| !admission.may_run_at(server));
            excluded.extend(other.map(|server| server.entry.id.clone()));
        }
        excluded
    }

    /// Decides whether a waiting request may follow `choice`, the selection made for it without
    /// regard to other requests.
    ///
    /// A request that ran before is never refused here, since its client can't simply repeat it.
    pub fn decide_turn(
        &mut self,
        now: Instant,
        ticket: TicketId,
        admission: &Admission,
        tried: &[ServerId],
        choice: RoutingDecision,
        has_run: bool,
    ) -> Turn {
        let excluded = self.with_other_versions(admission, tried);
        self.waits.set_tried(ticket, &excluded);
        match choice {
            RoutingDecision::Send(server, address) => {
                let backend = self.backends.get(&server);
                let serves = |requested: Option<&_>| {
                    backend.is_some_and(|backend| backend.serves(now, requested))
                };
                let wake = self.waits.rival(now, ticket, &server, serves);
                let decision = if wake.is_some() {
                    RoutingDecision::Wait
                } else {
                    RoutingDecision::Send(server, address)
                };
                Turn {
                    decision,
                    wake,
                    refused_by: None,
                }
            }
            RoutingDecision::Wait => self.decide_wait(now, ticket, admission, has_run),
            RoutingDecision::AwaitPermit(_) => Turn {
                decision: choice,
                wake: self
                    .waits
                    .record_wait(now, ticket, self.places(now, admission)),
                refused_by: None,
            },
            RoutingDecision::Refuse(refusal) => self.spread(now, ticket, admission, refusal),
        }
    }

    /// Returns a ticket; `is_served` is whether the request is sent to a server now. Returns the
    /// waiting request that should decide again.
    pub fn end_turn(
        &mut self,
        now: Instant,
        ticket: TicketId,
        is_served: bool,
    ) -> Option<TicketId> {
        self.waits.remove(now, ticket, is_served)
    }

    /// Returns the priority for servers: by the request's priority, and short prompts first within it.
    pub fn server_priority(&self, admission: &Admission, request: &RequestHead) -> Option<u8> {
        let pause = admission.route.gap_target.as_secs_f64() * 1000.0;
        let prefill = prefill_ms(request);
        let is_longer = |share: &&f64| prefill > **share * pause;
        let class = PREFILL_SHARES.iter().filter(is_longer).count() as u8;
        let priority = admission.priority.saturating_mul(PROMPT_CLASSES);
        self.is_load_aware()
            .then(|| priority.saturating_add(class).min(MAX_SERVER_PRIORITY))
    }

    fn decide_wait(
        &mut self,
        now: Instant,
        ticket: TicketId,
        admission: &Admission,
        has_run: bool,
    ) -> Turn {
        let places = self.places(now, admission);
        let wake = self.waits.record_wait(now, ticket, places);
        let waits = &mut self.waits;
        let is_due = waits.begin_estimate(now, ticket);
        let estimate = is_due
            .then(|| waits.estimate(now, ticket, places))
            .flatten();
        let left = admission.silence_deadline.saturating_duration_since(now);
        let left = left.saturating_sub(RESPONSE_MARGIN);
        let refused_by = estimate
            .filter(|estimate| !has_run && waits.should_refuse(ticket, estimate, places, left));
        let Some(estimate) = refused_by else {
            return Turn {
                decision: RoutingDecision::Wait,
                wake,
                refused_by: None,
            };
        };
        let text = "the turn of this request can't come in time; retry later";
        let refusal = overloaded(text, estimate.expected);
        Turn {
            wake,
            ..self.spread(now, ticket, admission, refusal)
        }
    }

    // Refuses a waiting request, with a time of return that differs from those of the others.
    fn spread(
        &mut self,
        now: Instant,
        ticket: TicketId,
        admission: &Admission,
        refusal: Refusal,
    ) -> Turn {
        let places = self.places(now, admission);
        let estimate = self.waits.estimate(now, ticket, places);
        let left = admission.deadline.saturating_duration_since(now);
        let after = estimate
            .filter(|_| refusal.kind == RefusalKind::Overloaded)
            .and_then(|estimate| {
                let waits = &mut self.waits;
                waits.retry_after(now, ticket, &estimate, places, left)
            });
        let refusal = match after {
            Some(after) => refusal.with_retry_after(after),
            None => refusal,
        };
        Turn {
            decision: RoutingDecision::Refuse(refusal),
            wake: None,
            refused_by: estimate,
        }
    }

    // Returns what the wait for a place depends on besides the queue.
    fn places(&self, now: Instant, admission: &Admission) -> PlaceTimes {
        let usable: Vec<&Backend> = self.backends.usable(now, &admission.service).collect();
        let requested = admission.requested_model.as_ref();
        let is_held = usable.iter().any(|server| server.serves(now, requested));
        let catalog = self.catalog.as_ref();
        let service = catalog.and_then(|catalog| catalog.service(&admission.service));
        let load = service
            .zip(requested)
            .and_then(|(service, requested)| expected_load_time(now, service, requested, &usable));
        let slots = usable.iter().map(|server| server.entry.slots).max();
        PlaceTimes {
            is_held,
            load,
            slots: slots.unwrap_or_default(),
        }
    }

    // Returns the organisation's share of the places: its rate. One without a limit has the largest.
    fn weight(&self, admission: &Admission) -> u32 {
        let rate = admission.organisation.as_ref().map_or(0, |it| it.rate);
        let rate = if rate > 0 {
            rate
        } else {
            let catalog = self.catalog.iter();
            let organisations = catalog.flat_map(|catalog| catalog.organisations());
            organisations.map(|it| it.rate).max().unwrap_or_default()
        };
        u32::try_from(rate).unwrap_or(u32::MAX).max(1)
    }
}

fn queue_key(admission: &Admission) -> QueueKey {
    let requested = admission.requested_model.as_ref();
    let model = requested.map(|requested| requested.model.clone());
    (admission.service.clone(), model)
}

// Returns the expected time of the prefill of a request, in ms.
fn prefill_ms(request: &RequestHead) -> f64 {
    let tokens = request.usage.map_or(0, |TokenUsage { prompt, .. }| prompt);
    tokens as f64 / PREFILL_TOKENS_PER_MS
}
