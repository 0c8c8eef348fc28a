//! RAII guards that undo the accounting of a request on drop.

use std::rc::Rc;
use std::time::Instant;

use apricotwell_dispatch::prelude::*;
use apricotwell_types::ServerId;
use tokio::sync::Notify;

use crate::adapter::Platform;
use crate::events::Event;
use crate::gateway::Gateway;

/// Counts a request as being served until the guard is dropped.
pub struct ActiveGuard<P>
where
    P: Platform,
{
    gateway: Rc<Gateway<P>>,
}

impl<P> ActiveGuard<P>
where
    P: Platform,
{
    /// Counts one request.
    pub fn new(gateway: &Rc<Gateway<P>>) -> Self {
        gateway
            .active_requests
            .set(gateway.active_requests.get() + 1);
        Self {
            gateway: Rc::clone(gateway),
        }
    }
}

impl<P> Drop for ActiveGuard<P>
where
    P: Platform,
{
    fn drop(&mut self) {
        let active = &self.gateway.active_requests;
        active.set(active.get().saturating_sub(1));
    }
}

/// Counts a request as in flight on a server until the guard is dropped.
pub struct FlightGuard<P>
where
    P: Platform,
{
    gateway: Rc<Gateway<P>>,
    /// Server that runs the request.
    pub server: ServerId,
    // Service and model whose demand counts the request as running.
    run: Option<(ServiceId, RequestedModel)>,
    // Progress of the request on a model engine; `None` if it isn't tracked.
    progress: Option<RequestProgress>,
}

impl<P> FlightGuard<P>
where
    P: Platform,
{
    /// Counts one request on `server`, which has to process `tokens` prompt tokens for it.
    pub fn new(gateway: &Rc<Gateway<P>>, server: ServerId, tokens: f64) -> Self {
        let now = gateway.now();
        let mut dispatcher = gateway.dispatcher.borrow_mut();
        dispatcher.backends.begin_request(now, &server, tokens);
        dispatcher.limited.permits.take(now, &server);
        drop(dispatcher);
        Self {
            gateway: Rc::clone(gateway),
            server,
            run: None,
            progress: None,
        }
    }

    /// Counts the load of the request on a model engine as well.
    #[must_use]
    pub fn with_load(mut self, load: Option<RequestLoad>) -> Self {
        if let Some(load) = load {
            let mut dispatcher = self.gateway.dispatcher.borrow_mut();
            dispatcher.begin_load(&self.server, &load);
            drop(dispatcher);
            self.progress = Some(RequestProgress::new(self.gateway.now(), load));
        }
        self
    }

    /// Records that events of the response were received.
    pub fn record_events(&mut self, now: Instant, model: &ModelName, events: u32) {
        let Some(progress) = &mut self.progress else {
            return;
        };
        let mut dispatcher = self.gateway.dispatcher.borrow_mut();
        let change = dispatcher.record_events(now, &self.server, model, progress, events);
        drop(dispatcher);
        let Some(change) = change else {
            return;
        };
        let (event, outcome) = match change {
            SpeedChange::Slow => ("server_slow", "slow"),
            SpeedChange::Recovered => ("server_recovered", "recovered"),
        };
        Event::new(event).with("server", &*self.server).log();
        self.gateway.metrics.count_speed_change(outcome);
        self.gateway.heartbeat_due.notify_one();
    }

    /// Counts the request in the demand for its model as well.
    #[must_use]
    pub fn with_run(mut self, admission: &Admission) -> Self {
        if let Some(requested) = &admission.requested_model {
            let (gateway, service) = (&self.gateway, &admission.service);
            let now = gateway.now();
            let mut dispatcher = gateway.dispatcher.borrow_mut();
            dispatcher
                .demand
                .begin_run(now, service, requested, &self.server);
            drop(dispatcher);
            self.run = Some((service.clone(), requested.clone()));
        }
        self
    }

    /// Records whether the server failed the request.
    pub fn record_outcome(&self, failed: bool) {
        let now = self.gateway.now();
        let mut dispatcher = self.gateway.dispatcher.borrow_mut();
        dispatcher
            .backends
            .record_outcome(now, &self.server, failed);
    }
}

impl<P> Drop for FlightGuard<P>
where
    P: Platform,
{
    fn drop(&mut self) {
        let mut dispatcher = self.gateway.dispatcher.borrow_mut();
        dispatcher.backends.end_request(&self.server);
        if let Some((service, requested)) = &self.run {
            let now = self.gateway.now();
            dispatcher
                .demand
                .end_run(now, service, requested, &self.server);
        }
        if let Some(progress) = &self.progress {
            dispatcher.end_load(self.gateway.now(), &self.server, progress);
        }
        drop(dispatcher);
        self.gateway.servers_changed.notify_waiters();
    }
}

