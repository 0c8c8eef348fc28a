//! One request on its way through an instance.

use std::rc::Rc;
use std::time::{Duration, Instant};

use apricotwell_dispatch::prelude::*;
use apricotwell_types::{Ending, Refusal, RefusalKind, ServerId};
use http::request;

use crate::adapter::{Attempt, ClientProtocol, Platform};
use crate::events::Event;
use crate::gateway::Gateway;
use crate::guard::{ActiveGuard, FlightGuard, WaitGuard};
use crate::pool::{Reuse, SendError, StreamingResponse};
use crate::requests::HeldBody;

/// Age up to which an idle connection carries a request that must not run twice.
const MAX_FRESH_IDLE: Duration = Duration::from_millis(1500);
/// Longest wait before a waiting request looks again without being told of a change.
const SERVER_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Multiple of the target after which a plain answer that may be repeated is asked for elsewhere.
const PLAIN_HEDGE_FACTOR: u32 = 4;
/// Share of the grace of an instance that stops in which requests may still wait for a server.
const WAIT_GRACE_FRACTION: f64 = 0.55;
/// Servers that may turn a request away before it is given up.
const MAX_REJECTIONS: usize = 8;

/// Request that was taken, with what its attempts need.
pub struct RequestHandler<P>
where
    P: Platform,
{
    /// Instance.
    pub gateway: Rc<Gateway<P>>,
    /// Head as it came.
    pub head: request::Parts,
    /// Body as it came.
    pub body: HeldBody,
    /// Head decoded.
    pub call: Call,
    /// Decision to take it.
    pub admission: Admission,
    /// Servers that are not to be tried again.
    pub excluded: Vec<ServerId>,
    /// Servers that may have run it.
    pub runs: u32,
    // Times that a server turned it away.
    rejections: usize,
    /// When a server was found for the last attempt.
    found: Option<Instant>,
    /// When the first byte of the answer came.
    first_byte: Option<Instant>,
    // When the last bytes of the answer came.
    last_bytes: Option<Instant>,
    // Longest pause between bytes of the answer.
    longest_pause: Duration,
    // Counts the request until its answer has ended.
    _active: ActiveGuard<P>,
}

/// What came of one attempt.
pub enum AttemptOutcome<P>
where
    P: Platform,
{
    /// An answer to this attempt.
    StreamingResponse(Box<StreamingResponse>, FlightGuard<P>),
    /// The server did not run it.
    NotRun(String),
    /// The server may have run it.
    Lost(String),
}

