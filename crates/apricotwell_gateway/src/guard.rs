//! Guards that give back what a request holds, however it ends.

use std::rc::Rc;

use apricotwell_dispatch::prelude::*;
use apricotwell_types::ServerId;

use crate::adapter::Platform;
use crate::gateway::Gateway;

/// Counts a request as being served until it is dropped.
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

/// Counts a request as in flight at a server until it is dropped.
pub struct FlightGuard<P>
where
    P: Platform,
{
    gateway: Rc<Gateway<P>>,
    /// Server.
    pub server: ServerId,
}

impl<P> FlightGuard<P>
where
    P: Platform,
{
    /// Counts one request at `server`, which has to read `tokens` of its prompt.
    pub fn new(gateway: &Rc<Gateway<P>>, server: ServerId, tokens: f64) -> Self {
        let now = gateway.now();
        let mut dispatcher = gateway.dispatcher.borrow_mut();
        dispatcher.backends.note_start(now, &server, tokens);
        drop(dispatcher);
        Self {
            gateway: Rc::clone(gateway),
            server,
        }
    }

    /// Notes whether the server answered as it should.
    pub fn record_outcome(&self, failed: bool) {
        let now = self.gateway.now();
        let mut dispatcher = self.gateway.dispatcher.borrow_mut();
        dispatcher.backends.note_outcome(now, &self.server, failed);
    }
}

impl<P> Drop for FlightGuard<P>
where
    P: Platform,
{
    fn drop(&mut self) {
        let mut dispatcher = self.gateway.dispatcher.borrow_mut();
        dispatcher.backends.note_end(&self.server);
        drop(dispatcher);
        self.gateway.servers_changed.notify_waiters();
    }
}

/// Counts a request as waiting for a model until it is dropped.
pub struct WaitGuard<P>
where
    P: Platform,
{
    gateway: Rc<Gateway<P>>,
    service: ServiceId,
    wanted: RequestedModel,
    wait: u64,
}

impl<P> WaitGuard<P>
where
    P: Platform,
{
    /// Counts one request, `None` if it wants no model.
    pub fn new(gateway: &Rc<Gateway<P>>, admission: &Admission) -> Option<Self> {
        let wanted = admission.wanted.clone()?;
        let now = gateway.now();
        let wait = gateway.dispatcher.borrow_mut().demand.begin_wait(
            now,
            &admission.service,
            &wanted,
            admission.silence,
        );
        gateway.demand_changed.notify_one();
        gateway.replan.notify_one();
        Some(Self {
            gateway: Rc::clone(gateway),
            service: admission.service.clone(),
            wanted,
            wait,
        })
    }
}

impl<P> Drop for WaitGuard<P>
where
    P: Platform,
{
    fn drop(&mut self) {
        let mut dispatcher = self.gateway.dispatcher.borrow_mut();
        let demand = &mut dispatcher.demand;
        demand.end_wait(&self.service, &self.wanted, self.wait);
    }
}
