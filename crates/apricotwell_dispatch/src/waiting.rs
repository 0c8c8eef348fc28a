//! Requests that wait at this instance, in queues by service and model, and how long waits take.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use apricotwell_admission::{PriorityQueue, WaitEstimate, WaitingRequest};
use apricotwell_types::{Map, ServerId};

use crate::catalog::ServiceId;
use crate::model::{ModelName, RequestedModel};

/// Id of a waiting request's place in its queue.
pub type TicketId = u64;

/// Service and model that requests wait for; no model for a service without engines.
pub type QueueKey = (ServiceId, Option<ModelName>);

/// Time for which a server that a request did not use stays free for those ranked below it.
const DECLINE_LIFETIME: Duration = Duration::from_millis(50);
/// Time between two estimates of the turn of a request. They take time in proportion to the length of
/// the queue, and all waiting requests decide again at each change.
const ESTIMATE_INTERVAL: Duration = Duration::from_millis(100);
/// Age from which on the drain rate of a queue is unknown.
const DRAIN_LIFETIME: Duration = Duration::from_secs(10);
/// Age from which on a measured load is no longer used. Without newer ones no load is taken to be
/// late, so that a spell of slow loads can't keep the requests refused whose loads would show its end.
const LOAD_LIFETIME: Duration = Duration::from_secs(10);
/// Number of measured loads that are kept.
const MAX_LOADS: usize = 64;
/// Number of measured loads below which their delays are not used.
const MIN_LOADS: usize = 16;
/// Time by which an unmeasured load may be ahead of what this instance knows: another instance may
/// have caused it, and heartbeats tell of it later.
const LOAD_VIEW_LAG: Duration = Duration::from_secs(1);
/// Share of loads that end earlier than the earliest end that is assumed.
const EARLY_SHARE: f64 = 0.1;
/// Standard normal quantile of `EARLY_SHARE`, without its sign.
const EARLY_QUANTILE: f64 = 1.2816;
/// One in this many requests that would be refused by what was measured waits on as a probe, to
/// learn whether it would have been served.
const PROBE_INTERVAL: u32 = 8;
/// Change of the correction of a service after a probe was served, as a factor.
const SERVED_PROBE_FACTOR: f64 = 0.7;
/// Change of the correction after a probe was not served in time, as a factor. The two balance
/// if one probe in twenty is served: half of the one in ten that is allowed, since more are served
/// before the correction is learned.
const LATE_PROBE_FACTOR: f64 = 1.02;
/// Time before its deadline from which on a probe that is not served counts as late.
const PROBE_END: Duration = Duration::from_millis(500);
/// Correction before the first probe.
const INITIAL_CORRECTION: f64 = 0.5;
/// Smallest correction: with it, next to nothing is refused.
const MIN_CORRECTION: f64 = 0.1;
/// Least time between the returns of two refused clients.
const MIN_RETURN_GAP: Duration = Duration::from_millis(5);
/// Fractional part of the golden ratio. The fractional parts of its multiples are spread evenly over
/// 0 to 1, however many there are.
const GOLDEN_FRACTION: f64 = 0.618_033_988_749_894_9;

/// What a request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitCause {
    /// A free slot of a server that can run it.
    Slot,
    /// A load of its model or adapter.
    Load,
}

impl WaitCause {
    /// Returns the name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Slot => "slot",
            Self::Load => "load",
        }
    }
}

/// When a waiting request is expected to get its turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TurnEstimate {
    /// Number of requests that rank above it.
    pub position: usize,
    /// What it waits for.
    pub cause: WaitCause,
    /// Expected time to its turn.
    pub expected: Duration,
    /// Time before which at most one in ten such turns is expected to come.
    pub earliest: Duration,
}

