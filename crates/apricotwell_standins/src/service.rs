//! Stand-in for a plain service whose requests aren't idempotent.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use actix_web::web::{Bytes, Data, Json};
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use futures_util::stream;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::time::sleep;

use crate::cut::{self, Cut};

/// Stand-in for a plain service that counts how often it runs each request.
///
/// Faults are set with `POST /faults`; `GET /audit` returns the counts.
#[derive(argh::FromArgs, Clone, Debug)]
pub struct ServiceArgs {
    /// address to listen on, as ip:port
    #[argh(option)]
    pub listen: String,
    /// duration of a request, in milliseconds
    #[argh(option, default = "5")]
    pub call_ms: u64,
    /// text in a path or body that crashes the service
    #[argh(option)]
    pub crash_on: Option<String>,
}

/// Counts of the requests that a service ran, for tests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceAudit {
    /// Number of runs by request body.
    pub runs: BTreeMap<String, u32>,
    /// Number of requests that arrived with an API key, a cookie or an authorisation header.
    pub secrets_seen: u64,
}

/// Faults of a service. In `POST /faults`, absent fields keep their value.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct ServiceFaults {
    /// Number of upcoming requests that run but whose response is lost.
    lose_replies: Option<u32>,
    /// Duration of a request, in milliseconds.
    call_ms: Option<u64>,
    /// Responses to break off.
    cut: Option<Cut>,
    /// Number of bytes that each response is padded with.
    padding: Option<usize>,
}

#[derive(Clone)]
struct Service {
    audit: Arc<Mutex<ServiceAudit>>,
    faults: Arc<Mutex<ServiceFaults>>,
    crash_on: Option<String>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs the stand-in until it is stopped.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn run_service(args: ServiceArgs) -> io::Result<()> {
    let service = Service {
        audit: Arc::default(),
        crash_on: args.crash_on,
        faults: Arc::new(Mutex::new(ServiceFaults {
            lose_replies: Some(0),
            call_ms: Some(args.call_ms),
            cut: None,
            padding: None,
        })),
    };
    let app = move || {
        App::new()
            .app_data(Data::new(service.clone()))
            .app_data(web::PayloadConfig::new(16 << 20))
            .route("/audit", web::get().to(audit))
            .route("/faults", web::post().to(set_faults))
            .default_service(web::to(run))
    };
    HttpServer::new(app)
        .workers(1)
        .keep_alive(Duration::from_secs(75))
        .shutdown_timeout(1)
        .bind(&args.listen)?
        .run()
        .await
}

async fn audit(service: Data<Service>) -> HttpResponse {
    HttpResponse::Ok().json(&*lock(&service.audit))
}

async fn set_faults(service: Data<Service>, requested: Json<ServiceFaults>) -> HttpResponse {
    let mut faults = lock(&service.faults);
    faults.lose_replies = requested.lose_replies.or(faults.lose_replies);
    faults.call_ms = requested.call_ms.or(faults.call_ms);
    faults.cut = requested.cut.or(faults.cut);
    faults.padding = requested.padding.or(faults.padding);
    HttpResponse::Ok().finish()
}

async fn run(service: Data<Service>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let text = String::from_utf8_lossy(&body).into_owned();
    let crashes = |part: &String| text.contains(part.as_str()) || request.path().contains(part);
    if service.crash_on.as_ref().is_some_and(crashes) {
        std::process::abort();
    }
    let runs = {
        let mut audit = lock(&service.audit);
        let secret_headers = [
            "authorization",
            "cookie",
            "proxy-authorization",
            "x-api-key",
        ];
        if secret_headers
            .iter()
            .any(|name| request.headers().contains_key(*name))
        {
            audit.secrets_seen += 1;
        }
        let runs = audit.runs.entry(text).or_default();
        *runs += 1;
        *runs
    };
    let (duration_ms, lost, padding) = {
        let mut faults = lock(&service.faults);
        let remaining = faults.lose_replies.unwrap_or(0);
        faults.lose_replies = Some(remaining.saturating_sub(1));
        let padding = "x".repeat(faults.padding.unwrap_or(0));
        (faults.call_ms.unwrap_or(0), remaining > 0, padding)
    };
    sleep(Duration::from_millis(duration_ms)).await;
    if lost {
        let broken_stream = stream::once(async {
            Err::<Bytes, _>(io::Error::other(
                "the response was lost by an injected fault",
            ))
        });
        return HttpResponse::Ok().no_chunking(64).streaming(broken_stream);
    }
    let attempt = request.headers().get("x-attempt-id");
    let attempt = attempt.and_then(|value| value.to_str().ok()).unwrap_or("");
    let mut body = json!({"path": request.path(), "run": runs});
    if !padding.is_empty() {
        body["padding"] = padding.into();
    }
    let response = HttpResponse::Ok()
        .insert_header(("x-attempt-id", attempt))
        .json(body);
    cut::apply(&mut lock(&service.faults).cut, response)
}
