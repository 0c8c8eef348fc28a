//! Client requests: admission, and responses to the client.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use apricotwell_dispatch::prelude::*;
use apricotwell_http::connections::{Connection, TrackedBody};
use apricotwell_http::pool::StreamingResponse;
use apricotwell_types::{Refusal, RefusalKind, RunOutcome};
use bytes::Bytes;
use futures_util::Stream;
use http::{HeaderName, HeaderValue, Request, Response, request, response};
use http_body_util::{BodyExt, Either, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::ext::ReasonPhrase;

use crate::adapter::{ClientProtocol, Platform};
use crate::budget::{Budget, Reservation};
use crate::events::Event;
use crate::gateway::Gateway;
use crate::guard::FlightGuard;
use crate::handler::{NOT_SERVED, RequestHandler};
use crate::relay::{Relay, RelayError};
use crate::trace::ReceivedBody;

/// Size limit of a non-streaming response, which is buffered in memory.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Time limit for receiving a request body, unless the client's timeout is shorter.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after a request to stop during which requests are still admitted. A request admitted later
/// might not finish within the grace period.
const ADMISSION_AFTER_STOP: Duration = Duration::from_secs(3);
/// The same as a share of the grace period, for grace periods shorter than 8 s.
const ADMISSION_SHARE: f64 = 0.375;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Time for which a client may use its connection again after a response. A stop closes connections that
/// have been idle for 1.8 s, so that no request of a client that honors this time crosses the close.
const KEEP_ALIVE_TIME: &str = "timeout=1";

/// Where a request comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A client.
    Client,
    /// Another instance, which passes on a client's request.
    Instance,
}

/// Response to a client: buffered or streamed.
enum ClientResponse<P>
where
    P: Platform,
{
    Complete(Response<Bytes>),
    Stream(Response<()>, Box<Relay<P>>),
}

/// Serves one client request.
///
/// # Errors
///
/// Never fails: failures become responses. The body of a streamed response can still fail, which
/// closes the connection.
pub async fn serve<P>(
    gateway: Rc<Gateway<P>>,
    connection: Rc<Connection>,
    request: Request<Incoming>,
    origin: Origin,
) -> Result<
    Response<
        TrackedBody<
            Either<Full<Bytes>, StreamBody<impl Stream<Item = Result<Frame<Bytes>, RelayError>>>>,
        >,
    >,
    Infallible,
>
where
    P: Platform,
{
    connection.begin_request();
    let mut response = match respond(&gateway, &connection, request, origin).await {
        ClientResponse::Complete(response) => response.map(|body| Either::Left(Full::new(body))),
        ClientResponse::Stream(response, relay) => {
            response.map(|()| Either::Right(StreamBody::new(relay.into_frames())))
        }
    };
    let closes = gateway.stop_requested.get().is_some();
    let (name, value) = if closes {
        (http::header::CONNECTION, HeaderValue::from_static("close"))
    } else {
        (KEEP_ALIVE, HeaderValue::from_static(KEEP_ALIVE_TIME))
    };
    response.headers_mut().insert(name, value);
    let guard = connection.begin_response(closes);
    Ok(response.map(|body| TrackedBody::new(body, guard)))
}

async fn respond<P>(
    gateway: &Rc<Gateway<P>>,
    connection: &Connection,
    request: Request<Incoming>,
    origin: Origin,
) -> ClientResponse<P>
where
    P: Platform,
{
    let (head, body) = request.into_parts();
    match admit_request(gateway, connection, head, body, origin).await {
        Ok(mut handler) => match handler.bind_resumption().await {
            Ok(()) => run_attempts(handler).await,
            Err(refusal) => refuse(&mut handler, &refusal),
        },
        Err(refusal) => ClientResponse::Complete(encode_refusal::<P>(&refusal, origin)),
    }
}

// Encodes a refusal; tells another instance if a third one may serve the request.
fn encode_refusal<P>(refusal: &Refusal, origin: Origin) -> Response<Bytes>
where
    P: Platform,
{
    let mut response = P::ClientProtocol::encode_refusal(refusal);
    let is_not_run = refusal.outcome == RunOutcome::NotRun;
    if origin == Origin::Instance && is_not_run && refusal.kind == RefusalKind::Unavailable {
        let value = HeaderValue::from_static("unavailable");
        response.headers_mut().insert(NOT_SERVED, value);
    }
    response
}

// Decodes and admits a request.
async fn admit_request<P>(
    gateway: &Rc<Gateway<P>>,
    connection: &Connection,
    head: request::Parts,
    body: Incoming,
    origin: Origin,
) -> Result<RequestHandler<P>, Refusal>
where
    P: Platform,
{
    let request = P::ClientProtocol::decode_request(&head)?;
    let admitted = read_and_admit(gateway, connection, &head, body, &request, origin).await;
    if let Err(refusal) = &admitted {
        log_refusal(gateway, &request, refusal);
    }
    let (body, admission) = admitted?;
    Ok(RequestHandler::new(
        gateway, head, body, request, admission, origin,
    ))
}