/// Counts a request as waiting for a permit until the guard is dropped.
pub struct PermitGuard<P>
where
    P: Platform,
{
    gateway: Rc<Gateway<P>>,
    /// Server that the permit is for.
    pub server: ServerId,
}

impl<P> PermitGuard<P>
where
    P: Platform,
{
    /// Counts one request.
    pub fn new(gateway: &Rc<Gateway<P>>, server: ServerId) -> Self {
        let mut dispatcher = gateway.dispatcher.borrow_mut();
        dispatcher.limited.permits.begin_wait(&server);
        gateway.permits_due.notify_one();
        Self {
            gateway: Rc::clone(gateway),
            server,
        }
    }
}

impl<P> Drop for PermitGuard<P>
where
    P: Platform,
{
    fn drop(&mut self) {
        let mut dispatcher = self.gateway.dispatcher.borrow_mut();
        dispatcher.limited.permits.end_wait(&self.server);
    }
}

/// Counts a request as waiting for a model until the guard is dropped.
pub struct WaitGuard<P>
where
    P: Platform,
{
    gateway: Rc<Gateway<P>>,
    service: ServiceId,
    model: RequestedModel,
    wait_id: u64,
    started: Instant,
}

impl<P> WaitGuard<P>
where
    P: Platform,
{
    /// Counts one request; returns `None` if it requests no model.
    pub fn new(gateway: &Rc<Gateway<P>>, admission: &Admission) -> Option<Self> {
        let model = admission.requested_model.clone()?;
        let now = gateway.now();
        let mut dispatcher = gateway.dispatcher.borrow_mut();
        let wait_id = dispatcher.demand.begin_wait(
            now,
            &admission.service,
            &model,
            admission.silence_deadline,
        );
        if dispatcher.expects_waits() {
            gateway.waits_changed.notify_one();
        } else {
            gateway.demand_changed.notify_one();
        }
        drop(dispatcher);
        gateway.replan.notify_one();
        Some(Self {
            gateway: Rc::clone(gateway),
            service: admission.service.clone(),
            model,
            wait_id,
            started: now,
        })
    }
}

impl<P> Drop for WaitGuard<P>
where
    P: Platform,
{
    fn drop(&mut self) {
        let waited = self.gateway.now().saturating_duration_since(self.started);
        self.gateway.metrics.observe_model_wait(waited);
        let mut dispatcher = self.gateway.dispatcher.borrow_mut();
        let demand = &mut dispatcher.demand;
        demand.end_wait(&self.service, &self.model, self.wait_id);
    }
}

/// Holds the ticket of a waiting request until the guard is dropped.
pub struct TurnGuard<P>
where
    P: Platform,
{
    gateway: Rc<Gateway<P>>,
    /// Ticket.
    pub ticket: TicketId,
    /// Whether the wait ends since a server was selected.
    pub is_served: bool,
    due: Rc<Notify>,
}

impl<P> TurnGuard<P>
where
    P: Platform,
{
    /// Queues one request, whose target counts from `since`.
    pub fn new(
        gateway: &Rc<Gateway<P>>,
        admission: &Admission,
        request: &RequestHead,
        since: Instant,
    ) -> Self {
        let now = gateway.now();
        let mut dispatcher = gateway.dispatcher.borrow_mut();
        let ticket = dispatcher.begin_turn(now, admission, request, since);
        gateway.metrics.set_waiting(dispatcher.waits.len());
        let due = Rc::<Notify>::default();
        gateway.turns.borrow_mut().insert(ticket, Rc::clone(&due));
        Self {
            gateway: Rc::clone(gateway),
            ticket,
            is_served: false,
            due,
        }
    }

    /// Waits until the request should decide again because of another waiting one.
    pub async fn due(&self) {
        self.due.notified().await;
    }
}

impl<P> Drop for TurnGuard<P>
where
    P: Platform,
{
    fn drop(&mut self) {
        let now = self.gateway.now();
        let mut dispatcher = self.gateway.dispatcher.borrow_mut();
        let next = dispatcher.end_turn(now, self.ticket, self.is_served);
        let waiting = dispatcher.waits.len();
        drop(dispatcher);
        self.gateway.metrics.set_waiting(waiting);
        self.gateway.turns.borrow_mut().remove(&self.ticket);
        if let Some(next) = next {
            self.gateway.wake_turn(next);
        }
    }
}
