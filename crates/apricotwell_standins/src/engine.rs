//! Stand-in for a model engine.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use actix_web::http::header::HeaderMap;
use actix_web::web::{Bytes, Data, Json};
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use futures_util::stream;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::time::sleep;

use apricotwell_adapters::{OrderBody, OrderReply, ReplicaBody, ReportBody};
use apricotwell_fakes::EngineState;
use apricotwell_node::{EngineOrder, OrderKind, ReportedReplica};

/// Stand-in for a model engine: loads, streams, reports and fails on demand.
///
/// Faults are set with `POST /faults`, what happened is read from `GET /audit`.
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
    /// refuse orders with an old fencing number
    #[argh(switch)]
    pub fencing: bool,
    /// milliseconds to the first token
    #[argh(option, default = "20")]
    pub first_token_ms: u64,
    /// milliseconds between tokens
    #[argh(option, default = "5")]
    pub token_ms: u64,
    /// text that makes the process abort when it stands in a body
    #[argh(option)]
    pub crash_on: Option<String>,
}

/// Faults of an engine; absent fields stay as they are.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct EngineFaults {
    /// Number of orders that take effect without an answer.
    lose_order_replies: Option<u32>,
    /// Whether new work is refused.
    leaving: Option<bool>,
    /// Number of streams that break after two tokens.
    break_streams: Option<u32>,
    /// Number of requests that never make progress.
    silent: Option<u32>,
    /// Number of answers that name another attempt.
    cross: Option<u32>,
}

#[derive(Default)]
struct Faults {
    lose_order_replies: u32,
    leaving: bool,
    break_streams: u32,
    silent: u32,
    cross: u32,
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

// Ends the request when its answer is dropped, whole or not.
struct Running {
    engine: Engine,
    replica: u64,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.engine.state().end_request(self.replica);
    }
}

/// Runs the stand-in until it is stopped.
///
/// # Errors
///
/// Fails when the address can't be bound.
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
            .route("/orders", web::post().to(order))
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

