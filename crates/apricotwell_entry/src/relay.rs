//! Sends requests to backend servers and relays the responses.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_web::http::header::HeaderMap;
use actix_web::http::{Method, StatusCode};
use actix_web::{HttpResponse, HttpResponseBuilder};
use bytes::Bytes;
use http::{Request, response};
use http_body_util::Full;
use log::warn;
use serde::Deserialize;
use tokio::task::spawn_local;
use tokio::time::{interval, timeout, timeout_at};

use apricotwell_framing::BodyFraming;
use apricotwell_http::pool::{ConnectionPool, Reuse, SendError, StreamingResponse};
use apricotwell_node::{AttemptOutcome, Dispatch, StoredAnswer};
use apricotwell_permits::prelude::{LimitResponse, RequestRate};
use apricotwell_types::{Refusal, RefusalKind, RequestId, RunOutcome, Tokens};

use crate::NodeDriver;
use crate::driver::{RequestStep, StepReceiver};
use crate::responses;
use crate::streams::{self, ResponseStream, StreamContext};

/// Request headers that are forwarded to a backend server. All others, including API keys and
/// cookies, are dropped.
const FORWARDED_HEADERS: [&str; 7] = [
    "accept",
    "accept-language",
    "content-type",
    "idempotency-key",
    "traceparent",
    "tracestate",
    "user-agent",
];
/// Response headers that are not forwarded: they apply to one connection only, or set cookies.
const DROPPED_HEADERS: [&str; 7] = [
    "connection",
    "content-length",
    "keep-alive",
    "set-cookie",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Start of the content type of event streams.
const EVENT_STREAM: &str = "text/event-stream";

/// Connections of one worker thread to backend servers.
#[derive(Clone)]
pub(crate) struct ServerConnections(Rc<ConnectionPool>);

impl ServerConnections {
    /// Returns the connections of the calling thread, and starts to close those that have expired and
    /// the streams without progress.
    pub(crate) fn start(driver: &Arc<NodeDriver>) -> Self {
        let pool = ConnectionPool::new();
        spawn_local(maintain(driver.clone(), Rc::clone(&pool)));
        Self(pool)
    }
}

async fn maintain(driver: Arc<NodeDriver>, pool: Rc<ConnectionPool>) {
    let settings = driver.settings();
    let progress_timeout = Duration::from_millis(settings.requests.progress_ms);
    let client_timeout = Duration::from_millis(settings.callers.stalled_caller_ms);
    let mut period = interval(streams::SWEEP_PERIOD);
    loop {
        period.tick().await;
        if driver.is_aborting() {
            streams::abort_all();
        }
        streams::sweep(Instant::now(), progress_timeout, client_timeout);
        pool.expire();
    }
}

/// Request to a backend server.
#[derive(Clone, Debug)]
pub(crate) struct OutgoingRequest {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) prompt_tokens: Tokens,
    // Whether the request may be sent more than once.
    pub(crate) repeatable: bool,
    // Whether a 5xx response is passed on as a plain service's answer. Otherwise it counts as a
    // failed engine.
    pub(crate) pass_errors: bool,
    // Whether the client can't receive chunks, so that it needs the response with a length.
    pub(crate) needs_length: bool,
}

// Cancels the request when its handler is dropped.
struct CancelGuard {
    driver: Arc<NodeDriver>,
    request: RequestId,
    armed: bool,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if self.armed {
            self.driver.cancel(self.request);
        }
    }
}

/// Executes the steps of a request until it has a response.
pub(crate) async fn serve(
    driver: Arc<NodeDriver>,
    connections: &ServerConnections,
    request: RequestId,
    mut steps: StepReceiver,
    outgoing: OutgoingRequest,
) -> HttpResponse {
    let started = Instant::now();
    let mut cancel_guard = CancelGuard {
        driver: driver.clone(),
        request,
        armed: true,
    };
    while let Some(step) = steps.recv().await {
        match step {
            RequestStep::Refuse(refusal) => return responses::refusal(&refusal),
            RequestStep::Replay(recorded) => return responses::replay(recorded),
            RequestStep::Dispatch(dispatch) => {
                driver.metrics().count_attempt();
                let result = tokio::select! {
                    response = attempt(&driver, connections, &dispatch, &outgoing) => response,
                    // Only a forced shutdown sends a step while an attempt runs.
                    Some(RequestStep::Refuse(refusal)) = steps.recv()
                        => return responses::refusal(&refusal),
                };
                match result {
                    Ok(response) => {
                        driver
                            .metrics()
                            .record_first_byte(started.elapsed().as_secs_f64());
                        // From here on the response stream reports the request's outcome.
                        cancel_guard.armed = false;
                        return response;
                    }
                    Err(outcome) => driver.finish_attempt(request, &dispatch.attempt, outcome),
                }
            }
        }
    }
    let message = "the instance is shutting down; look up another address";
    let refusal = Refusal::not_run(RefusalKind::Unavailable, message);
    responses::refusal(&refusal.with_outcome(RunOutcome::Unknown))
}