async fn read_and_admit<P>(
    gateway: &Rc<Gateway<P>>,
    connection: &Connection,
    head: &request::Parts,
    body: Incoming,
    request: &RequestHead,
    origin: Origin,
) -> Result<(BufferedBody, Admission), Refusal>
where
    P: Platform,
{
    check_admission(gateway)?;
    let limit = body_limit(gateway);
    let body = read_body(head, body, limit, &gateway.body_budget, request.timeout).await?;
    connection.begin_serving();
    check_admission(gateway)?;
    let now = gateway.now();
    let mut dispatcher = gateway.dispatcher.borrow_mut();
    let admission = match origin {
        Origin::Client => dispatcher.admit(now, request)?,
        Origin::Instance => dispatcher.admit_forwarded(now, request)?,
    };
    if dispatcher.is_near_limit(now, &admission) {
        gateway.heartbeat_due.notify_one();
    }
    Ok((body, admission))
}

// Refuses a request that was not read early enough in a stop.
fn check_admission<P>(gateway: &Gateway<P>) -> Result<(), Refusal>
where
    P: Platform,
{
    let share = gateway.timings.grace.mul_f64(ADMISSION_SHARE);
    let limit = share.min(ADMISSION_AFTER_STOP);
    if gateway.time_since_stop().is_none_or(|time| time <= limit) {
        return Ok(());
    }
    gateway.connections.count_refused();
    let text = "this instance is shutting down; use another one";
    Err(Refusal::not_run(RefusalKind::Unavailable, text).with_retry_after(Duration::ZERO))
}

fn body_limit<P>(gateway: &Gateway<P>) -> usize
where
    P: Platform,
{
    let dispatcher = gateway.dispatcher.borrow();
    let catalog = dispatcher.catalog.as_ref();
    catalog.map_or(ClientLimits::default().body_bytes, |catalog| {
        catalog.limits.body_bytes
    })
}

/// Request body in memory, with its reservation of the body budget.
pub struct BufferedBody {
    /// Content of the body.
    pub bytes: Bytes,
    _reservation: Reservation,
}

async fn read_body(
    head: &request::Parts,
    body: Incoming,
    limit: usize,
    budget: &Budget,
    timeout: Option<Duration>,
) -> Result<BufferedBody, Refusal> {
    let content_length = head
        .headers
        .get(http::header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    if content_length.is_some_and(|content_length| content_length > limit) {
        return Err(too_large());
    }
    let time_limit = timeout.unwrap_or(BODY_TIMEOUT).min(BODY_TIMEOUT);
    let collected = tokio::time::timeout(time_limit, collect(body, limit, budget)).await;
    collected.unwrap_or_else(|_| {
        let text = "the request body was not received in time";
        Err(Refusal::not_run(RefusalKind::RequestTimeout, text))
    })
}

async fn collect(
    mut body: Incoming,
    limit: usize,
    budget: &Budget,
) -> Result<BufferedBody, Refusal> {
    let Some(mut reservation) = budget.try_reserve(0) else {
        return Err(body_budget_exhausted());
    };
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            let text = format!("the request body is incomplete: {error}");
            Refusal::not_run(RefusalKind::BadRequest, text)
        })?;
        // Trailers are not forwarded.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > limit {
            return Err(too_large());
        }
        if !reservation.grow(data.len()) {
            return Err(body_budget_exhausted());
        }
        bytes.extend_from_slice(&data);
    }
    Ok(BufferedBody {
        bytes: bytes.into(),
        _reservation: reservation,
    })
}

fn too_large() -> Refusal {
    Refusal::not_run(
        RefusalKind::RequestTooLarge,
        "the request body is over the limit",
    )
}

fn body_budget_exhausted() -> Refusal {
    let text = "the request bodies in memory are over the limit; retry later";
    Refusal::not_run(RefusalKind::Overloaded, text).with_retry_after(Duration::from_millis(500))
}

async fn run_attempts<P>(mut handler: RequestHandler<P>) -> ClientResponse<P>
where
    P: Platform,
{
    let last_event = handler.request.last_event_id();
    loop {
        let (server_response, flight) = match handler.first_response(last_event).await {
            Ok(received) => received,
            Err(refusal) => return refuse(&mut handler, &refusal),
        };
        let is_stream = handler.admission.route.kind.is_stream();
        // Before HTTP/1.1 the end of a stream can't be marked, so the client gets it whole.
        let can_stream = handler.head.version >= http::Version::HTTP_11;
        if is_stream && can_stream && server_response.head.status.is_success() {
            return stream_response(handler, server_response, flight);
        }
        match complete_response(&mut handler, server_response, flight).await {
            Ok(response) => return ClientResponse::Complete(response),
            Err(Some(refusal)) => return refuse(&mut handler, &refusal),
            Err(None) => {}
        }
    }
}