async fn order(engine: Data<Engine>, order: Json<OrderBody>) -> HttpResponse {
    let result = match order_from(order.into_inner()) {
        Some(order) if order.kind == OrderKind::Load => load(&engine, &order).await,
        Some(order) => {
            let unloaded = engine.state().unload(&order);
            unloaded.map_err(|refused| refused.as_str())
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
        return HttpResponse::InternalServerError().body("the answer was lost");
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

async fn load(engine: &Engine, order: &EngineOrder) -> Result<(), &'static str> {
    let begun = engine.state().begin_load(order);
    if begun.map_err(|refused| refused.as_str())? {
        let adapter = order.model.contains(':');
        let url = format!("http://{}/weights?adapter={adapter}", engine.args.platform);
        let client = apricotwell_adapters::control_client();
        // A store that does not answer makes the load slow, not wrong.
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
        requests: state.running(),
        lag_ms: 0,
        leaving,
        cached: Vec::new(),
        used_mib: state.used(),
    })
}

async fn audit(engine: Data<Engine>) -> HttpResponse {
    let audit = engine.state().audit().clone();
    HttpResponse::Ok().json(AuditBody {
        requests: audit.requests,
        secrets_seen: audit.secrets_seen,
        most_mib: audit.most_mib,
        overcommits: audit.overcommits,
        loads: audit.loads,
        most_requests: audit.most_requests,
    })
}

async fn set_faults(engine: Data<Engine>, wanted: Json<EngineFaults>) -> HttpResponse {
    let wanted = wanted.into_inner();
    let mut faults = engine.faults();
    faults.lose_order_replies = wanted
        .lose_order_replies
        .unwrap_or(faults.lose_order_replies);
    faults.leaving = wanted.leaving.unwrap_or(faults.leaving);
    faults.break_streams = wanted.break_streams.unwrap_or(faults.break_streams);
    faults.silent = wanted.silent.unwrap_or(faults.silent);
    faults.cross = wanted.cross.unwrap_or(faults.cross);
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

struct Plan {
    chat: bool,
    model: String,
    tokens: u64,
    prompt: u64,
    usage: bool,
    breaks: bool,
}

async fn complete(engine: Data<Engine>, request: HttpRequest, body: Bytes) -> HttpResponse {
    note_secrets(&engine, request.headers());
    if let Some(text) = &engine.args.crash_on
        && String::from_utf8_lossy(&body).contains(text.as_str())
    {
        std::process::abort();
    }
    let Ok(parsed) = serde_json::from_slice::<CompletionBody>(&body) else {
        return HttpResponse::BadRequest().json(json!({"error": {"message": "bad JSON"}}));
    };
    if engine.faults().leaving {
        return not_run(503, "leaving");
    }
    let replica = header(request.headers(), "x-apricotwell-replica");
    let replica = replica.and_then(|text| text.parse().ok());
    let found = engine.state().find(replica, &parsed.model);
    let Some(replica) = found else {
        return not_run(404, "the replica is not loaded");
    };
    engine.state().begin_request(replica);
    let running = Running {
        engine: engine.get_ref().clone(),
        replica,
    };
    let silent = take_one(&mut engine.faults().silent);
    if silent {
        sleep(Duration::from_secs(3600)).await;
    }
    let breaks = take_one(&mut engine.faults().break_streams);
    let plan = make_plan(&parsed, request.path(), breaks);
    let mut attempt = header(request.headers(), "x-attempt-id").unwrap_or_default();
    if take_one(&mut engine.faults().cross) {
        attempt.push_str(" of another");
    }
    sleep(Duration::from_millis(engine.args.first_token_ms)).await;
    if parsed.stream {
        answer_stream(running, plan, &attempt)
    } else {
        let pause = Duration::from_millis(engine.args.token_ms) * plan.tokens as u32;
        sleep(pause).await;
        answer_whole(running, &plan, &attempt)
    }
}

fn make_plan(body: &CompletionBody, path: &str, breaks: bool) -> Plan {
    let prompt = if body.messages.is_null() {
        body.prompt.to_string()
    } else {
        body.messages.to_string()
    };
    let limit = body.max_tokens.or(body.max_completion_tokens);
    Plan {
        chat: path.contains("chat"),
        model: body.model.clone(),
        tokens: limit.unwrap_or(16).min(4096),
        prompt: (prompt.len() as u64).div_ceil(4),
        usage: body.stream_options["include_usage"] == true,
        breaks,
    }
}

fn take_one(count: &mut u32) -> bool {
    let any = *count > 0;
    *count = count.saturating_sub(1);
    any
}

fn note_secrets(engine: &Engine, headers: &HeaderMap) {
    let secret = [
        "authorization",
        "cookie",
        "proxy-authorization",
        "x-api-key",
    ];
    if secret.iter().any(|name| headers.contains_key(*name)) {
        engine.state().note_secret();
    }
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

fn not_run(status: u16, reason: &str) -> HttpResponse {
    let status = actix_web::http::StatusCode::from_u16(status)
        .unwrap_or(actix_web::http::StatusCode::SERVICE_UNAVAILABLE);
    HttpResponse::build(status)
        .insert_header(("x-outcome", "not_run"))
        .json(json!({"error": {"message": reason}}))
}

fn answer_whole(running: Running, plan: &Plan, attempt: &str) -> HttpResponse {
    let text: String = (0..plan.tokens).map(word).collect();
    let choice = if plan.chat {
        json!({"index": 0, "finish_reason": "stop",
               "message": {"role": "assistant", "content": text}})
    } else {
        json!({"index": 0, "finish_reason": "stop", "text": text})
    };
    let body = json!({
        "id": "cmpl-1", "object": object(plan), "created": 0, "model": plan.model,
        "choices": [choice], "usage": usage(plan), "x_engine_field": [1, 2.5, null],
    });
    drop(running);
    HttpResponse::Ok()
        .insert_header(("x-attempt-id", attempt))
        .json(body)
}

fn answer_stream(running: Running, plan: Plan, attempt: &str) -> HttpResponse {
    let pause = Duration::from_millis(running.engine.args.token_ms);
    let steps = stream::unfold(
        (0, running, plan),
        move |(step, running, plan)| async move {
            if step > plan.tokens + 2 {
                return None;
            }
            if plan.breaks && step == 2 {
                return Some((
                    Err(io::Error::other("broken on demand")),
                    (u64::MAX - 9, running, plan),
                ));
            }
            if step > 0 && !pause.is_zero() {
                sleep(pause).await;
            }
            let event = stream_event(step, &plan);
            Some((Ok(Bytes::from(event)), (step + 1, running, plan)))
        },
    );
    HttpResponse::Ok()
        .insert_header(("x-attempt-id", attempt))
        .content_type("text/event-stream")
        .streaming::<_, io::Error>(steps)
}

// One event for each token, then the finish, the usage when asked for, and the end mark.
fn stream_event(step: u64, plan: &Plan) -> String {
    let finish = step == plan.tokens;
    if step == plan.tokens + 1 {
        if !plan.usage {
            return ": no usage asked for\n\n".to_owned();
        }
        let body = json!({"id": "cmpl-1", "object": object(plan), "created": 0,
            "model": plan.model, "choices": [], "usage": usage(plan)});
        return format!("data: {body}\n\n");
    }
    if step == plan.tokens + 2 {
        return "data: [DONE]\n\n".to_owned();
    }
    let reason = if finish { json!("stop") } else { Value::Null };
    let text = if finish { String::new() } else { word(step) };
    let choice = if plan.chat {
        json!({"index": 0, "finish_reason": reason, "delta": {"content": text}})
    } else {
        json!({"index": 0, "finish_reason": reason, "text": text})
    };
    let object = if plan.chat {
        "chat.completion.chunk"
    } else {
        "text_completion"
    };
    let body = json!({"id": "cmpl-1", "object": object, "created": 0, "model": plan.model,
        "choices": [choice]});
    format!("data: {body}\n\n")
}

fn object(plan: &Plan) -> &'static str {
    if plan.chat {
        "chat.completion"
    } else {
        "text_completion"
    }
}

fn usage(plan: &Plan) -> Value {
    json!({"prompt_tokens": plan.prompt, "completion_tokens": plan.tokens,
           "total_tokens": plan.prompt + plan.tokens})
}

fn word(step: u64) -> String {
    format!("w{step} ")
}