async fn attempt(
    driver: &Arc<NodeDriver>,
    connections: &ServerConnections,
    dispatch: &Dispatch,
    outgoing: &OutgoingRequest,
) -> Result<HttpResponse, AttemptOutcome> {
    let sent_at = Instant::now();
    let response = send(driver, connections, dispatch, outgoing).await?;
    check_attempt(&response, &dispatch.attempt)?;
    report_limit(driver, dispatch, sent_at, &response);
    check_status(&response, outgoing.pass_errors)?;
    let content_type = response.content_type().to_owned();
    let is_event_stream = content_type.starts_with(EVENT_STREAM);
    let length = header(&response, "content-length");
    let length = length.and_then(|text| text.parse::<usize>().ok());
    let limit = driver.settings().requests.max_whole_bytes;
    let has_length = response.framing() == BodyFraming::Length;
    let is_short = has_length && length.is_some_and(|length| length <= limit);
    if outgoing.needs_length || (!is_event_stream && is_short) {
        return buffer_response(driver, dispatch, response, content_type, limit).await;
    }
    let mut builder = response_builder(&response);
    let context = StreamContext {
        driver: driver.clone(),
        request: dispatch.request,
        attempt: dispatch.attempt.clone(),
        prompt_tokens: outgoing.prompt_tokens,
        status: response.head.status.as_u16(),
        content_type,
        is_event_stream,
        store_body: !outgoing.repeatable,
    };
    Ok(builder.streaming(ResponseStream::new(context, response)))
}

async fn send(
    driver: &Arc<NodeDriver>,
    connections: &ServerConnections,
    dispatch: &Dispatch,
    outgoing: &OutgoingRequest,
) -> Result<StreamingResponse, AttemptOutcome> {
    let unsent = AttemptOutcome::NotRun { unreachable: true };
    let Ok(address) = dispatch.address.parse() else {
        warn!("{} is no address; list it as ip:port", dispatch.address);
        return Err(unsent);
    };
    let request = match encode_request(dispatch, outgoing) {
        Ok(request) => request,
        Err(error) => {
            warn!("a request can't be encoded: {error}");
            return Err(unsent);
        }
    };
    let reuse = if outgoing.repeatable {
        Reuse::Any
    } else {
        Reuse::Never
    };
    let limit = Duration::from_millis(driver.settings().requests.first_byte_ms);
    match timeout(limit, connections.0.send(address, request, reuse)).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(SendError::Unsent(_))) => Err(unsent),
        Ok(Err(SendError::Lost(_) | SendError::Invalid(_))) => {
            Err(AttemptOutcome::Disconnected { partial: false })
        }
        Err(_) => Err(AttemptOutcome::Stalled { partial: false }),
    }
}

fn encode_request(
    dispatch: &Dispatch,
    outgoing: &OutgoingRequest,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let mut request = Request::builder()
        .method(outgoing.method.as_str())
        .uri(&outgoing.path)
        .header("host", &dispatch.address)
        .header("x-attempt-id", &dispatch.attempt);
    if let Some(replica) = dispatch.replica {
        request = request.header("x-apricotwell-replica", replica.to_string());
    }
    for name in FORWARDED_HEADERS {
        if let Some(value) = outgoing.headers.get(name) {
            request = request.header(name, value.as_bytes());
        }
    }
    request.body(Full::new(outgoing.body.clone()))
}

// A response to another attempt must not reach this client; its connection is closed.
fn check_attempt(response: &StreamingResponse, attempt: &str) -> Result<(), AttemptOutcome> {
    match header(response, "x-attempt-id") {
        Some(received) if !received.is_empty() && received != attempt => {
            Err(AttemptOutcome::Disconnected { partial: false })
        }
        _ => Ok(()),
    }
}