// A waiting request, without what its rank needs.
#[derive(Debug)]
struct Ticket {
    requested: Option<RequestedModel>,
    began: Instant,
    deadline: Instant,
    tried: Vec<ServerId>,
    cause: Option<WaitCause>,
    // Since when it waits for a load, and how long that was expected to take.
    load: Option<(Instant, Duration)>,
    // Request ranked below it that left a free server to it.
    blocked: Option<(TicketId, ServerId)>,
    // When its turn was estimated last.
    estimated_at: Option<Instant>,
    // Whether it was kept though it would have been refused.
    is_probe: bool,
    // Free server that it was offered and did not use, and when.
    declined: Option<(ServerId, Instant)>,
}

/// Requests that wait for the same service and model.
#[derive(Debug, Default)]
struct WaitQueue {
    order: PriorityQueue,
    tickets: Map<TicketId, Ticket>,
    drain: WaitEstimate,
    drained_at: Option<Instant>,
    // When the client refused last is expected to return.
    next_return: Option<Instant>,
    refusals: u32,
}

impl WaitQueue {
    // Returns the expected time until `starts` more requests have got a slot.
    fn drain_time(&self, now: Instant, starts: usize) -> Option<Duration> {
        let age = now.saturating_duration_since(self.drained_at?);
        (age < DRAIN_LIFETIME)
            .then(|| self.drain.expected_wait(starts))
            .flatten()
    }

    // Returns the expected and the earliest time of the turn at a position.
    fn turn_bounds(&self, now: Instant, position: usize) -> Option<(Duration, Duration)> {
        let starts = position + 1;
        let expected = self.drain_time(now, starts)?;
        Some((expected, expected.mul_f64(early_fraction(starts))))
    }
}

/// Delays of recent loads against their expected ends, of one service.
#[derive(Debug, Default)]
struct LoadDelays {
    // In seconds, negative if the load ended early.
    samples: VecDeque<(Instant, f64)>,
}

impl LoadDelays {
    fn record(&mut self, now: Instant, delay: f64) {
        self.samples.push_back((now, delay));
        if self.samples.len() > MAX_LOADS {
            self.samples.pop_front();
        }
    }

    // Returns the expected and the earliest time left of a load whose nominal time is `load`, and
    // which has not ended after `elapsed`.
    fn bounds(&self, now: Instant, load: Duration, elapsed: Duration) -> (Duration, Duration) {
        let recent = self.samples.iter();
        let recent = recent.filter(|(at, _)| now.saturating_duration_since(*at) < LOAD_LIFETIME);
        let times = recent.map(|(_, delay)| load.as_secs_f64() + delay - elapsed.as_secs_f64());
        let mut times: Vec<f64> = times.collect();
        if times.len() < MIN_LOADS {
            let expected = load.saturating_sub(elapsed);
            return (expected, expected.saturating_sub(LOAD_VIEW_LAG));
        }
        times.retain(|left| *left > 0.0);
        times.sort_unstable_by(f64::total_cmp);
        let quantile = |share: f64| {
            let left = times.get((times.len() as f64 * share) as usize);
            Duration::from_secs_f64(left.copied().unwrap_or_default())
        };
        (quantile(0.5), quantile(EARLY_SHARE))
    }
}

/// Correction of the earliest times of turns that depend on slots, of one service; learned from
/// probes (`docs/design/waiting.md`).
#[derive(Clone, Copy, Debug)]
struct SlotCorrection {
    // Factor of the earliest time to a turn, at most 1.
    factor: f64,
    // Requests that would have been refused.
    late: u32,
}

impl Default for SlotCorrection {
    fn default() -> Self {
        Self {
            factor: INITIAL_CORRECTION,
            late: 0,
        }
    }
}

/// Queues of waiting requests.
#[derive(Debug, Default)]
pub struct WaitTable {
    queues: Map<QueueKey, WaitQueue>,
    keys: Map<TicketId, QueueKey>,
    loads: Map<ServiceId, LoadDelays>,
    corrections: Map<ServiceId, SlotCorrection>,
    last_ticket: TicketId,
}

/// Times that an estimate of a turn is made of.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PlaceTimes {
    /// Whether a server holds the model.
    pub is_held: bool,
    /// Nominal time of a load, `None` if the service loads no models.
    pub load: Option<Duration>,
    /// Requests that a server runs at once.
    pub slots: u32,
}