impl<P> RequestHandler<P>
where
    P: Platform,
{
    /// Returns the ticket of a request that was just taken.
    pub fn new(
        gateway: &Rc<Gateway<P>>,
        head: request::Parts,
        body: HeldBody,
        call: Call,
        admission: Admission,
    ) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            head,
            body,
            call,
            admission,
            excluded: Vec::new(),
            runs: 0,
            rejections: 0,
            found: None,
            first_byte: None,
            last_bytes: None,
            longest_pause: Duration::ZERO,
            _active: ActiveGuard::new(gateway),
        }
    }

    /// Returns the time until the request's deadline.
    pub fn remaining(&self) -> Duration {
        let now = self.gateway.now();
        self.admission.deadline.saturating_duration_since(now)
    }

    /// Counts the caller's patience from now on, after bytes of the answer have reached it.
    pub fn reset_wait_deadline(&mut self) {
        let patience = self.admission.route.patience();
        self.admission.silence = (self.gateway.now() + patience).min(self.admission.deadline);
    }

    /// Finds a server and gets its answer's head.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller.
    pub async fn first_response(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<(Box<StreamingResponse>, FlightGuard<P>), Refusal> {
        loop {
            let (server, address) = self.find_server().await?;
            let sent = self.send(&server, address, last_event).await;
            match sent {
                AttemptOutcome::StreamingResponse(answer, flight) => {
                    if !self.should_retry(&server, &answer) {
                        return Ok((answer, flight));
                    }
                    flight.record_outcome(true);
                    self.excluded.push(server);
                }
                AttemptOutcome::NotRun(reason) => {
                    self.log_attempt(&server, "not_run", &reason);
                    self.on_rejection(&server, &reason)?;
                }
                AttemptOutcome::Lost(reason) => {
                    self.log_attempt(&server, "lost", &reason);
                    self.on_loss(&server, &reason)?;
                }
            }
        }
    }

    /// Returns whether another attempt is allowed after one that may have run.
    pub fn acquire_retry(&self) -> bool {
        let route = &self.admission.route;
        let now = self.gateway.now();
        route.kind.is_repeatable()
            && self.runs < route.max_attempts
            && now < self.admission.deadline
            && self
                .gateway
                .dispatcher
                .borrow_mut()
                .take_retry(now, &self.admission)
    }

    // A server's failure is passed on unless another server may do better.
    fn should_retry(&self, server: &ServerId, answer: &StreamingResponse) -> bool {
        answer.head.status.is_server_error()
            && self.has_other_server(server)
            && self.acquire_retry()
    }

    /// Leaves a server out of further attempts, unless no other one can be sent to right now.
    pub fn exclude(&mut self, server: &ServerId) {
        if self.has_other_server(server) {
            self.excluded.push(server.clone());
        }
    }

    /// Returns whether another server could be sent to right now.
    pub fn has_other_server(&self, server: &ServerId) -> bool {
        let mut excluded = self.excluded.clone();
        excluded.push(server.clone());
        let dispatcher = self.gateway.dispatcher.borrow();
        let choice = dispatcher.choose(self.gateway.now(), &self.admission, &self.call, &excluded);
        matches!(choice, Choice::Send(..))
    }

    fn on_rejection(&mut self, server: &ServerId, reason: &str) -> Result<(), Refusal> {
        // A server that lacked the model may have it a moment later.
        if reason == UNSENT || self.admission.wanted.is_none() {
            self.excluded.push(server.clone());
        }
        self.rejections += 1;
        let now = self.gateway.now();
        let mut dispatcher = self.gateway.dispatcher.borrow_mut();
        let allowed = self.rejections < MAX_REJECTIONS
            && (reason == UNSENT || dispatcher.take_retry(now, &self.admission));
        drop(dispatcher);
        if allowed {
            return Ok(());
        }
        let text = "the servers turned the request away; come back later";
        Err(self.refusal(RefusalKind::Overloaded, text))
    }

    fn on_loss(&mut self, server: &ServerId, reason: &str) -> Result<(), Refusal> {
        self.exclude(server);
        if self.acquire_retry() {
            return Ok(());
        }
        let kind = if self.remaining().is_zero() {
            RefusalKind::DeadlineExceeded
        } else {
            RefusalKind::BackendFailed
        };
        Err(self.refusal(kind, reason))
    }

    fn refusal(&self, kind: RefusalKind, text: &str) -> Refusal {
        if self.runs > 0 {
            let kind = match kind {
                RefusalKind::DeadlineExceeded => kind,
                _ => RefusalKind::BackendFailed,
            };
            return Refusal::not_run(kind, text).with_ending(Ending::OutcomeUnknown);
        }
        Refusal::not_run(kind, text).with_retry_after(Duration::from_millis(300))
    }

    async fn find_server(&mut self) -> Result<(ServerId, std::net::SocketAddr), Refusal> {
        let mut waiting = None;
        loop {
            let changed = self.gateway.servers_changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let now = self.gateway.now();
            let choice = {
                let dispatcher = self.gateway.dispatcher.borrow();
                dispatcher.choose(now, &self.admission, &self.call, &self.excluded)
            };
            match choice {
                Choice::Send(server, address) => {
                    self.found = Some(now);
                    return Ok((server, address));
                }
                Choice::Refuse(refusal) if self.runs == 0 => return Err(refusal),
                Choice::Refuse(refusal) => {
                    return Err(self.refusal(refusal.kind, &refusal.message));
                }
                Choice::Wait => {}
            }
            if self.must_stop_waiting() {
                let text = "this instance stops; use another one";
                return Err(self.refusal(RefusalKind::Unavailable, text));
            }
            if waiting.is_none() {
                waiting = WaitGuard::new(&self.gateway, &self.admission);
                self.log_wait();
            }
            let left = self.admission.silence.saturating_duration_since(now);
            // A change may not be told, so the end of the wait is looked for as well.
            let _ = tokio::time::timeout(left.min(SERVER_POLL_INTERVAL), changed).await;
        }
    }

    /// Sends one attempt and waits for the head of its answer.
    pub async fn send(
        &mut self,
        server: &ServerId,
        address: std::net::SocketAddr,
        last_event: Option<u64>,
    ) -> AttemptOutcome<P> {
        let tokens = self.record_prompt(server);
        let flight = FlightGuard::new(&self.gateway, server.clone(), tokens);
        let attempt = Attempt {
            server,
            remaining: self.remaining(),
            organisation: self
                .admission
                .organisation
                .as_ref()
                .map(|organisation| &*organisation.name),
            priority: None,
            last_event,
        };
        let request = P::ClientProtocol::encode_attempt(
            &self.head,
            &self.call,
            &attempt,
            self.body.bytes.clone(),
        );
        let reuse = if self.admission.route.kind.is_repeatable() {
            Reuse::Any
        } else {
            Reuse::Within(MAX_FRESH_IDLE)
        };
        let sending = self.gateway.pool.send(address, request, reuse);
        let sent = tokio::time::timeout(self.head_timeout(), sending).await;
        self.classify_response(sent, flight)
    }

    // Returns the tokens that the server has to read.
    fn record_prompt(&self, server: &ServerId) -> f64 {
        let Some(wanted) = &self.admission.wanted else {
            return 0.0;
        };
        let mut dispatcher = self.gateway.dispatcher.borrow_mut();
        let prompts = &mut dispatcher.prompts;
        let tokens = prompts.uncached_tokens(server, wanted, &self.call.prompt);
        prompts.record_sent(server, wanted, &self.call.prompt);
        tokens
    }

    fn classify_response(
        &mut self,
        sent: Result<Result<StreamingResponse, SendError>, tokio::time::error::Elapsed>,
        flight: FlightGuard<P>,
    ) -> AttemptOutcome<P> {
        let answer = match sent {
            Ok(Ok(answer)) => answer,
            Ok(Err(SendError::Unsent(_))) => {
                flight.record_outcome(true);
                return AttemptOutcome::NotRun(UNSENT.to_owned());
            }
            Ok(Err(SendError::Lost(reason))) => {
                self.runs += 1;
                flight.record_outcome(true);
                return AttemptOutcome::Lost(reason);
            }
            Err(_) => {
                self.runs += 1;
                flight.record_outcome(true);
                return AttemptOutcome::Lost("no answer in time".to_owned());
            }
        };
        let head = P::ClientProtocol::decode_response(&answer.head, &self.call);
        if head.misdirected {
            self.record_rejection(&flight.server);
            return AttemptOutcome::NotRun("misdirected".to_owned());
        }
        if head.not_run {
            self.record_rejection(&flight.server);
            return AttemptOutcome::NotRun("turned away".to_owned());
        }
        self.runs += 1;
        if !head.matches_attempt || (answer.head.status.is_success() && !head.is_sealed) {
            flight.record_outcome(true);
            return AttemptOutcome::Lost("the answer belongs to another request".to_owned());
        }
        AttemptOutcome::StreamingResponse(Box::new(answer), flight)
    }

    fn record_rejection(&self, server: &ServerId) {
        let Some(wanted) = &self.admission.wanted else {
            return;
        };
        let now = self.gateway.now();
        let mut dispatcher = self.gateway.dispatcher.borrow_mut();
        dispatcher.backends.note_denied(now, server, wanted);
    }

    // Time for the head of an answer: shorter than the deadline where another server may do better.
    fn head_timeout(&self) -> Duration {
        let remaining = self.remaining();
        let route = &self.admission.route;
        if !route.kind.is_repeatable() || self.runs + 1 >= route.max_attempts {
            return remaining;
        }
        let hedge = if route.kind.is_stream() {
            route.target / 2
        } else {
            route.target * PLAIN_HEDGE_FACTOR
        };
        let other = {
            let dispatcher = self.gateway.dispatcher.borrow();
            let now = self.gateway.now();
            let mut servers = dispatcher.backends.usable(now, &self.admission.service);
            servers
                .by_ref()
                .filter(|server| server.serves(now, self.admission.wanted.as_ref()))
                .count()
                > self.excluded.len() + 1
        };
        if other {
            remaining.min(hedge)
        } else {
            remaining
        }
    }

    // A request that still waits when the instance stops gets its answer while there is time.
    fn must_stop_waiting(&self) -> bool {
        let limit = self.gateway.times.grace.mul_f64(WAIT_GRACE_FRACTION);
        self.gateway
            .time_since_stop()
            .is_some_and(|time| time > limit)
    }

    fn log_wait(&self) {
        Event::new("request_waits")
            .with("request", self.call.attempt.as_str())
            .with("model", self.model_name())
            .with_time("patience_ms", self.wait_remaining())
            .log();
    }

    fn wait_remaining(&self) -> Duration {
        let now = self.gateway.now();
        self.admission.silence.saturating_duration_since(now)
    }

    fn log_attempt(&self, server: &ServerId, outcome: &str, reason: &str) {
        Event::new("attempt_ended")
            .with("request", self.call.attempt.as_str())
            .with("server", &**server)
            .with("outcome", outcome)
            .with("reason", reason)
            .with("runs", self.runs)
            .log();
    }

    /// Logs the end of the request.
    pub fn log_end(&self, outcome: &str, server: Option<&ServerId>, status: u16) {
        let now = self.gateway.now();
        let time = now.saturating_duration_since(self.admission.arrived);
        self.gateway.metrics.count_request(outcome);
        Event::new("request_ended")
            .with("request", self.call.attempt.as_str())
            .with("route", &*self.admission.route.name)
            .with("server", server.map_or("", |server| &**server))
            .with("outcome", outcome)
            .with("status", status)
            .with("runs", self.runs)
            .with("model", self.model_name())
            .with("tokens", self.admission.tokens)
            .with("waited_ms", self.millis_to(self.found))
            .with("first_byte_ms", self.millis_to(self.first_byte))
            .with_time("longest_pause_ms", self.longest_pause)
            .with_time("ms", time)
            .log();
    }

    fn model_name(&self) -> &str {
        let wanted = self.admission.wanted.as_ref();
        wanted.map_or("", |wanted| &*wanted.model)
    }

    fn millis_to(&self, moment: Option<Instant>) -> Option<u64> {
        let time = moment?.saturating_duration_since(self.admission.arrived);
        Some(time.as_millis() as u64)
    }

    /// Notes bytes of the answer.
    pub fn record_bytes(&mut self) {
        let now = self.gateway.now();
        if let Some(last) = self.last_bytes.replace(now) {
            let pause = now.saturating_duration_since(last);
            self.longest_pause = self.longest_pause.max(pause);
            return;
        }
        self.first_byte = Some(now);
        let time = now.saturating_duration_since(self.admission.arrived);
        self.gateway.metrics.observe_first_byte(time);
    }
}

/// Reason of an attempt of which nothing was sent.
const UNSENT: &str = "not sent";
