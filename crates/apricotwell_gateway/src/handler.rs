//! Handling of one admitted request: server selection, attempts and retries.

mod attempt;
mod crashes;
mod detours;
mod late_heads;
mod limits;
mod retries;
mod versions;
mod waiting;

use std::cell::{Cell, OnceCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use apricotwell_dispatch::prelude::*;
use apricotwell_http::pool::{Reuse, SendError, StreamingResponse};
use apricotwell_quarantine::prelude::PartId;
use apricotwell_types::{Refusal, RefusalKind, RunOutcome, ServerId};
use http::request;

pub use self::attempt::{AttemptOutcome, Destination};
pub use self::crashes::BEGINNING_TIME;
pub use self::detours::NOT_SERVED;
use self::late_heads::LateHead;
use self::versions::StreamSoftware;
use crate::adapter::{Attempt, ClientProtocol, Platform};
use crate::events::Event;
use crate::gateway::Gateway;
use crate::guard::{ActiveGuard, FlightGuard};
use crate::leaving::{self, ServerProcess};
use crate::reach;
use crate::requests::{BufferedBody, Origin};
use crate::trace::{ReceivedBody, ResponseTrace};

/// Maximum idle time of a connection that is reused for a request that must not run twice.
const MAX_FRESH_IDLE: Duration = Duration::from_millis(1500);
/// Number of rejections by servers after which a request is refused.
const MAX_REJECTIONS: usize = 8;

/// An admitted request and the state of its attempts.
pub struct RequestHandler<P>
where
    P: Platform,
{
    /// Instance that serves the request.
    pub gateway: Rc<Gateway<P>>,
    /// Request head as received.
    pub head: request::Parts,
    /// Request body as received.
    pub body: BufferedBody,
    /// Decoded request head.
    pub request: RequestHead,
    /// Result of the admission.
    pub admission: Admission,
    /// Servers excluded from further attempts.
    pub excluded: Vec<ServerId>,
    /// Number of attempts that a server ran or may have run.
    pub runs: u32,
    // Number of attempts that could not be sent or that a server rejected without running them.
    rejections: usize,
    /// Time at which a server was selected for the last attempt.
    server_found: Option<Instant>,
    // When the last attempt was sent.
    sent_at: Instant,
    // Where an attempt without a response is under way.
    under_way: Option<ServerId>,
    // Whether it may have been sent.
    is_sent: Cell<bool>,
    // Parts of the request that may crash servers.
    parts: OnceCell<Vec<PartId>>,
    // Number of servers that were lost as they began to answer.
    losses: u32,
    /// Where the request comes from.
    pub origin: Origin,
    /// Software version behind the response, if it is a stream.
    pub software: StreamSoftware,
    // Number of instances that the request was passed on to.
    detours: Cell<u32>,
    /// Whether the response is another instance's refusal.
    pub is_refused_elsewhere: bool,
    /// Progress of the responses.
    pub trace: ResponseTrace,
    // Counts the request as active until its response has ended.
    _active: ActiveGuard<P>,
}

impl<P> RequestHandler<P>
where
    P: Platform,
{
    /// Creates the handler of a request that was just admitted.
    pub fn new(
        gateway: &Rc<Gateway<P>>,
        head: request::Parts,
        body: BufferedBody,
        request: RequestHead,
        admission: Admission,
        origin: Origin,
    ) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            head,
            body,
            request,
            admission,
            excluded: Vec::new(),
            runs: 0,
            rejections: 0,
            server_found: None,
            sent_at: gateway.now(),
            under_way: None,
            is_sent: Cell::new(false),
            parts: OnceCell::new(),
            losses: 0,
            origin,
            software: StreamSoftware::default(),
            detours: Cell::new(0),
            is_refused_elsewhere: false,
            trace: ResponseTrace::default(),
            _active: ActiveGuard::new(gateway),
        }
    }

    /// Returns the time until the request's deadline.
    pub fn remaining(&self) -> Duration {
        let now = self.gateway.now();
        self.admission.deadline.saturating_duration_since(now)
    }

    /// Restarts the client's timeout for the next event of the response.
    ///
    /// To be called when a stream is resumed, after the client has received part of it.
    pub fn reset_wait_deadline(&mut self) {
        let timeout = self.admission.route.silence_timeout();
        self.admission.silence_deadline =
            (self.gateway.now() + timeout).min(self.admission.deadline);
    }

    /// Sends attempts until a server responds; returns its response.
    ///
    /// # Errors
    ///
    /// Returns the refusal to send to the client.
    pub async fn first_response(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<(Box<StreamingResponse>, FlightGuard<P>), Refusal> {
        loop {
            self.check_grace()?;
            let destination = self.find_server().await?;
            self.check_grace()?;
            self.under_way = Some(destination.id.clone());
            self.is_sent.set(destination.is_instance);
            let outcome = if destination.is_instance {
                self.forward(&destination, last_event).await
            } else {
                self.send(&destination, last_event).await
            };
            self.under_way = None;
            let server = destination.id;
            match outcome {
                AttemptOutcome::Response(response, flight) => {
                    if destination.is_instance || !self.should_retry(&server, &response) {
                        return Ok((response, flight));
                    }
                    flight.record_outcome(true);
                    self.excluded.push(server);
                }
                AttemptOutcome::Unsent(reason) => {
                    self.log_attempt(&server, "not_run", UNSENT, Some(&reason));
                    self.on_rejection(&server, true)?;
                }
                AttemptOutcome::NotRun(reason) => {
                    self.log_attempt(&server, "not_run", &reason, None);
                    self.on_rejection(&server, false)?;
                }
                AttemptOutcome::Late => {
                    self.log_attempt(&server, "lost", LATE, None);
                    self.exclude(&server);
                }
                AttemptOutcome::Lost(reason) => {
                    self.log_attempt(&server, "lost", &reason, None);
                    let may_go_on = self.may_go_on(&server).await;
                    self.on_loss(&server, &reason, may_go_on)?;
                }
            }
        }
    }

    /// Returns whether another attempt is allowed after one that may have run; if so, takes it from
    /// the retry budget.
    pub fn acquire_retry(&self) -> bool {
        let route = &self.admission.route;
        let now = self.gateway.now();
        route.kind.is_repeatable()
            && self.runs < route.max_attempts
            && now < self.admission.deadline
            && self.take_retry("lost")
    }

    /// Returns whether [`Self::acquire_retry`] would allow another attempt.
    pub fn has_retry(&self) -> bool {
        let route = &self.admission.route;
        let now = self.gateway.now();
        let mut dispatcher = self.gateway.dispatcher.borrow_mut();
        route.kind.is_repeatable()
            && self.runs < route.max_attempts
            && now < self.admission.deadline
            && dispatcher.has_retry(now, &self.admission)
    }

    // Returns whether a server error should be retried on another server instead of being forwarded
    // to the client.
    fn should_retry(&self, server: &ServerId, response: &StreamingResponse) -> bool {
        response.head.status.is_server_error()
            && self.has_other_server(server)
            && self.acquire_retry()
    }

    /// Excludes a server from further attempts, unless no other server is available right now.
    pub fn exclude(&mut self, server: &ServerId) {
        if self.has_other_server(server) {
            self.excluded.push(server.clone());
        }
    }

    /// Returns whether another server is available for the request right now.
    pub fn has_other_server(&self, server: &ServerId) -> bool {
        if !self.may_move() {
            return false;
        }
        let mut excluded = self.excluded.clone();
        excluded.push(server.clone());
        let dispatcher = self.gateway.dispatcher.borrow();
        let choice = dispatcher.select_server(
            self.gateway.now(),
            &self.admission,
            &self.request,
            &excluded,
        );
        matches!(choice, RoutingDecision::Send(..))
    }

    fn on_rejection(&mut self, server: &ServerId, is_unsent: bool) -> Result<(), Refusal> {
        // A server that rejected a request for a model is not excluded, since it may load it
        // shortly.
        if is_unsent || self.admission.requested_model.is_none() {
            self.excluded.push(server.clone());
        }
        self.rejections += 1;
        let allowed =
            self.rejections < MAX_REJECTIONS && (is_unsent || self.take_retry("rejected"));
        if allowed {
            return Ok(());
        }
        let text = "the servers rejected the request; retry later";
        Err(self.refusal(RefusalKind::Overloaded, text))
    }

    fn on_loss(&mut self, server: &ServerId, reason: &str, may_go_on: bool) -> Result<(), Refusal> {
        self.exclude(server);
        if may_go_on && self.acquire_retry() {
            return Ok(());
        }
        let kind = if self.remaining().is_zero() {
            RefusalKind::DeadlineExceeded
        } else {
            RefusalKind::BackendFailed
        };
        Err(self.refusal(kind, reason))
    }

    // Builds the refusal for a request whose attempts failed.
    fn refusal(&self, kind: RefusalKind, text: &str) -> Refusal {
        if self.runs > 0 {
            let kind = match kind {
                RefusalKind::DeadlineExceeded => kind,
                _ => RefusalKind::BackendFailed,
            };
            return Refusal::not_run(kind, text).with_outcome(RunOutcome::Unknown);
        }
        Refusal::not_run(kind, text).with_retry_after(Duration::from_millis(300))
    }

    /// Sends one attempt and waits for the head of the response.
    pub async fn send(
        &mut self,
        destination: &Destination,
        last_event: Option<u64>,
    ) -> AttemptOutcome<P> {
        let server = &destination.id;
        let process = ServerProcess::of(&self.gateway, server);
        self.record_sent(server);
        let tokens = self.record_prompt(server);
        let load = self.request_load(tokens);
        let flight = FlightGuard::new(&self.gateway, server.clone(), tokens)
            .with_run(&self.admission)
            .with_load(load);
        let attempt = Attempt {
            server,
            remaining: self.remaining(),
            organisation: self
                .admission
                .organisation
                .as_ref()
                .map(|organisation| &*organisation.name),
            priority: self.server_priority(),
            last_event,
        };
        let server_request = P::ClientProtocol::encode_attempt(
            &self.head,
            &self.request,
            &attempt,
            self.body.bytes.clone(),
        );
        let reuse = if self.admission.route.kind.is_repeatable() {
            Reuse::Any
        } else {
            Reuse::Within(MAX_FRESH_IDLE)
        };
        self.sent_at = self.gateway.now();
        self.trace.server_limit = self.limit_of(server);
        let pool = &self.gateway.pool;
        let connect_timeout = self.connect_timeout();
        let address = destination.address;
        let may_send = || {
            let may_send = self.may_send(destination);
            self.is_sent.set(may_send || self.is_sent.get());
            may_send
        };
        let response = pool.send_while(address, server_request, reuse, connect_timeout, may_send);
        let result = self.await_head(server, response).await;
        self.classify_response(result, destination, process.as_ref(), flight)
    }

    // Records that the server receives the prompt; returns the prompt tokens not yet in its cache.
    fn record_prompt(&self, server: &ServerId) -> f64 {
        let Some(model) = &self.admission.requested_model else {
            return 0.0;
        };
        let mut dispatcher = self.gateway.dispatcher.borrow_mut();
        let prompts = &mut dispatcher.prompts;
        let tokens = prompts.uncached_tokens(server, model, &self.request.prompt);
        prompts.record_sent(server, model, &self.request.prompt);
        tokens
    }

    // Returns the load that the request puts on a model engine, if it is counted.
    fn request_load(&self, prefill_tokens: f64) -> Option<RequestLoad> {
        let dispatcher = self.gateway.dispatcher.borrow();
        dispatcher.request_load(&self.admission, &self.request, prefill_tokens)
    }

    fn classify_response(
        &mut self,
        result: Result<Result<StreamingResponse, SendError>, LateHead>,
        destination: &Destination,
        process: Option<&ServerProcess>,
        flight: FlightGuard<P>,
    ) -> AttemptOutcome<P> {
        let response = match result {
            Ok(Ok(response)) => response,
            Ok(Err(SendError::Unsent(reason))) if !self.may_send(destination) => {
                return AttemptOutcome::Unsent(reason);
            }
            Ok(Err(SendError::Unsent(reason))) => {
                flight.record_outcome(true);
                reach::record_connection(&self.gateway, &flight.server, false);
                return AttemptOutcome::Unsent(reason);
            }
            Ok(Err(SendError::Lost(reason))) => {
                self.runs += 1;
                flight.record_outcome(true);
                self.check_close(&flight.server);
                return AttemptOutcome::Lost(reason);
            }
            Ok(Err(SendError::Invalid(reason))) => {
                // The server took the connection, and answers after all.
                self.runs += 1;
                flight.record_outcome(true);
                return AttemptOutcome::Lost(reason);
            }
            Err(late) => {
                self.runs += 1;
                flight.record_outcome(true);
                return match late {
                    LateHead::Retried => AttemptOutcome::Late,
                    LateHead::Deadline => AttemptOutcome::Lost(LATE.to_owned()),
                };
            }
        };
        let head = P::ClientProtocol::decode_response(&response.head, &self.request);
        if !head.is_response(response.is_first) {
            self.runs += 1;
            flight.record_outcome(true);
            self.log_foreign(&flight.server, &response, head.attempt.as_deref());
            // A server that repeats responses may have done so on its other connections too.
            self.gateway.pool.close_idle(destination.address);
            return AttemptOutcome::Lost(FOREIGN.to_owned());
        }
        self.record_response(&flight.server, response.is_first);
        if head.misdirected {
            self.record_rejection(&flight.server);
            return AttemptOutcome::NotRun("misdirected".to_owned());
        }
        // One that is misdirected may come from another server.
        if let (true, Some(process)) = (head.is_leaving, process) {
            leaving::record(&self.gateway, process);
        }
        // Only an answer of the server itself says that a limit no longer holds.
        if head.rate_limit.is_some() || (head.matches_attempt && head.is_sealed) {
            self.record_limit(&flight.server, head.rate_limit);
        }
        if head.not_run {
            self.record_rejection(&flight.server);
            return AttemptOutcome::NotRun("turned away".to_owned());
        }
        self.runs += 1;
        if !head.matches_attempt || (response.head.status.is_success() && !head.is_sealed) {
            flight.record_outcome(true);
            self.log_foreign(&flight.server, &response, head.attempt.as_deref());
            return AttemptOutcome::Lost(FOREIGN.to_owned());
        }
        AttemptOutcome::Response(Box::new(response), flight)
    }

    // Logs and counts a response that does not belong to the attempt that was sent.
    fn log_foreign(&self, server: &ServerId, response: &StreamingResponse, named: Option<&str>) {
        self.gateway.metrics.count_foreign_response(named.is_some());
        Event::new("foreign_response")
            .with("request", self.request.attempt.as_str())
            .with("named", named)
            .with("server", &**server)
            .with("status", response.head.status.as_u16())
            .with("first_on_connection", response.is_first)
            .log();
    }

    // Records that the server responds, and if `is_first`, that it accepted a new connection.
    fn record_response(&self, server: &ServerId, is_first: bool) {
        if is_first {
            reach::record_connection(&self.gateway, server, true);
        }
        self.withdraw_crash(server);
    }

    /// Records how long the last attempt took until its response ended.
    pub fn record_run_time(&self) {
        if self.is_refused_elsewhere {
            return;
        }
        let time = self.gateway.now().saturating_duration_since(self.sent_at);
        let mut dispatcher = self.gateway.dispatcher.borrow_mut();
        dispatcher
            .run_times
            .record(&self.admission.route.name, time);
    }

    /// Refunds the request's tokens, once.
    pub fn refund(&mut self) {
        let now = self.gateway.now();
        let mut dispatcher = self.gateway.dispatcher.borrow_mut();
        dispatcher.refund(now, &self.admission);
        drop(dispatcher);
        self.log_refund(now);
        self.admission.tokens = 0;
    }

    fn log_refund(&self, now: Instant) {
        let Some(organisation) = &self.admission.organisation else {
            return;
        };
        if organisation.rate == 0 || self.admission.tokens == 0 {
            return;
        }
        let age = now.saturating_duration_since(self.admission.arrived);
        Event::new("tokens_refunded")
            .with("request", self.request.attempt.as_str())
            .with("organisation", &*organisation.name)
            .with("tokens", self.admission.tokens)
            .with_time("charge_age_ms", age)
            .log();
    }

    // Records that the server rejected a request for the requested model.
    fn record_rejection(&self, server: &ServerId) {
        let Some(model) = &self.admission.requested_model else {
            return;
        };
        let now = self.gateway.now();
        let mut dispatcher = self.gateway.dispatcher.borrow_mut();
        dispatcher.backends.record_rejection(now, server, model);
    }

    /// Records how the body of a response ended.
    pub fn end_response(&mut self, received: ReceivedBody) {
        let is_whole = received.failure.is_none();
        let framing = received.framing.as_str();
        self.gateway.metrics.count_response(framing, is_whole);
        self.trace.received = Some(received);
    }

    /// Logs an attempt that brought no answer.
    pub fn log_attempt(
        &self,
        server: &ServerId,
        outcome: &str,
        reason: &str,
        detail: Option<&str>,
    ) {
        let time = self.gateway.now().saturating_duration_since(self.sent_at);
        self.with_view(Event::new("attempt_ended"), server)
            .with("request", self.request.attempt.as_str())
            .with("server", &**server)
            .with("outcome", outcome)
            .with("reason", reason)
            .with("detail", detail)
            .with_time("attempt_ms", time)
            .with("runs", self.runs)
            .log();
    }

    /// Logs the end of the request and counts its outcome.
    pub fn log_end(&self, outcome: &str, server: Option<&ServerId>, status: u16) {
        let now = self.gateway.now();
        let time = now.saturating_duration_since(self.admission.arrived);
        self.gateway.metrics.count_request(outcome);
        let received = self.trace.received.as_ref();
        Event::new("request_ended")
            .with("request", self.request.attempt.as_str())
            .with("route", &*self.admission.route.name)
            .with("config", self.admission.version)
            .with_optional_time("config_age_ms", self.admission.config_age)
            .with_optional_time("list_age_ms", self.trace.list_age)
            .with_optional_time("store_contact_ms", self.trace.store_contact)
            .with("server", server.map_or("", |server| &**server))
            .with("outcome", outcome)
            .with("status", status)
            .with("framing", received.map(|body| body.framing.as_str()))
            .with("events", received.map(|body| body.events))
            .with("partial_bytes", received.map(|body| body.partial_bytes))
            .with("failure", received.and_then(|body| body.failure.as_deref()))
            .with("runs", self.runs)
            .with("server_limit", self.trace.server_limit)
            .with("model", self.model_name())
            .with("tokens", self.admission.tokens)
            .with_optional_time("waited_ms", self.time_to(self.server_found))
            .with_optional_time("first_byte_ms", self.time_to(self.trace.first_byte))
            .with_time("longest_pause_ms", self.trace.longest_pause)
            .with_optional_time("silence_ms", self.trace.silence(now))
            .with_time("ms", time)
            .log();
    }

    fn model_name(&self) -> &str {
        let requested = self.admission.requested_model.as_ref();
        requested.map_or("", |requested| &*requested.model)
    }

    // Returns the time from the arrival of the request to `end`.
    fn time_to(&self, end: Option<Instant>) -> Option<Duration> {
        Some(end?.saturating_duration_since(self.admission.arrived))
    }

    /// Records that bytes of the response were received.
    pub fn record_bytes(&mut self) {
        let now = self.gateway.now();
        if self.trace.record_bytes(now) {
            let time = now.saturating_duration_since(self.admission.arrived);
            self.gateway.metrics.observe_first_byte(time);
        }
    }
}

/// Reason logged for an attempt that got the response to another one.
const FOREIGN: &str = "the response belongs to another request";
/// Reason logged for an attempt that was given up.
const LATE: &str = "no response in time";
/// Reason logged for an attempt of which nothing was sent.
const UNSENT: &str = "not sent";
