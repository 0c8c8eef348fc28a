//! Attempts on backend servers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_web::HttpResponse;
use actix_web::http::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, HeaderName};
use awc::http::{Method, StatusCode};
use awc::{Client, ClientResponse};
use bytes::Bytes;
use serde::Deserialize;
use tokio::time::timeout;

use apricotwell_node::{AttemptOutcome, Dispatch, StoredAnswer};
use apricotwell_types::{Refusal, RefusalKind, RequestId, RunOutcome, Tokens};

use crate::NodeDriver;
use crate::answer;
use crate::shell::{Turn, Turns};
use crate::streams::{AnswerStream, StreamContext};

/// Headers of a caller that a backend server gets; all others, keys and cookies among them, are
/// held back.
const PASSED_HEADERS: [&str; 7] = [
    "accept",
    "accept-language",
    "content-type",
    "idempotency-key",
    "traceparent",
    "tracestate",
    "user-agent",
];
/// Headers of an answer that concern one connection only.
const HOP_HEADERS: [&str; 7] = [
    "connection",
    "content-length",
    "keep-alive",
    "set-cookie",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Clients of one thread.
#[derive(Clone)]
pub(crate) struct Clients {
    repeatable: Client,
    single_use: Client,
}

impl Clients {
    pub(crate) fn new() -> Self {
        Self {
            repeatable: apricotwell_adapters::pooled_client(),
            single_use: apricotwell_adapters::single_use_client(),
        }
    }
}

/// Request as it goes to a backend server.
#[derive(Clone, Debug)]
pub(crate) struct Outgoing {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) prompt: Tokens,
    // Whether the same request may be sent twice.
    pub(crate) repeatable: bool,
    // Whether a server error is the answer of a plain service rather than a failed engine.
    pub(crate) pass_errors: bool,
}

// Drops the request from the node when its handler goes away.
struct Pending {
    shell: Arc<NodeDriver>,
    request: RequestId,
    armed: bool,
}

impl Drop for Pending {
    fn drop(&mut self) {
        if self.armed {
            self.shell.cancel(self.request);
        }
    }
}

/// Takes the turns of a request until it has an answer.
pub(crate) async fn serve(
    shell: Arc<NodeDriver>,
    clients: &Clients,
    request: RequestId,
    mut turns: Turns,
    outgoing: Outgoing,
) -> HttpResponse {
    let began = Instant::now();
    let mut pending = Pending {
        shell: shell.clone(),
        request,
        armed: true,
    };
    while let Some(turn) = turns.recv().await {
        match turn {
            Turn::Refuse(refusal) => return answer::refuse(&refusal),
            Turn::Replay(recorded) => return answer::replay(recorded),
            Turn::Dispatch(dispatch) => {
                shell.metrics().note_attempt();
                let attempted = tokio::select! {
                    attempted = attempt(&shell, clients, &dispatch, &outgoing) => attempted,
                    // Only a forced end gives a request a turn while it runs.
                    Some(Turn::Refuse(refusal)) = turns.recv() => return answer::refuse(&refusal),
                };
                match attempted {
                    Ok(response) => {
                        shell
                            .metrics()
                            .note_first_byte(began.elapsed().as_secs_f64());
                        // From here on the answer itself tells the request's end.
                        pending.armed = false;
                        return response;
                    }
                    Err(end) => shell.attempt_ended(request, &dispatch.attempt, end),
                }
            }
        }
    }
    let message = "the instance ends; look up another address";
    let refusal = Refusal::not_run(RefusalKind::Unavailable, message);
    answer::refuse(&refusal.with_outcome(RunOutcome::Unknown))
}

async fn attempt(
    shell: &Arc<NodeDriver>,
    clients: &Clients,
    dispatch: &Dispatch,
    outgoing: &Outgoing,
) -> Result<HttpResponse, AttemptOutcome> {
    let response = send(shell, clients, dispatch, outgoing).await?;
    check_attempt(&response, &dispatch.attempt)?;
    check_status(&response, outgoing.pass_errors)?;
    let media = header(response.headers(), CONTENT_TYPE.as_str()).unwrap_or_default();
    let is_events = media.starts_with("text/event-stream");
    let length = header(response.headers(), CONTENT_LENGTH.as_str());
    let length = length.and_then(|text| text.parse::<usize>().ok());
    let limit = shell.settings().requests.max_whole_bytes;
    if !is_events && length.is_some_and(|length| length <= limit) {
        return whole(shell, dispatch, response, media, limit).await;
    }
    let status = response.status();
    let mut builder = HttpResponse::build(status);
    copy_headers(&response, &mut builder);
    let context = StreamContext {
        shell: shell.clone(),
        request: dispatch.request,
        attempt: dispatch.attempt.clone(),
        prompt: outgoing.prompt,
        status: status.as_u16(),
        media,
        is_events,
        keep: !outgoing.repeatable,
    };
    Ok(builder.streaming(AnswerStream::new(context, response)))
}

