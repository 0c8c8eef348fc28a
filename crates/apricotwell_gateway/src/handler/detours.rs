//! Requests that are passed on to another instance, since this one reaches no server.
//!
//! The other instance admits the request anew, by the client's own key, and charges its tokens; what
//! was charged here is refunded once it responds. It passes the request on to no third instance.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use apricotwell_dispatch::prelude::*;
use apricotwell_http::pool::{Reuse, SendError, StreamingResponse};
use apricotwell_types::{Refusal, RefusalKind, ServerId};
use http::HeaderName;

use super::{AttemptOutcome, Destination, RequestHandler};
use crate::adapter::{ClientProtocol, Platform, ResponseHead};
use crate::events::Event;
use crate::guard::FlightGuard;
use crate::requests::Origin;

/// Header with which an instance tells another one that it can't serve a request that was passed on.
pub const NOT_SERVED: HeaderName = HeaderName::from_static("apricotwell-not-served");
/// Instances that one request is passed on to, one after the other.
const MAX_DETOURS: u32 = 3;
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
    pub(super) fn find_detour(
        &self,
        now: Instant,
        choice: &RoutingDecision,
    ) -> Result<Option<Destination>, Refusal> {
        let dispatcher = self.gateway.dispatcher.borrow();
        if !dispatcher.is_unreachable(now, &self.admission.service) {
            return Ok(None);
        }
        // Open connections may live on though new ones fail.
        if let RoutingDecision::Send(_, address) = choice
            && self
                .gateway
                .pool
                .has_idle(*address, Reuse::Within(LIVE_IDLE))
        {
            return Ok(None);
        }
        let may_pass_on = self.origin == Origin::Client && self.detours.get() < MAX_DETOURS;
        let service = &self.admission.service;
        let attempt = &self.request.attempt;
        let instance = may_pass_on
            .then(|| dispatcher.detour(now, service, attempt, &self.excluded))
            .flatten();
        drop(dispatcher);
        let Some(instance) = instance else {
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
        let request = P::ClientProtocol::encode_forward(&self.head, remaining, last_event, body);
        self.sent_at = self.gateway.now();
        let pool = self.gateway.pool.clone();
        let timeout = self.connect_timeout();
        let response = pool.send_within(instance.address, request, Reuse::Any, timeout);
        let outcome = match tokio::time::timeout(self.forward_timeout(), response).await {
            Ok(Ok(response)) => self.classify_forwarded(response, flight),
            Ok(Err(SendError::Unsent(reason))) => AttemptOutcome::Unsent(reason),
            Ok(Err(SendError::Lost(reason))) => {
                self.runs += 1;
                AttemptOutcome::Lost(reason)
            }
            Err(_) => {
                self.runs += 1;
                AttemptOutcome::Lost("no response in time".to_owned())
            }
        };
        self.gateway.metrics.count_detour(outcome.name());
        outcome
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
        response: StreamingResponse,
        flight: FlightGuard<P>,
    ) -> AttemptOutcome<P> {
        if response.head.headers.contains_key(NOT_SERVED) {
            return AttemptOutcome::Unsent("the other instance can't serve it either".to_owned());
        }
        self.refund();
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
            return AttemptOutcome::Lost("the response belongs to another request".to_owned());
        }
        self.is_refused_elsewhere = !head.is_sealed;
        AttemptOutcome::Response(Box::new(response), flight)
    }
}