impl WaitTable {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns whether requests wait for a service and model.
    pub(crate) fn is_queued(&self, key: &QueueKey) -> bool {
        let queue = self.queues.get(key);
        queue.is_some_and(|queue| !queue.order.is_empty())
    }

    /// Adds a request; the id in `entry` is replaced by the ticket's.
    pub(crate) fn push(
        &mut self,
        now: Instant,
        key: QueueKey,
        requested: Option<RequestedModel>,
        entry: WaitingRequest,
    ) -> TicketId {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        self.keys.insert(ticket, key.clone());
        let queue = self.queues.entry(key).or_default();
        let state = Ticket {
            requested,
            began: now,
            deadline: entry.deadline,
            tried: Vec::new(),
            cause: None,
            load: None,
            blocked: None,
            estimated_at: None,
            is_probe: false,
            declined: None,
        };
        queue.tickets.insert(ticket, state);
        let entry = WaitingRequest {
            request: ticket,
            ..entry
        };
        queue.order.push(now, entry);
        ticket
    }

    /// Sets the servers that a request may not use.
    pub(crate) fn set_tried(&mut self, id: TicketId, tried: &[ServerId]) {
        if let Some(ticket) = self.ticket(id)
            && ticket.tried != tried
        {
            ticket.tried = tried.to_vec();
        }
    }

    /// Returns the request that ranks above `id` and can use `server`, `None` if `id` may use it now.
    ///
    /// `serves` is whether the server can run a request for a model.
    pub(crate) fn rival<F>(
        &mut self,
        now: Instant,
        id: TicketId,
        server: &ServerId,
        serves: F,
    ) -> Option<TicketId>
    where
        F: Fn(Option<&RequestedModel>) -> bool,
    {
        let queue = self.queues.get_mut(self.keys.get(&id)?)?;
        let tickets = &queue.tickets;
        let can_run = |other| {
            other == id
                || tickets.get(&other).is_some_and(|ticket: &Ticket| {
                    let has_declined = ticket.declined.as_ref().is_some_and(|(declined, at)| {
                        declined == server && now.saturating_duration_since(*at) < DECLINE_LIFETIME
                    });
                    !has_declined
                        && now < ticket.deadline
                        && !ticket.tried.contains(server)
                        && serves(ticket.requested.as_ref())
                })
        };
        let rival = queue.order.next(now, can_run)?;
        if rival == id {
            return None;
        }
        if let Some(ticket) = queue.tickets.get_mut(&rival) {
            ticket.blocked = Some((id, server.clone()));
        }
        Some(rival)
    }

    /// Records that a request has to wait on; returns the one that left it a free server, if any.
    pub(crate) fn record_wait(
        &mut self,
        now: Instant,
        id: TicketId,
        times: PlaceTimes,
    ) -> Option<TicketId> {
        self.record_places(now, id, times);
        let ticket = self.ticket(id)?;
        let (blocked, server) = ticket.blocked.take()?;
        ticket.declined = Some((server, now));
        Some(blocked)
    }

    // Records what a request waits for, and how long the load took if that has just ended.
    fn record_places(&mut self, now: Instant, id: TicketId, times: PlaceTimes) {
        let Some(ticket) = self.ticket(id) else {
            return;
        };
        if !times.is_held {
            ticket.cause = Some(WaitCause::Load);
            ticket.load = ticket.load.or(times.load.map(|load| (now, load)));
            return;
        }
        ticket.cause.get_or_insert(WaitCause::Slot);
        if let Some((began, expected)) = ticket.load.take() {
            ticket.cause = Some(WaitCause::Slot);
            let time = now.saturating_duration_since(began);
            let delay = time.as_secs_f64() - expected.as_secs_f64();
            if let Some((service, _)) = self.keys.get(&id) {
                let loads = self.loads.entry(service.clone()).or_default();
                loads.record(now, delay);
            }
        }
    }

