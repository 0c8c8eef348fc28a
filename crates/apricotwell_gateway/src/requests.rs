//! Requests of callers from the first byte to the last.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use apricotwell_dispatch::prelude::*;
use apricotwell_types::{Refusal, RefusalKind};
use bytes::Bytes;
use futures_util::Stream;
use http::{Request, Response, request};
use http_body_util::{BodyExt, Either, Full, StreamBody};
use hyper::body::{Frame, Incoming};

use crate::adapter::{ClientProtocol, Platform};
use crate::budget::{Budget, Reservation};
use crate::events::Event;
use crate::gateway::Gateway;
use crate::guard::FlightGuard;
use crate::handler::RequestHandler;
use crate::pool::StreamingResponse;
use crate::relay::{Relay, RelayError};

/// Bytes of a plain answer that are held in memory.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Time in which a request's body must come, unless its deadline is shorter.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after a request to stop from which further requests are sent elsewhere: none that is taken
/// later could be sure to end within the grace.
const ADMISSION_AFTER_STOP: Duration = Duration::from_millis(3500);

enum ClientResponse<P>
where
    P: Platform,
{
    Complete(Response<Bytes>),
    Stream(Response<()>, Box<Relay<P>>),
}

/// Serves one request; never fails, so that the connection's end is the answer's.
///
/// # Errors
///
/// None.
pub async fn serve<P>(
    gateway: Rc<Gateway<P>>,
    request: Request<Incoming>,
) -> Result<
    Response<Either<Full<Bytes>, StreamBody<impl Stream<Item = Result<Frame<Bytes>, RelayError>>>>>,
    Infallible,
>
where
    P: Platform,
{
    let closing = gateway.stop_requested.get().is_some();
    let mut response = match answer(&gateway, request).await {
        ClientResponse::Complete(response) => response.map(|body| Either::Left(Full::new(body))),
        ClientResponse::Stream(response, relay) => {
            response.map(|()| Either::Right(StreamBody::new(relay.into_frames())))
        }
    };
    if closing || gateway.stop_requested.get().is_some() {
        let close = http::HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(http::header::CONNECTION, close);
    }
    Ok(response)
}

async fn answer<P>(gateway: &Rc<Gateway<P>>, request: Request<Incoming>) -> ClientResponse<P>
where
    P: Platform,
{
    let (head, body) = request.into_parts();
    match take(gateway, head, body).await {
        Ok(handler) => run(handler).await,
        Err(refusal) => ClientResponse::Complete(P::ClientProtocol::encode_refusal(&refusal)),
    }
}

async fn take<P>(
    gateway: &Rc<Gateway<P>>,
    head: request::Parts,
    body: Incoming,
) -> Result<RequestHandler<P>, Refusal>
where
    P: Platform,
{
    let call = P::ClientProtocol::decode_call(&head)?;
    let taken = admit(gateway, &head, body, &call).await;
    if let Err(refusal) = &taken {
        log_refusal(gateway, &call, refusal);
    }
    let (body, admission) = taken?;
    Ok(RequestHandler::new(gateway, head, body, call, admission))
}

async fn admit<P>(
    gateway: &Rc<Gateway<P>>,
    head: &request::Parts,
    body: Incoming,
    call: &Call,
) -> Result<(HeldBody, Admission), Refusal>
where
    P: Platform,
{
    if gateway
        .time_since_stop()
        .is_some_and(|time| time > ADMISSION_AFTER_STOP)
    {
        let text = "this instance stops; use another one";
        return Err(
            Refusal::not_run(RefusalKind::Unavailable, text).with_retry_after(Duration::ZERO)
        );
    }
    let limit = body_limit(gateway);
    let body = read_body(head, body, limit, &gateway.body_budget, call.deadline).await?;
    let now = gateway.now();
    let mut dispatcher = gateway.dispatcher.borrow_mut();
    let admission = dispatcher.admit(now, call)?;
    if dispatcher.is_tight(now, &admission) {
        gateway.heartbeat_due.notify_one();
    }
    Ok((body, admission))
}

fn body_limit<P>(gateway: &Gateway<P>) -> usize
where
    P: Platform,
{
    let dispatcher = gateway.dispatcher.borrow();
    let catalog = dispatcher.catalog.as_ref();
    catalog.map_or(CallerLimits::default().body_bytes, |catalog| {
        catalog.limits.body_bytes
    })
}

/// Body of a request with its share of the bytes that all bodies may take.
pub struct HeldBody {
    /// Body.
    pub bytes: Bytes,
    _share: Reservation,
}

async fn read_body(
    head: &request::Parts,
    body: Incoming,
    limit: usize,
    budget: &Budget,
    deadline: Option<Duration>,
) -> Result<HeldBody, Refusal> {
    let announced = head
        .headers
        .get(http::header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    if announced.is_some_and(|announced| announced > limit) {
        return Err(too_large());
    }
    let wait = deadline.unwrap_or(BODY_TIMEOUT).min(BODY_TIMEOUT);
    let collected = tokio::time::timeout(wait, collect(body, limit, budget)).await;
    collected.unwrap_or_else(|_| {
        let text = "the body did not come in time";
        Err(Refusal::not_run(RefusalKind::TooSlow, text))
    })
}

async fn collect(mut body: Incoming, limit: usize, budget: &Budget) -> Result<HeldBody, Refusal> {
    let Some(mut share) = budget.try_reserve(0) else {
        return Err(too_many_bytes());
    };
    let mut whole = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            let text = format!("the body is not whole: {error}");
            Refusal::not_run(RefusalKind::BadRequest, text)
        })?;
        // Trailers concern the connection only.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if whole.len() + data.len() > limit {
            return Err(too_large());
        }
        if !share.grow(data.len()) {
            return Err(too_many_bytes());
        }
        whole.extend_from_slice(&data);
    }
    Ok(HeldBody {
        bytes: whole.into(),
        _share: share,
    })
}

