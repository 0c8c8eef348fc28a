//! Stand-in for a model engine.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use actix_web::http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_web::web::{Bytes, Data, Json};
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use futures_util::stream;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::time::sleep;

use apricotwell_adapters::{OrderBody, OrderReply, ReplicaBody, ReportBody};
use apricotwell_fakes::EngineState;
use apricotwell_node::{EngineOrder, OrderKind, ReportedReplica};

use crate::cut::{self, Cut};

/// Stand-in for a model engine: loads models, streams completions, sends reports and injects
/// faults.
///
/// Faults are set with `POST /faults`; `GET /audit` returns counters of the work done.
#[derive(argh::FromArgs, Clone, Debug)]
pub struct EngineArgs {
    /// address to listen on, as ip:port
    #[argh(option)]
    pub listen: String,
    /// address of the platform, as ip:port
    #[argh(option, default = "String::from(\"127.0.0.1:7600\")")]
    pub platform: String,
    /// accelerator memory in MiB
    #[argh(option, default = "48000")]
    pub memory_mib: u64,
    /// reject orders with a stale fencing token
    #[argh(switch)]
    pub fencing: bool,
    /// milliseconds to the first token
    #[argh(option, default = "20")]
    pub first_token_ms: u64,
    /// milliseconds between tokens
    #[argh(option, default = "5")]
    pub token_ms: u64,
    /// text that makes the process abort if a request body contains it
    #[argh(option)]
    pub crash_on: Option<String>,
}

/// Change of an engine's faults, as received by `POST /faults`. Absent fields keep their value.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct EngineFaults {
    /// Number of upcoming orders that take effect but whose reply is lost.
    lose_order_replies: Option<u32>,
    /// Whether the engine reports that it is leaving and refuses new requests.
    leaving: Option<bool>,
    /// Number of upcoming requests whose response, if streamed, breaks after two tokens.
    break_streams: Option<u32>,
    /// Number of upcoming requests that hang for an hour.
    #[serde(rename = "silent")]
    hanging_requests: Option<u32>,
    /// Number of upcoming responses that carry the id of another attempt.
    #[serde(rename = "cross")]
    wrong_attempts: Option<u32>,
    /// Completions to break off.
    cut: Option<Cut>,
    /// Number of upcoming completions whose body goes on without an end.
    endless: Option<u32>,
    /// Requests per second that the engine accepts from all instances together, named in its
    /// responses; 0 for no limit.
    request_limit: Option<f64>,
}

#[derive(Default)]
struct Faults {
    lose_order_replies: u32,
    leaving: bool,
    break_streams: u32,
    hanging_requests: u32,
    wrong_attempts: u32,
    cut: Option<Cut>,
    endless: u32,
    request_limit: Option<f64>,
}

#[derive(Clone)]
struct Engine {
    args: EngineArgs,
    state: Arc<Mutex<EngineState>>,
    faults: Arc<Mutex<Faults>>,
}

