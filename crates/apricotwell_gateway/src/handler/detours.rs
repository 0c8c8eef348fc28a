//! Requests that are passed on to another instance, since this one reaches no server.
//!
//! The other instance admits the request anew, by the client's own key, and charges its tokens; what
//! was charged here is refunded once it responds, unless it refuses a request that may have run here. It
//! passes the request on to no third instance. Whether it responds at all is asked first: a suspended
//! process accepts connections.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use apricotwell_dispatch::prelude::*;
use apricotwell_http::pool::{Reuse, SendError, StreamingResponse};
use apricotwell_types::{InstanceId, Refusal, RefusalKind, ServerId};
use http::HeaderName;

use super::versions::{insert_version, take_version};
use super::{AttemptOutcome, Destination, FOREIGN, RequestHandler};
use crate::adapter::{ClientProtocol, Platform, ResponseHead};
use crate::events::Event;
use crate::guard::FlightGuard;
use crate::liveness;
use crate::requests::Origin;

/// Header with which an instance tells another one that it can't serve a request that was passed on.
pub const NOT_SERVED: HeaderName = HeaderName::from_static("apricotwell-not-served");
/// Instances that one request is passed on to, one after the other.
const MAX_DETOURS: u32 = 3;
/// Instances that are asked for one detour whether they respond.
const MAX_ASKED: usize = 3;
/// Idle time up to which a connection to a server still counts as working though new ones fail.
const LIVE_IDLE: Duration = Duration::from_millis(1500);