fn stream_response<P>(
    mut handler: RequestHandler<P>,
    server_response: Box<StreamingResponse>,
    flight: FlightGuard<P>,
) -> ClientResponse<P>
where
    P: Platform,
{
    let mut response = Response::new(());
    *response.status_mut() = server_response.head.status;
    *response.headers_mut() = P::ClientProtocol::relay_headers(&server_response.head.headers);
    relay_phrase(&server_response.head, &mut response);
    response.headers_mut().remove(http::header::CONTENT_LENGTH);
    handler.name_version(response.headers_mut());
    ClientResponse::Stream(
        response,
        Box::new(Relay::new(handler, server_response, flight)),
    )
}

// Keeps the server's reason phrase, if it is not the standard one of the status.
fn relay_phrase<B>(head: &response::Parts, response: &mut Response<B>) {
    if let Some(phrase) = head.extensions.get::<ReasonPhrase>() {
        response.extensions_mut().insert(phrase.clone());
    }
}

// Collects a response and returns it for the client. The error is the refusal to send, or `None` if
// another attempt is allowed.
async fn complete_response<P>(
    handler: &mut RequestHandler<P>,
    server_response: Box<StreamingResponse>,
    flight: FlightGuard<P>,
) -> Result<Response<Bytes>, Option<Refusal>>
where
    P: Platform,
{
    let mut received = ReceivedBody {
        framing: server_response.framing(),
        events: 0,
        partial_bytes: 0,
        failure: None,
    };
    let began = handler.gateway.now();
    let mut reservation = handler.gateway.response_budget.try_reserve(0);
    let may_hold = |chunk: &[u8]| reservation.as_mut().is_some_and(|it| it.grow(chunk.len()));
    let collected = tokio::time::timeout(
        handler.remaining(),
        server_response.collect_while(MAX_RESPONSE_BYTES, may_hold),
    );
    let reason = match collected.await {
        Ok(Ok((head, body))) => {
            handler.end_response(received);
            handler.record_run_time();
            let failed = head.status.is_server_error();
            flight.record_outcome(failed);
            if !handler.is_refused_elsewhere {
                handler.record_sound(began);
            }
            handler.record_bytes();
            if handler.admission.route.kind.is_stream() && head.status.is_success() {
                handler.bind_delivered();
                handler.announce_stream().await;
            }
            let outcome = if handler.is_refused_elsewhere {
                "refused_elsewhere"
            } else if failed {
                "server_failed"
            } else {
                "answered"
            };
            handler.log_end(outcome, Some(&flight.server), head.status.as_u16());
            let mut response = Response::new(body);
            *response.status_mut() = head.status;
            *response.headers_mut() = P::ClientProtocol::relay_headers(&head.headers);
            relay_phrase(&head, &mut response);
            response.headers_mut().remove(http::header::CONTENT_LENGTH);
            return Ok(response);
        }
        Ok(Err(reason)) => {
            handler.check_crash(&flight.server, None);
            reason
        }
        Err(_) => "the deadline passed during the response".to_owned(),
    };
    received.failure = Some(reason.clone());
    handler.end_response(received);
    handler.log_attempt(&flight.server, "broken_off", &reason, None);
    flight.record_outcome(true);
    handler.exclude(&flight.server);
    let server = flight.server.clone();
    drop(flight);
    if handler.may_go_on(&server).await && handler.acquire_retry() {
        return Err(None);
    }
    let kind = if handler.remaining().is_zero() {
        RefusalKind::DeadlineExceeded
    } else {
        RefusalKind::BackendFailed
    };
    let outcome = apricotwell_types::RunOutcome::Unknown;
    Err(Some(Refusal::not_run(kind, reason).with_outcome(outcome)))
}

// Ends a request with a refusal; refunds its tokens if no server ran it.
fn refuse<P>(handler: &mut RequestHandler<P>, refusal: &Refusal) -> ClientResponse<P>
where
    P: Platform,
{
    if handler.runs == 0 {
        handler.refund();
    }
    handler.log_end(refusal.kind.code(), None, refusal.kind.status());
    log_refusal(&handler.gateway, &handler.request, refusal);
    ClientResponse::Complete(encode_refusal::<P>(refusal, handler.origin))
}

fn log_refusal<P>(gateway: &Gateway<P>, request: &RequestHead, refusal: &Refusal)
where
    P: Platform,
{
    let dispatcher = gateway.dispatcher.borrow();
    let now = gateway.now();
    gateway.metrics.count_request(refusal.kind.code());
    let requested = request.requested_model.as_ref();
    Event::new("request_refused")
        .with("request", request.attempt.as_str())
        .with("reason", refusal.kind.code())
        .with("ending", refusal.outcome.as_str())
        .with("message", refusal.message.as_str())
        .with("model", requested.map_or("", |requested| &*requested.model))
        .with(
            "config",
            dispatcher.catalog.as_ref().map(|catalog| catalog.version),
        )
        .with_optional_time("view_age_ms", dispatcher.freshness.age(now))
        .with_optional_time("retry_after_ms", refusal.retry_after)
        .log();
}