impl Engine {
    fn state(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn faults(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

// Ends a request when its response is dropped, complete or not.
struct RequestGuard {
    engine: Engine,
    replica: u64,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.engine.state().end_request(self.replica);
    }
}

/// Runs the stand-in until it is stopped.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn run_engine(args: EngineArgs) -> io::Result<()> {
    let incarnation = apricotwell_logging::wall_time().as_millis() as u64;
    let state = EngineState::new(incarnation, args.memory_mib, args.fencing);
    let listen = args.listen.clone();
    let engine = Engine {
        args,
        state: Arc::new(Mutex::new(state)),
        faults: Arc::new(Mutex::new(Faults::default())),
    };
    let app = move || {
        App::new()
            .app_data(Data::new(engine.clone()))
            .app_data(web::PayloadConfig::new(16 << 20))
            .route("/orders", web::post().to(handle_order))
            .route("/report", web::get().to(report))
            .route("/audit", web::get().to(audit))
            .route("/faults", web::post().to(set_faults))
            .route("/v1/chat/completions", web::post().to(complete))
            .route("/v1/completions", web::post().to(complete))
    };
    HttpServer::new(app)
        .workers(1)
        .keep_alive(Duration::from_secs(75))
        .shutdown_timeout(1)
        .bind(&listen)?
        .run()
        .await
}

async fn handle_order(engine: Data<Engine>, order: Json<OrderBody>) -> HttpResponse {
    let result = match order_from(order.into_inner()) {
        Some(order) if order.kind == OrderKind::Load => load_replica(&engine, &order).await,
        Some(order) => {
            let unloaded = engine.state().unload(&order);
            unloaded.map_err(|error| error.as_str())
        }
        None => Err("unknown kind of order"),
    };
    let lost = {
        let mut faults = engine.faults();
        let lost = faults.lose_order_replies > 0;
        faults.lose_order_replies = faults.lose_order_replies.saturating_sub(1);
        lost
    };
    if lost {
        return HttpResponse::InternalServerError().body("the reply was lost by an injected fault");
    }
    match result {
        Ok(()) => HttpResponse::Ok().json(OrderReply {
            done: true,
            reason: String::new(),
        }),
        Err(reason) => HttpResponse::Conflict().json(OrderReply {
            done: false,
            reason: reason.to_owned(),
        }),
    }
}

fn order_from(body: OrderBody) -> Option<EngineOrder> {
    let kind = match body.kind.as_str() {
        "load" => OrderKind::Load,
        "unload" => OrderKind::Unload,
        _ => return None,
    };
    Some(EngineOrder {
        kind,
        replica: body.replica,
        model: body.model.into(),
        version: body.version,
        memory_mib: body.memory_mib,
        fencing_token: body.fencing_token,
        incarnation: body.incarnation,
    })
}

fn replica_bodies(state: &EngineState) -> Vec<ReplicaBody> {
    let body = |reported: ReportedReplica| ReplicaBody {
        replica: reported.replica,
        model: state
            .model_of(reported.replica)
            .map_or_else(String::new, ToString::to_string),
        loaded: reported.loaded,
    };
    state.replicas().into_iter().map(body).collect()
}

#[derive(Serialize)]
struct AuditBody {
    requests: u64,
    secrets_seen: u64,
    most_mib: u64,
    overcommits: u64,
    loads: u64,
    most_requests: u32,
}

async fn load_replica(engine: &Engine, order: &EngineOrder) -> Result<(), &'static str> {
    let started = engine.state().begin_load(order);
    if started.map_err(|error| error.as_str())? {
        let adapter = order.model.contains(':');
        let url = format!("http://{}/weights?adapter={adapter}", engine.args.platform);
        let client = apricotwell_adapters::control_client();
        // An unreachable weight store delays the load but doesn't make it fail.
        if client.get(url).send().await.is_err() {
            sleep(Duration::from_secs(1)).await;
        }
        engine.state().end_load(order.replica);
    }
    while !engine.state().is_loaded(order.replica) {
        sleep(Duration::from_millis(5)).await;
    }
    Ok(())
}

async fn report(engine: Data<Engine>) -> HttpResponse {
    let leaving = engine.faults().leaving;
    let state = engine.state();
    HttpResponse::Ok().json(ReportBody {
        incarnation: state.incarnation(),
        replicas: replica_bodies(&state),
        requests: state.running_requests(),
        lag_ms: 0,
        leaving,
        cached: Vec::new(),
        used_mib: state.used_mib(),
    })
}

async fn audit(engine: Data<Engine>) -> HttpResponse {
    let stats = engine.state().stats().clone();
    HttpResponse::Ok().json(AuditBody {
        requests: stats.requests,
        secrets_seen: stats.secrets_seen,
        most_mib: stats.peak_mib,
        overcommits: stats.overcommits,
        loads: stats.loads,
        most_requests: stats.peak_requests,
    })
}