fn too_large() -> Refusal {
    Refusal::not_run(RefusalKind::TooLarge, "the body is over the limit")
}

fn too_many_bytes() -> Refusal {
    let text = "the bodies of all requests take too much memory; come back later";
    Refusal::not_run(RefusalKind::Overloaded, text).with_retry_after(Duration::from_millis(500))
}

async fn run<P>(mut handler: RequestHandler<P>) -> ClientResponse<P>
where
    P: Platform,
{
    let last_event = handler.call.last_event;
    loop {
        let (answer, flight) = match handler.first_response(last_event).await {
            Ok(found) => found,
            Err(refusal) => return refused(&handler, &refusal),
        };
        if handler.admission.route.kind.is_stream() && answer.head.status.is_success() {
            return stream(handler, answer, flight);
        }
        match complete_response(&mut handler, answer, flight).await {
            Ok(response) => return ClientResponse::Complete(response),
            Err(Some(refusal)) => return refused(&handler, &refusal),
            Err(None) => {}
        }
    }
}

fn stream<P>(
    handler: RequestHandler<P>,
    answer: Box<StreamingResponse>,
    flight: FlightGuard<P>,
) -> ClientResponse<P>
where
    P: Platform,
{
    let mut response = Response::new(());
    *response.status_mut() = answer.head.status;
    *response.headers_mut() = P::ClientProtocol::relay_headers(&answer.head.headers);
    response.headers_mut().remove(http::header::CONTENT_LENGTH);
    ClientResponse::Stream(response, Box::new(Relay::new(handler, answer, flight)))
}

// Returns the whole answer, a refusal, or nothing when another attempt is allowed.
async fn complete_response<P>(
    handler: &mut RequestHandler<P>,
    answer: Box<StreamingResponse>,
    flight: FlightGuard<P>,
) -> Result<Response<Bytes>, Option<Refusal>>
where
    P: Platform,
{
    let collected = tokio::time::timeout(handler.remaining(), answer.collect(MAX_RESPONSE_BYTES));
    let reason = match collected.await {
        Ok(Ok((head, body))) => {
            let failed = head.status.is_server_error();
            flight.record_outcome(failed);
            handler.record_bytes();
            let outcome = if failed { "server_failed" } else { "answered" };
            handler.log_end(outcome, Some(&flight.server), head.status.as_u16());
            let mut response = Response::new(body);
            *response.status_mut() = head.status;
            *response.headers_mut() = P::ClientProtocol::relay_headers(&head.headers);
            response.headers_mut().remove(http::header::CONTENT_LENGTH);
            return Ok(response);
        }
        Ok(Err(reason)) => reason,
        Err(_) => "the deadline passed during the answer".to_owned(),
    };
    flight.record_outcome(true);
    handler.exclude(&flight.server);
    drop(flight);
    if handler.acquire_retry() {
        return Err(None);
    }
    let kind = if handler.remaining().is_zero() {
        RefusalKind::DeadlineExceeded
    } else {
        RefusalKind::BackendFailed
    };
    let ending = apricotwell_types::Ending::OutcomeUnknown;
    Err(Some(Refusal::not_run(kind, reason).with_ending(ending)))
}

fn refused<P>(handler: &RequestHandler<P>, refusal: &Refusal) -> ClientResponse<P>
where
    P: Platform,
{
    if handler.runs == 0 {
        let now = handler.gateway.now();
        let mut dispatcher = handler.gateway.dispatcher.borrow_mut();
        dispatcher.refund(now, &handler.admission);
    }
    handler.log_end(refusal.kind.code(), None, refusal.kind.status());
    log_refusal(&handler.gateway, &handler.call, refusal);
    ClientResponse::Complete(P::ClientProtocol::encode_refusal(refusal))
}

fn log_refusal<P>(gateway: &Gateway<P>, call: &Call, refusal: &Refusal)
where
    P: Platform,
{
    let dispatcher = gateway.dispatcher.borrow();
    let now = gateway.now();
    gateway.metrics.count_request(refusal.kind.code());
    let wanted = call.wanted.as_ref();
    Event::new("request_refused")
        .with("request", call.attempt.as_str())
        .with("reason", refusal.kind.code())
        .with("ending", refusal.ending.as_str())
        .with("message", refusal.message.as_str())
        .with("model", wanted.map_or("", |wanted| &*wanted.model))
        .with(
            "config",
            dispatcher.catalog.as_ref().map(|known| known.version),
        )
        .with(
            "view_age_ms",
            dispatcher
                .freshness
                .age(now)
                .map(|age| age.as_millis() as u64),
        )
        .with(
            "retry_after_ms",
            refusal.retry_after.map(|after| after.as_millis() as u64),
        )
        .log();
}