impl<P> RequestHandler<P>
where
    P: Platform,
{
    /// Returns where to send a request whose service this instance doesn't reach, `None` if it does.
    ///
    /// # Errors
    ///
    /// Returns the refusal to send to the client if no other instance is left to ask.
    pub(super) async fn find_detour(
        &self,
        now: Instant,
        choice: &RoutingDecision,
    ) -> Result<Option<Destination>, Refusal> {
        if !self.needs_detour(now, choice) {
            return Ok(None);
        }
        let Some(instance) = self.responding_instance(now).await else {
            let text = "no server of this service can be reached; retry later";
            return Err(self.refusal(RefusalKind::Unavailable, text));
        };
        let address = instance.parse::<SocketAddr>().map_err(|error| {
            let text = format!("the address of instance {instance} is unusable: {error}");
            self.refusal(RefusalKind::Unavailable, &text)
        })?;
        self.detours.set(self.detours.get() + 1);
        Ok(Some(Destination {
            id: ServerId::from(&*instance),
            address,
            is_instance: true,
        }))
    }

    fn needs_detour(&self, now: Instant, choice: &RoutingDecision) -> bool {
        let dispatcher = self.gateway.dispatcher.borrow();
        if !dispatcher.is_unreachable(now, &self.admission.service) {
            return false;
        }
        // Open connections may live on though new ones fail.
        let reuse = Reuse::Within(LIVE_IDLE);
        let is_open = |address| self.gateway.pool.has_idle(address, reuse);
        !matches!(choice, RoutingDecision::Send(_, address) if is_open(*address))
    }

    // Returns an instance that may reach the service and responds. If several in a row don't, the request
    // goes to the first one: datagrams may be lost, and earlier versions don't know the question.
    async fn responding_instance(&self, now: Instant) -> Option<InstanceId> {
        if self.origin != Origin::Client || self.detours.get() >= MAX_DETOURS {
            return None;
        }
        let mut asked = self.excluded.clone();
        let mut first = None;
        for _ in 0..MAX_ASKED {
            let Some(instance) = self.next_instance(now, &asked) else {
                break;
            };
            if liveness::responds(&self.gateway, &instance).await {
                return Some(instance);
            }
            self.log_silence(&instance);
            let peers = &mut self.gateway.dispatcher.borrow_mut().peers;
            peers.mark_silent(&instance);
            asked.push(ServerId::from(&*instance));
            first.get_or_insert(instance);
        }
        first
    }

    fn next_instance(&self, now: Instant, asked: &[ServerId]) -> Option<InstanceId> {
        let dispatcher = self.gateway.dispatcher.borrow();
        let (service, attempt) = (&self.admission.service, &self.request.attempt);
        dispatcher.detour(now, service, attempt, asked)
    }

    fn log_silence(&self, instance: &InstanceId) {
        self.gateway.metrics.count_detour("silent");
        Event::new("instance_silent")
            .with("request", self.request.attempt.as_str())
            .with("instance", &**instance)
            .log();
    }

    /// Passes the request on to another instance and waits for the head of the response.
    pub(super) async fn forward(
        &mut self,
        instance: &Destination,
        last_event: Option<u64>,
    ) -> AttemptOutcome<P> {
        Event::new("request_passed_on")
            .with("request", self.request.attempt.as_str())
            .with("instance", &*instance.id)
            .with("service", &*self.admission.service)
            .log();
        let flight = FlightGuard::new(&self.gateway, instance.id.clone(), 0.0);
        let remaining = self.remaining();
        let body = self.body.bytes.clone();
        let mut request =
            P::ClientProtocol::encode_forward(&self.head, remaining, last_event, body);
        if let Some(version) = &self.admission.bound {
            insert_version(request.headers_mut(), version);
        }
        self.sent_at = self.gateway.now();
        let pool = self.gateway.pool.clone();
        let timeout = self.connect_timeout();
        let response = pool.send_within(instance.address, request, Reuse::Any, timeout);
        let response = tokio::time::timeout(self.forward_timeout(), response);
        let result = tokio::select! {
            result = response => result.map_err(|_| "no response in time"),
            () = self.until_given_up(instance) => Err("the other instance stopped responding"),
        };
        let outcome = match result {
            Ok(Ok(response)) => self.classify_forwarded(response, flight),
            Ok(Err(SendError::Unsent(reason))) => AttemptOutcome::Unsent(reason),
            Ok(Err(SendError::Lost(reason) | SendError::Invalid(reason))) => {
                self.runs += 1;
                AttemptOutcome::Lost(reason)
            }
            Err(reason) => {
                self.runs += 1;
                AttemptOutcome::Lost(reason.to_owned())
            }
        };
        self.gateway.metrics.count_detour(outcome.name());
        outcome
    }

    // Returns once another attempt is better than to wait for an instance that no longer responds. One
    // that must not run twice waits on: the instance may go on later.
    async fn until_given_up(&self, instance: &Destination) {
        if !self.admission.route.kind.is_repeatable() {
            return std::future::pending().await;
        }
        liveness::until_silent(&self.gateway, &instance.id).await;
    }

    // Returns the timeout for the head of the response. A stream may wait for its model at the other
    // instance; the response to a plain request that may be repeated does not take long.
    fn forward_timeout(&self) -> Duration {
        let kind = self.admission.route.kind;
        if kind.is_repeatable() && !kind.is_stream() {
            self.head_timeout()
        } else {
            self.remaining()
        }
    }

    fn classify_forwarded(
        &mut self,
        mut response: StreamingResponse,
        flight: FlightGuard<P>,
    ) -> AttemptOutcome<P> {
        self.software.sent = take_version(&mut response.head.headers);
        if response.head.headers.contains_key(NOT_SERVED) {
            return AttemptOutcome::Unsent("the other instance can't serve it either".to_owned());
        }
        let may_have_run = self.runs > 0;
        let head: ResponseHead = P::ClientProtocol::decode_response(&response.head, &self.request);
        if head.is_sealed {
            self.runs += 1;
        }
        let is_valid = if head.is_sealed {
            head.matches_attempt
        } else {
            !response.head.status.is_success()
        };
        if !is_valid {
            self.log_foreign(&flight.server, &response, head.attempt.as_deref());
            return AttemptOutcome::Lost(FOREIGN.to_owned());
        }
        if !head.is_sealed && may_have_run {
            // Its refusal may state that the request has not run, but it knows of its own attempts only.
            return AttemptOutcome::Lost("the other instance refused it".to_owned());
        }
        // The other instance has charged the tokens, or no server ran the request.
        self.refund();
        let bound = &self.admission.bound;
        if head.is_sealed && bound.is_some() && self.software.sent != *bound {
            // An instance of an earlier build does not keep to the version.
            return AttemptOutcome::Lost("the software version is not confirmed".to_owned());
        }
        self.is_refused_elsewhere = !head.is_sealed;
        AttemptOutcome::Response(Box::new(response), flight)
    }
}