async fn set_faults(engine: Data<Engine>, requested: Json<EngineFaults>) -> HttpResponse {
    let requested = requested.into_inner();
    let mut faults = engine.faults();
    faults.lose_order_replies = requested
        .lose_order_replies
        .unwrap_or(faults.lose_order_replies);
    faults.leaving = requested.leaving.unwrap_or(faults.leaving);
    faults.break_streams = requested.break_streams.unwrap_or(faults.break_streams);
    faults.hanging_requests = requested
        .hanging_requests
        .unwrap_or(faults.hanging_requests);
    faults.wrong_attempts = requested.wrong_attempts.unwrap_or(faults.wrong_attempts);
    faults.cut = requested.cut.or(faults.cut);
    faults.endless = requested.endless.unwrap_or(faults.endless);
    let limit = requested.request_limit.or(faults.request_limit);
    faults.request_limit = limit.filter(|limit| *limit > 0.0);
    HttpResponse::Ok().finish()
}

#[derive(Deserialize)]
struct CompletionBody {
    model: String,
    #[serde(default)]
    messages: Value,
    #[serde(default)]
    prompt: Value,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    stream_options: Value,
}

// Completion that the engine generates for a request.
struct Completion {
    chat: bool,
    model: String,
    tokens: u64,
    prompt_tokens: u64,
    include_usage: bool,
    // Whether the stream breaks after two tokens.
    break_stream: bool,
}

async fn complete(engine: Data<Engine>, request: HttpRequest, body: Bytes) -> HttpResponse {
    count_secrets(&engine, request.headers());
    if let Some(text) = &engine.args.crash_on
        && String::from_utf8_lossy(&body).contains(text.as_str())
    {
        std::process::abort();
    }
    let Ok(parsed) = serde_json::from_slice::<CompletionBody>(&body) else {
        return HttpResponse::BadRequest().json(json!({"error": {"message": "invalid JSON"}}));
    };
    if engine.faults().leaving {
        return not_run_response(503, "leaving");
    }
    let replica = header(request.headers(), "x-apricotwell-replica");
    let replica = replica.and_then(|text| text.parse().ok());
    let found = engine.state().find_replica(replica, &parsed.model);
    let Some(replica) = found else {
        return not_run_response(404, "the replica is not loaded");
    };
    engine.state().begin_request(replica);
    let guard = RequestGuard {
        engine: engine.get_ref().clone(),
        replica,
    };
    let hangs = consume_fault(&mut engine.faults().hanging_requests);
    if hangs {
        sleep(Duration::from_secs(3600)).await;
    }
    let break_stream = consume_fault(&mut engine.faults().break_streams);
    let completion = plan_completion(&parsed, request.path(), break_stream);
    let mut attempt = header(request.headers(), "x-attempt-id").unwrap_or_default();
    if consume_fault(&mut engine.faults().wrong_attempts) {
        attempt.push_str(" of another");
    }
    sleep(Duration::from_millis(engine.args.first_token_ms)).await;
    let response = if parsed.stream {
        stream_completion(guard, completion, &attempt)
    } else {
        let pause = Duration::from_millis(engine.args.token_ms) * completion.tokens as u32;
        sleep(pause).await;
        send_completion(guard, &completion, &attempt)
    };
    let response = name_limit(engine.faults().request_limit, response);
    if consume_fault(&mut engine.faults().endless) {
        return cut::without_end(response);
    }
    cut::apply(&mut engine.faults().cut, response)
}

fn name_limit(limit: Option<f64>, mut response: HttpResponse) -> HttpResponse {
    let value = limit.and_then(|limit| HeaderValue::from_str(&limit.to_string()).ok());
    if let Some(value) = value {
        let name = HeaderName::from_static("x-request-limit");
        response.headers_mut().insert(name, value);
    }
    response
}

fn plan_completion(body: &CompletionBody, path: &str, break_stream: bool) -> Completion {
    let prompt = if body.messages.is_null() {
        body.prompt.to_string()
    } else {
        body.messages.to_string()
    };
    let limit = body.max_tokens.or(body.max_completion_tokens);
    Completion {
        chat: path.contains("chat"),
        model: body.model.clone(),
        tokens: limit.unwrap_or(16).min(4096),
        prompt_tokens: (prompt.len() as u64).div_ceil(4),
        include_usage: body.stream_options["include_usage"] == true,
        break_stream,
    }
}

// Returns whether a fault applies to the current request, and decrements its count.
fn consume_fault(count: &mut u32) -> bool {
    let any = *count > 0;
    *count = count.saturating_sub(1);
    any
}

