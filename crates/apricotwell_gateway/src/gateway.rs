//! State shared by all tasks of an instance.

use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use apricotwell_dispatch::prelude::*;
use apricotwell_http::connections::Connections;
use apricotwell_http::pool::ConnectionPool;
use apricotwell_messages::StreamAnswer;
use apricotwell_types::Map;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::adapter::Platform;
use crate::budget::Budget;
use crate::clock::BootClock;
use crate::crash_checks::CrashChecks;
use crate::feed_queries::FeedQueries;
use crate::metrics::Metrics;
use crate::pending::PendingQuestions;
use crate::software::SoftwareReads;
use crate::stream_log::StreamLog;
use crate::stream_notices::StreamNotices;

/// Limit on open client connections. The process has about 4000 file descriptors; the remaining
/// ones are for connections to servers.
const MAX_CONNECTIONS: usize = 2500;
/// Limit on the bytes of request bodies in memory, well below an instance's memory.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Limit on the bytes of plain responses that are being received, well below an instance's memory.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Limit on the bytes of incomplete events that are held beyond the first ones of each stream.
const MAX_EVENT_BYTES: usize = 12 << 20;

/// Part of the grace period reserved for the exit of the process itself.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(900);

/// Addresses on which an instance listens.
#[derive(Clone, Debug)]
pub struct ListenAddresses {
    /// Requests of clients.
    pub clients: String,
    /// Readiness checks.
    pub readiness: String,
    /// Lookups of the addresses that clients can connect to.
    pub lookup: String,
    /// Datagrams and passed-on requests of other instances; also the instance's identity in the fleet.
    pub peers: String,
    /// Metrics; `None` if they are not served.
    pub metrics: Option<String>,
}

/// Configured durations of an instance.
#[derive(Clone, Copy, Debug)]
pub struct Timings {
    /// Time between a request to stop and the exit of the process.
    pub grace: Duration,
    /// Time for which clients may cache the response to an address lookup.
    pub lookup_ttl: Duration,
}

/// An instance: decision state, connections and platform adapter.
pub struct Gateway<P>
where
    P: Platform,
{
    /// Decision logic and its state.
    pub dispatcher: RefCell<Dispatcher>,
    /// Clock for all decisions.
    pub clock: BootClock,
    /// Connections to servers and to the store.
    pub pool: Rc<ConnectionPool>,
    /// Client of the platform's store.
    pub store: P::Store,
    /// Client of the model engines.
    pub engines: P::EngineClient,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Addresses on which the instance listens.
    pub listeners: ListenAddresses,
    /// Configured durations.
    pub timings: Timings,
    /// Notified when a waiting request may find a server.
    pub servers_changed: Notify,
    /// Waiting requests by ticket, each notified when it should look for a server again.
    pub turns: RefCell<Map<TicketId, Rc<Notify>>>,
    /// Notified when the views of the feeds must be confirmed at once.
    pub views_due: Notify,
    /// Notified when a change should be sent to all other instances at once.
    pub heartbeat_due: Notify,
    /// Notified when new demand should be sent to the lease holder with the next heartbeat.
    pub demand_changed: Notify,
    /// Notified when new demand should be sent to the lease holder at once.
    pub waits_changed: Notify,
    /// Notified when a server accepted no connection.
    pub reach_doubted: Notify,
    /// Notified when a request needs a permit for a server with a limit.
    pub permits_due: Notify,
    /// Notified when the models loaded on servers may have changed.
    pub inventory_changed: Notify,
    /// Notified when instances that wait for a model may have to be told of a server.
    pub notices_due: Notify,
    /// Notified when the placement should be planned again.
    pub replan: Notify,
    /// Servers that may have ended.
    pub crash_checks: CrashChecks,
    /// Pending feed queries to other instances.
    pub feed_queries: FeedQueries,
    /// Questions to other instances whether they respond.
    pub liveness: PendingQuestions<()>,
    /// Questions to other instances at which versions streams began.
    pub stream_queries: PendingQuestions<StreamAnswer>,
    /// Notices of streams to other instances.
    pub stream_notices: StreamNotices,
    /// Reads of the record of software versions for clients that resume streams.
    pub software_reads: SoftwareReads,
    /// Appends to the log of saved streams, and position up to which it was read.
    pub stream_log: StreamLog,
    /// Socket for datagrams to other instances; set once the instance listens.
    pub peer_socket: OnceCell<Rc<UdpSocket>>,
    /// Open client connections.
    pub connections: Rc<Connections>,
    /// Budget of client connections.
    pub connection_budget: Budget,
    /// Budget of request body bytes.
    pub body_budget: Budget,
    /// Budget of response bytes.
    pub response_budget: Budget,
    /// Budget of bytes of incomplete events.
    pub event_budget: Budget,
    /// Number of requests being served.
    pub active_requests: Cell<usize>,
    /// Time of the request to stop; `None` before it.
    pub stop_requested: Cell<Option<Instant>>,
}