async fn send(
    shell: &Arc<NodeDriver>,
    clients: &Clients,
    dispatch: &Dispatch,
    outgoing: &Outgoing,
) -> Result<ClientResponse, AttemptOutcome> {
    let client = if outgoing.repeatable {
        &clients.repeatable
    } else {
        &clients.single_use
    };
    let url = format!("http://{}{}", dispatch.address, outgoing.path);
    let mut request = client
        .request(outgoing.method.clone(), url)
        .no_decompress()
        .insert_header(("x-attempt-id", dispatch.attempt.as_str()));
    if let Some(replica) = dispatch.replica {
        request = request.insert_header(("x-apricotwell-replica", replica.to_string()));
    }
    for name in PASSED_HEADERS {
        if let Some(value) = outgoing.headers.get(name) {
            request = request.insert_header((name, value.clone()));
        }
    }
    let limit = Duration::from_millis(shell.settings().requests.first_byte_ms);
    match timeout(limit, request.send_body(outgoing.body.clone())).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(error)) if apricotwell_adapters::is_unsent(&error) => {
            Err(AttemptOutcome::NotRun { unreachable: true })
        }
        Ok(Err(_)) => Err(AttemptOutcome::Disconnected { partial: false }),
        Err(_) => Err(AttemptOutcome::Stalled { partial: false }),
    }
}

// An answer to another attempt must not reach this caller; its connection is closed.
fn check_attempt(response: &ClientResponse, attempt: &str) -> Result<(), AttemptOutcome> {
    match header(response.headers(), "x-attempt-id") {
        Some(named) if !named.is_empty() && named != attempt => {
            Err(AttemptOutcome::Disconnected { partial: false })
        }
        _ => Ok(()),
    }
}

fn check_status(response: &ClientResponse, pass_errors: bool) -> Result<(), AttemptOutcome> {
    let outcome = header(response.headers(), "x-outcome");
    if outcome.as_deref() == Some(RunOutcome::NotRun.as_str()) {
        return Err(AttemptOutcome::NotRun { unreachable: true });
    }
    if response.status().is_server_error() && !pass_errors {
        return Err(AttemptOutcome::Failed);
    }
    Ok(())
}

// Holds an answer back until it is whole, so that a broken one can be tried again.
async fn whole(
    shell: &Arc<NodeDriver>,
    dispatch: &Dispatch,
    mut response: ClientResponse,
    media: String,
    limit: usize,
) -> Result<HttpResponse, AttemptOutcome> {
    let progress = Duration::from_millis(shell.settings().requests.progress_ms);
    let read = response.body().limit(limit);
    let body = match timeout(progress, read).await {
        Ok(Ok(body)) => body,
        Ok(Err(_)) => return Err(AttemptOutcome::Disconnected { partial: false }),
        Err(_) => return Err(AttemptOutcome::Stalled { partial: false }),
    };
    let status = response.status();
    let mut builder = HttpResponse::build(status);
    copy_headers(&response, &mut builder);
    let used = if status == StatusCode::OK {
        usage_tokens(&body)
    } else {
        Some(0)
    };
    let stored = (body.len() <= shell.settings().requests.max_kept_bytes).then(|| body.to_vec());
    let answer = StoredAnswer {
        status: status.as_u16(),
        content_type: media,
        body: stored,
    };
    shell.metrics().note_answer(0);
    let end = AttemptOutcome::Answered { answer, used };
    shell.attempt_ended(dispatch.request, &dispatch.attempt, end);
    Ok(builder.body(body))
}

fn copy_headers(response: &ClientResponse, builder: &mut actix_web::HttpResponseBuilder) {
    for (name, value) in response.headers() {
        if !is_held_back(name) {
            builder.append_header((name.clone(), value.clone()));
        }
    }
}

fn is_held_back(name: &HeaderName) -> bool {
    HOP_HEADERS.contains(&name.as_str())
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

#[derive(Deserialize)]
struct WithUsage {
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Usage {
    total_tokens: Option<Tokens>,
}

/// Returns the tokens that an answer says it used.
pub(crate) fn usage_tokens(body: &[u8]) -> Option<Tokens> {
    let parsed: WithUsage = serde_json::from_slice(body).ok()?;
    parsed.usage?.total_tokens
}