fn count_secrets(engine: &Engine, headers: &HeaderMap) {
    let secret_headers = [
        "authorization",
        "cookie",
        "proxy-authorization",
        "x-api-key",
    ];
    if secret_headers
        .iter()
        .any(|name| headers.contains_key(*name))
    {
        engine.state().count_secret();
    }
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

fn not_run_response(status: u16, reason: &str) -> HttpResponse {
    let status = actix_web::http::StatusCode::from_u16(status)
        .unwrap_or(actix_web::http::StatusCode::SERVICE_UNAVAILABLE);
    HttpResponse::build(status)
        .insert_header(("x-outcome", "not_run"))
        .json(json!({"error": {"message": reason}}))
}

fn send_completion(guard: RequestGuard, completion: &Completion, attempt: &str) -> HttpResponse {
    let text: String = (0..completion.tokens).map(token_text).collect();
    let choice = if completion.chat {
        json!({"index": 0, "finish_reason": "stop",
               "message": {"role": "assistant", "content": text}})
    } else {
        json!({"index": 0, "finish_reason": "stop", "text": text})
    };
    let body = json!({
        "id": "cmpl-1", "object": object_type(completion), "created": 0, "model": completion.model,
        "choices": [choice], "usage": usage(completion), "x_engine_field": [1, 2.5, null],
    });
    drop(guard);
    HttpResponse::Ok()
        .insert_header(("x-attempt-id", attempt))
        .json(body)
}

fn stream_completion(guard: RequestGuard, completion: Completion, attempt: &str) -> HttpResponse {
    let pause = Duration::from_millis(guard.engine.args.token_ms);
    let steps = stream::unfold(
        (0, guard, completion),
        move |(step, guard, completion)| async move {
            if step > completion.tokens + 2 {
                return None;
            }
            if completion.break_stream && step == 2 {
                return Some((
                    Err(io::Error::other(
                        "the stream was broken by an injected fault",
                    )),
                    // A step past the last one, so that the stream ends after the error.
                    (u64::MAX - 9, guard, completion),
                ));
            }
            if step > 0 && !pause.is_zero() {
                sleep(pause).await;
            }
            let event = stream_event(step, &completion);
            Some((Ok(Bytes::from(event)), (step + 1, guard, completion)))
        },
    );
    HttpResponse::Ok()
        .insert_header(("x-attempt-id", attempt))
        .content_type("text/event-stream")
        .streaming::<_, io::Error>(steps)
}

// Returns one event per token, then the finish reason, the usage (a comment unless requested), and
// the `[DONE]` event.
fn stream_event(step: u64, completion: &Completion) -> String {
    let finish = step == completion.tokens;
    if step == completion.tokens + 1 {
        if !completion.include_usage {
            return ": no usage asked for\n\n".to_owned();
        }
        let body = json!({"id": "cmpl-1", "object": object_type(completion), "created": 0,
            "model": completion.model, "choices": [], "usage": usage(completion)});
        return format!("data: {body}\n\n");
    }
    if step == completion.tokens + 2 {
        return "data: [DONE]\n\n".to_owned();
    }
    let reason = if finish { json!("stop") } else { Value::Null };
    let text = if finish {
        String::new()
    } else {
        token_text(step)
    };
    let choice = if completion.chat {
        json!({"index": 0, "finish_reason": reason, "delta": {"content": text}})
    } else {
        json!({"index": 0, "finish_reason": reason, "text": text})
    };
    let object = if completion.chat {
        "chat.completion.chunk"
    } else {
        "text_completion"
    };
    let body = json!({"id": "cmpl-1", "object": object, "created": 0, "model": completion.model,
        "choices": [choice]});
    format!("data: {body}\n\n")
}

fn object_type(completion: &Completion) -> &'static str {
    if completion.chat {
        "chat.completion"
    } else {
        "text_completion"
    }
}

fn usage(completion: &Completion) -> Value {
    json!({"prompt_tokens": completion.prompt_tokens, "completion_tokens": completion.tokens,
           "total_tokens": completion.prompt_tokens + completion.tokens})
}

fn token_text(step: u64) -> String {
    format!("w{step} ")
}