impl<P> Gateway<P>
where
    P: Platform,
{
    /// Creates an instance that has not yet read any feed.
    pub fn new(
        config: InstanceConfig,
        listeners: ListenAddresses,
        timings: Timings,
        pool: Rc<ConnectionPool>,
        store: P::Store,
        engines: P::EngineClient,
    ) -> Rc<Self> {
        let feed_queries = FeedQueries::new(config.incarnation);
        let stream_queries = PendingQuestions::new(config.incarnation);
        let stream_notices = StreamNotices::new(config.incarnation);
        let liveness = PendingQuestions::new(config.incarnation);
        let mut dispatcher = Dispatcher::new(config);
        dispatcher.software.require_record();
        Rc::new(Self {
            dispatcher: RefCell::new(dispatcher),
            clock: BootClock::new(),
            pool,
            store,
            engines,
            metrics: Metrics::new(),
            listeners,
            timings,
            servers_changed: Notify::new(),
            turns: RefCell::default(),
            views_due: Notify::new(),
            heartbeat_due: Notify::new(),
            demand_changed: Notify::new(),
            waits_changed: Notify::new(),
            reach_doubted: Notify::new(),
            permits_due: Notify::new(),
            inventory_changed: Notify::new(),
            notices_due: Notify::new(),
            replan: Notify::new(),
            crash_checks: CrashChecks::default(),
            feed_queries,
            liveness,
            stream_queries,
            stream_notices,
            software_reads: SoftwareReads::default(),
            stream_log: StreamLog::default(),
            peer_socket: OnceCell::new(),
            connections: Rc::default(),
            connection_budget: Budget::new(MAX_CONNECTIONS),
            body_budget: Budget::new(MAX_BODY_BYTES),
            response_budget: Budget::new(MAX_RESPONSE_BYTES),
            event_budget: Budget::new(MAX_EVENT_BYTES),
            active_requests: Cell::new(0),
            stop_requested: Cell::new(None),
        })
    }

    /// Returns the current time of the decision clock.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Records that the store answered a call.
    pub fn record_store_answer(&self) {
        let now = self.now();
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.feeds.contact.record_answer(now);
    }

    /// Records that a call of the store that began at `start` has failed.
    pub fn record_store_failure(&self, start: Instant) {
        let now = self.now();
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.feeds.record_failure(now, start);
    }

    /// Returns the time after a request to stop at which connections are closed.
    pub fn stop_time(&self) -> Duration {
        self.timings.grace.saturating_sub(SHUTDOWN_MARGIN)
    }

    /// Lets a waiting request look for a server again.
    pub fn wake_turn(&self, ticket: TicketId) {
        if let Some(due) = self.turns.borrow().get(&ticket) {
            due.notify_one();
        }
    }

    /// Returns the time since the request to stop, `None` before it.
    pub fn time_since_stop(&self) -> Option<Duration> {
        let stop_requested = self.stop_requested.get()?;
        Some(self.now().saturating_duration_since(stop_requested))
    }
}
