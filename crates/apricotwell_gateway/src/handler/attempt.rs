//! Where an attempt is sent, and how it ends.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use apricotwell_dispatch::prelude::*;
use apricotwell_http::pool::StreamingResponse;
use apricotwell_permits::prelude::RequestRate;
use apricotwell_types::ServerId;

use super::RequestHandler;
use crate::adapter::Platform;
use crate::guard::FlightGuard;

/// Fraction of the timeout for the head of a response that a new connection may take.
const CONNECT_FRACTION: f64 = 0.9;

/// Where an attempt is sent.
#[derive(Clone, Debug)]
pub struct Destination {
    /// Server, or the instance that the request is passed on to.
    pub id: ServerId,
    /// Address.
    pub address: SocketAddr,
    /// Whether it is an instance.
    pub is_instance: bool,
}

/// Outcome of one attempt.
pub enum AttemptOutcome<P>
where
    P: Platform,
{
    /// The server responded to this attempt.
    Response(Box<StreamingResponse>, FlightGuard<P>),
    /// Nothing of the attempt was sent; holds the reason.
    Unsent(String),
    /// The server did not run the attempt; holds the reason.
    NotRun(String),
    /// The server may have run the attempt, but there is no valid response; holds the reason.
    Lost(String),
    /// The server has not responded in time, and the retry for another one is taken.
    Late,
}

impl<P> AttemptOutcome<P>
where
    P: Platform,
{
    /// Returns the name of the outcome in metrics.
    pub(super) fn name(&self) -> &'static str {
        match self {
            Self::Response(..) => "response",
            Self::Unsent(_) => "unsent",
            Self::NotRun(_) => "not_run",
            Self::Lost(_) => "lost",
            Self::Late => "late",
        }
    }
}

/// What the handler knows of the attempt whose response is being received, kept while another one is made.
pub struct FormerAttempt {
    /// When it was sent.
    pub sent_at: Instant,
    server_found: Option<Instant>,
    software: Option<SoftwareVersion>,
    server_limit: Option<RequestRate>,
    list_age: Option<Duration>,
    store_contact: Option<Duration>,
}

impl<P> RequestHandler<P>
where
    P: Platform,
{
    /// Returns what is known of the last attempt.
    pub fn former_attempt(&self) -> FormerAttempt {
        FormerAttempt {
            sent_at: self.sent_at,
            server_found: self.server_found,
            software: self.software.sent.clone(),
            server_limit: self.trace.server_limit,
            list_age: self.trace.list_age,
            store_contact: self.trace.store_contact,
        }
    }

    /// Goes back to the attempt at `server`, whose response goes on after all.
    pub fn resume_attempt(&mut self, former: FormerAttempt, server: &ServerId) {
        self.sent_at = former.sent_at;
        self.server_found = former.server_found;
        self.software.sent = former.software;
        self.trace.server_limit = former.server_limit;
        self.trace.list_age = former.list_age;
        self.trace.store_contact = former.store_contact;
        let position = self.excluded.iter().rposition(|other| other == server);
        if let Some(position) = position {
            self.excluded.remove(position);
        }
    }

    /// Accounts for an attempt that was dropped before it ended. A server that it was sent to may have begun to run
    /// it.
    pub fn cancel_attempt(&mut self, reason: &str) {
        let Some(server) = self.under_way.take() else {
            return;
        };
        if self.is_sent.get() {
            self.runs += 1;
        }
        self.log_attempt(&server, "cancelled", reason, None);
    }

    // Returns the timeout for a new connection. It ends before the others, so that a request that was
    // not sent is known not to have run.
    pub(super) fn connect_timeout(&self) -> Duration {
        self.head_timeout().mul_f64(CONNECT_FRACTION)
    }

    // Returns whether a server that was selected may still receive the request: it is in the list at the
    // same address, does not drain, and its zone is not evacuated. A list that is too old says nothing.
    pub(super) fn may_send(&self, destination: &Destination) -> bool {
        if self.is_list_overdue() {
            return false;
        }
        let now = self.gateway.now();
        let dispatcher = self.gateway.dispatcher.borrow();
        let backends = &dispatcher.backends;
        backends.get(&destination.id).is_some_and(|server| {
            server.entry.address == destination.address && backends.is_usable(now, server)
        })
    }
}