// Reports the limit that a server names for all instances together, or that it names none any more.
fn report_limit(
    driver: &NodeDriver,
    dispatch: &Dispatch,
    sent_at: Instant,
    response: &StreamingResponse,
) {
    let rate = header(response, "x-request-limit").and_then(|text| text.trim().parse().ok());
    let rate = rate.filter(|rate: &RequestRate| rate.is_finite() && *rate >= 0.0);
    if rate.is_some() || dispatch.is_limited {
        let response = LimitResponse { sent_at, rate };
        driver.update(|node, now| node.on_server_limit(now, &dispatch.server, response));
    }
}

fn check_status(response: &StreamingResponse, pass_errors: bool) -> Result<(), AttemptOutcome> {
    let outcome = header(response, "x-outcome");
    if outcome.as_deref() == Some(RunOutcome::NotRun.as_str()) {
        return Err(AttemptOutcome::NotRun { unreachable: true });
    }
    if response.head.status.is_server_error() && !pass_errors {
        return Err(AttemptOutcome::Failed);
    }
    Ok(())
}

// Buffers a response until it is complete, so that an interrupted one can be retried.
async fn buffer_response(
    driver: &Arc<NodeDriver>,
    dispatch: &Dispatch,
    response: StreamingResponse,
    content_type: String,
    limit: usize,
) -> Result<HttpResponse, AttemptOutcome> {
    let progress = Duration::from_millis(driver.settings().requests.progress_ms);
    let mut builder = response_builder(&response);
    let (head, body) = collect_steadily(response, limit, progress).await?;
    if content_type.starts_with(EVENT_STREAM) && !streams::is_done(&body) {
        return Err(AttemptOutcome::Disconnected { partial: false });
    }
    let used = if head.status == http::StatusCode::OK {
        usage_tokens(&body)
    } else {
        Some(0)
    };
    let stored = (body.len() <= driver.settings().requests.max_kept_bytes).then(|| body.to_vec());
    let answer = StoredAnswer {
        status: head.status.as_u16(),
        content_type,
        body: stored,
    };
    driver.metrics().count_response(0);
    let outcome = AttemptOutcome::Answered { answer, used };
    driver.finish_attempt(dispatch.request, &dispatch.attempt, outcome);
    Ok(builder.body(body))
}

// Reads the whole body, each piece of which may take `progress`.
async fn collect_steadily(
    response: StreamingResponse,
    limit: usize,
    progress: Duration,
) -> Result<(response::Parts, Bytes), AttemptOutcome> {
    let last_piece = Cell::new(Instant::now());
    let collected = response.collect_while(limit, |_| {
        last_piece.set(Instant::now());
        true
    });
    tokio::pin!(collected);
    loop {
        let deadline = last_piece.get() + progress;
        match timeout_at(deadline.into(), collected.as_mut()).await {
            Ok(Ok(collected)) => return Ok(collected),
            Ok(Err(_)) => return Err(AttemptOutcome::Disconnected { partial: false }),
            // A piece has come meanwhile.
            Err(_) if last_piece.get() + progress > deadline => {}
            Err(_) => return Err(AttemptOutcome::Stalled { partial: false }),
        }
    }
}

// Returns the start of the response to the client, with the headers that are forwarded.
fn response_builder(response: &StreamingResponse) -> HttpResponseBuilder {
    // Both libraries accept the same status codes.
    let status = StatusCode::from_u16(response.head.status.as_u16());
    let mut builder = HttpResponse::build(status.unwrap_or(StatusCode::BAD_GATEWAY));
    for (name, value) in &response.head.headers {
        if !DROPPED_HEADERS.contains(&name.as_str()) {
            builder.append_header((name.as_str(), value.as_bytes()));
        }
    }
    builder
}

fn header(response: &StreamingResponse, name: &str) -> Option<String> {
    let value = response.head.headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

#[derive(Deserialize)]
struct ResponseUsage {
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Usage {
    total_tokens: Option<Tokens>,
}

/// Returns the token usage that a response body reports.
pub(crate) fn usage_tokens(body: &[u8]) -> Option<Tokens> {
    let parsed: ResponseUsage = serde_json::from_slice(body).ok()?;
    parsed.usage?.total_tokens
}