    /// Removes a request that a server gets or that no longer waits; returns the one that left it a
    /// free server, otherwise the one whose turn it is then.
    pub(crate) fn remove(
        &mut self,
        now: Instant,
        id: TicketId,
        is_served: bool,
    ) -> Option<TicketId> {
        if is_served {
            let times = PlaceTimes {
                is_held: true,
                ..PlaceTimes::default()
            };
            // A request that gets a server at once has waited for nothing.
            if self.ticket(id).is_some_and(|ticket| ticket.cause.is_some()) {
                self.record_places(now, id, times);
            }
        }
        let key = self.keys.remove(&id)?;
        let correction = self.corrections.entry(key.0.clone()).or_default();
        let queue = self.queues.get_mut(&key)?;
        let ticket = queue.tickets.remove(&id)?;
        // A client that leaves early shows nothing.
        let is_over = is_served || now + PROBE_END >= ticket.deadline;
        if ticket.cause == Some(WaitCause::Load)
            && let Some((began, load)) = ticket.load
        {
            // It took at least that long.
            let time = now.saturating_duration_since(began);
            if time > load {
                let delay = (time - load).as_secs_f64();
                self.loads
                    .entry(key.0.clone())
                    .or_default()
                    .record(now, delay);
            }
        }
        if ticket.is_probe && is_over && ticket.cause == Some(WaitCause::Slot) {
            let factor = if is_served {
                SERVED_PROBE_FACTOR
            } else {
                LATE_PROBE_FACTOR
            };
            correction.factor = (correction.factor * factor).clamp(MIN_CORRECTION, 1.0);
        }
        if is_served {
            queue.order.take(now, id);
        } else {
            queue.order.remove(id);
        }
        // Requests that stop waiting make room for those behind them as well as served ones, except
        // those refused at once, which nobody waited behind.
        if ticket.cause == Some(WaitCause::Slot) && (is_served || now > ticket.began) {
            let mut others = queue.tickets.values();
            let others_wait = others.any(|other| other.cause == Some(WaitCause::Slot));
            queue.drain.record_start(now, others_wait);
            queue.drained_at = Some(now);
        }
        let blocked = ticket.blocked.map(|(blocked, _)| blocked);
        blocked
            .filter(|blocked| queue.tickets.contains_key(blocked))
            .or_else(|| queue.order.next(now, |_| true))
    }

    /// Returns whether the turn of a request should be estimated again, and if so, records that it is.
    pub(crate) fn begin_estimate(&mut self, now: Instant, id: TicketId) -> bool {
        let Some(ticket) = self.ticket(id) else {
            return false;
        };
        let is_due = ticket
            .estimated_at
            .is_none_or(|at| now.saturating_duration_since(at) >= ESTIMATE_INTERVAL);
        if is_due {
            ticket.estimated_at = Some(now);
        }
        is_due
    }

    /// Returns when the turn of a request is expected, `None` if that is unknown.
    pub(crate) fn estimate(
        &mut self,
        now: Instant,
        id: TicketId,
        times: PlaceTimes,
    ) -> Option<TurnEstimate> {
        let key = self.keys.get(&id)?;
        let queue = self.queues.get_mut(key)?;
        let position = queue.order.position(now, id)?;
        if times.is_held || times.load.is_none() {
            let (expected, earliest) = match queue.turn_bounds(now, position) {
                Some((expected, earliest)) => match queue.order.raised_position(now, id) {
                    Some((raise_at, raised)) => {
                        let bounds = queue.turn_bounds(now, raised).unwrap_or_default();
                        let left = raise_at.saturating_duration_since(now);
                        (
                            expected.min(left.max(bounds.0)),
                            earliest.min(left.max(bounds.1)),
                        )
                    }
                    None => (expected, earliest),
                },
                // A running request may end at any time.
                None => (times.load?, Duration::ZERO),
            };
            return Some(TurnEstimate {
                position,
                cause: WaitCause::Slot,
                expected,
                earliest,
            });
        }
        let unmeasured = LoadDelays::default();
        let loads = self.loads.get(&key.0).unwrap_or(&unmeasured);
        let (mut expected, mut earliest) = loads.bounds(now, times.load?, Duration::ZERO);
        // The load may have begun with the wait, though this instance does not know of it.
        if let Some((began, load)) = queue.tickets.get(&id)?.load {
            let elapsed = now.saturating_duration_since(began);
            let bounds = loads.bounds(now, load, elapsed);
            (expected, earliest) = (expected.min(bounds.0), earliest.min(bounds.1));
        }
        // Requests beyond the slots of the server that loads the model also wait for a slot.
        let starts = (position + 1).saturating_sub(times.slots.max(1) as usize);
        if starts > 0
            && let Some(bounds) = queue.turn_bounds(now, starts - 1)
        {
            expected += bounds.0;
            earliest += bounds.1;
        }
        Some(TurnEstimate {
            position,
            cause: WaitCause::Load,
            expected,
            earliest,
        })
    }

