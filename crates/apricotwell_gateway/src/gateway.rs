//! What all tasks of one instance share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use apricotwell_dispatch::prelude::*;
use tokio::sync::Notify;

use crate::adapter::Platform;
use crate::asking::Questions;
use crate::budget::Budget;
use crate::clock::BootClock;
use crate::metrics::Metrics;
use crate::pool::ConnectionPool;

/// Connections of callers at once: of some four thousand descriptors, the rest is for servers.
const MAX_CONNECTIONS: usize = 2500;
/// Bytes of bodies held at once, well below an instance's memory.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Addresses on which an instance listens.
#[derive(Clone, Debug)]
pub struct ListenAddresses {
    /// For callers.
    pub clients: String,
    /// For questions whether the instance is ready.
    pub readiness: String,
    /// For questions where to connect.
    pub lookup: String,
    /// For heartbeats of other instances; names the instance.
    pub peers: String,
    /// For metrics, if they are served.
    pub metrics: Option<String>,
}

/// Times of an instance's shell.
#[derive(Clone, Copy, Debug)]
pub struct Timings {
    /// Time between a request to stop and the end of the process.
    pub grace: Duration,
    /// Time within which a leaving server must get no more work.
    pub drain: Duration,
    /// Lifetime of answers to look-ups.
    pub lookup_ttl: Duration,
}

/// Instance with its decisions, its connections and its adapter.
pub struct Gateway<P>
where
    P: Platform,
{
    /// Decisions.
    pub dispatcher: RefCell<Dispatcher>,
    /// Clock of all decisions.
    pub clock: BootClock,
    /// Connections to servers.
    pub pool: Rc<ConnectionPool>,
    /// Store.
    pub store: P::Store,
    /// Orders.
    pub engines: P::EngineClient,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Addresses.
    pub listeners: ListenAddresses,
    /// Times.
    pub times: Timings,
    /// Told when a waiting request may find a server.
    pub changed: Notify,
    /// Told when all other instances should hear of a change.
    pub gossip: Notify,
    /// Told when the lease holder should hear of demand.
    pub urging: Notify,
    /// Told when what servers hold may have changed.
    pub restocked: Notify,
    /// Told when the placement should be planned anew.
    pub planning: Notify,
    /// Told once when the process is to stop.
    pub stopping: Notify,
    /// Questions to other instances.
    pub questions: Questions,
    /// Connections of callers.
    pub connections: Budget,
    /// Bytes of requests' bodies.
    pub bodies: Budget,
    /// Requests being served.
    pub active: Cell<usize>,
    /// When the request to stop came.
    pub stopped: Cell<Option<Instant>>,
}

impl<P> Gateway<P>
where
    P: Platform,
{
    /// Returns an instance that knows nothing yet.
    pub fn new(
        facts: InstanceConfig,
        listeners: ListenAddresses,
        times: Timings,
        pool: Rc<ConnectionPool>,
        store: P::Store,
        engines: P::EngineClient,
    ) -> Rc<Self> {
        let questions = Questions::new(facts.incarnation);
        Rc::new(Self {
            dispatcher: RefCell::new(Dispatcher::new(facts)),
            clock: BootClock::new(),
            pool,
            store,
            engines,
            metrics: Metrics::new(),
            listeners,
            times,
            changed: Notify::new(),
            gossip: Notify::new(),
            urging: Notify::new(),
            restocked: Notify::new(),
            planning: Notify::new(),
            stopping: Notify::new(),
            questions,
            connections: Budget::new(MAX_CONNECTIONS),
            bodies: Budget::new(MAX_BODY_BYTES),
            active: Cell::new(0),
            stopped: Cell::new(None),
        })
    }

    /// Returns the present instant.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the time since the request to stop, `None` before it.
    pub fn stopping_for(&self) -> Option<Duration> {
        let stopped = self.stopped.get()?;
        Some(self.now().saturating_duration_since(stopped))
    }
}