    /// Returns whether to refuse a request whose turn is expected too late, `left` being the time in
    /// which it must come. Some such requests wait on as probes.
    pub(crate) fn should_refuse(
        &mut self,
        id: TicketId,
        estimate: &TurnEstimate,
        times: PlaceTimes,
        left: Duration,
    ) -> bool {
        let Some((service, _)) = self.keys.get(&id) else {
            return false;
        };
        let correction = self.corrections.entry(service.clone()).or_default();
        let earliest = match estimate.cause {
            WaitCause::Slot => estimate.earliest.mul_f64(correction.factor),
            WaitCause::Load => estimate.earliest,
        };
        if earliest < left {
            return false;
        }
        let load = times.load.unwrap_or_default();
        if estimate.cause == WaitCause::Load && load.saturating_sub(LOAD_VIEW_LAG) >= left {
            // Even a load without a delay ends too late.
            return true;
        }
        correction.late = correction.late.wrapping_add(1);
        let is_probe = correction.late.is_multiple_of(PROBE_INTERVAL);
        let Some(ticket) = self.ticket(id) else {
            return false;
        };
        ticket.is_probe |= is_probe;
        !ticket.is_probe
    }

    /// Returns when a refused client should return; `left` is the time until its deadline.
    ///
    /// Clients return one after the other as the queue drains. Those who can't be told so late, since
    /// they would not wait so long, are spread over the time that they can wait.
    pub(crate) fn retry_after(
        &mut self,
        now: Instant,
        id: TicketId,
        estimate: &TurnEstimate,
        times: PlaceTimes,
        left: Duration,
    ) -> Option<Duration> {
        let queue = self.queues.get_mut(self.keys.get(&id)?)?;
        let useful = left / 3;
        let gap = queue
            .drain_time(now, 1)
            .or(times.load.map(|load| load / times.slots.max(1)))
            .unwrap_or(MIN_RETURN_GAP)
            .max(MIN_RETURN_GAP);
        let first = now + estimate.expected;
        let turn = queue.next_return.map_or(first, |next| next.max(first));
        let after = turn.saturating_duration_since(now);
        if after <= useful {
            queue.next_return = Some(turn + gap);
            return Some(after);
        }
        queue.refusals = queue.refusals.wrapping_add(1);
        let fraction = (f64::from(queue.refusals) * GOLDEN_FRACTION).fract();
        Some(useful.mul_f64(fraction))
    }

    fn ticket(&mut self, id: TicketId) -> Option<&mut Ticket> {
        let queue = self.queues.get_mut(self.keys.get(&id)?)?;
        queue.tickets.get_mut(&id)
    }
}

// Returns the fraction of the expected time of a number of starts before which only `EARLY_SHARE` of
// such times end, if the starts are independent of each other (Wilson and Hilferty's approximation
// of the gamma distribution).
fn early_fraction(starts: usize) -> f64 {
    let starts = starts.max(1) as f64;
    let root = 1.0 - 1.0 / (9.0 * starts) - EARLY_QUANTILE / (3.0 * starts.sqrt());
    root.max(0.0).powi(3)
}
